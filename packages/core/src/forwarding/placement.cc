#include "jasminehatch/detail/forwarding/placement.h"

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "jasminehatch/detail/forwarding/placement_trace.h"
#include "jasminehatch/detail/forwarding/residency.h"
#include "jasminehatch/detail/forwarding/stable_hash.h"
#include "jasminehatch/detail/forwarding/state.h"
#include "jasminehatch/detail/forwarding/warm_up.h"
#include "jasminehatch/detail/routing/allowed_zones.h"

namespace jasminehatch::forwarding {
namespace {

/// Added to the relative load of an upstream, multiplied by its share of
/// failures.
constexpr double kFailurePenalty = 1.5;

/// Added to the relative load of an upstream in another availability zone.
constexpr double kZonePenalty = 0.04;

/// Added to the relative load of an upstream with older weights when the newest
/// are preferred.
constexpr double kOldWeightsPenalty = 0.2;

/// @brief Weight versions that an attempt may use.
struct VersionLimits {
  std::uint64_t min_version = 0;      ///< Older versions are not used.
  std::uint64_t favored_version = 0;  ///< Older versions get a load penalty.
};

VersionLimits LimitsFor(const State& state,
                        const Request& request,
                        MonotonicTime now) {
  if (!request.arrival.prompt) {
    return {};
  }
  const std::string& model = request.arrival.prompt->model;
  const UpstreamDirectory& upstreams = state.upstreams;
  return {upstreams.MinVersion(model, request.service, now, state.options),
          upstreams.FavoredVersion(model, now, state.options)};
}

/// Makes one choice of an upstream.
class UpstreamChooser {
 public:
  /// @param trace receives what was weighed; may be null
  UpstreamChooser(State& state,
                  const Request& request,
                  MonotonicTime now,
                  PlacementTrace* trace = nullptr)
      : m_state(state),
        m_request(request),
        m_now(now),
        m_trace(trace),
        m_version_limits(LimitsFor(state, request, now)),
        m_has_peer_reports(state.fleet.HasRecentReports(now)),
        m_allowed_zones(AllowedZonesOf(state, request)),
        m_warm_up(FindWarmUp(state, request.service)),
        m_begins_resumable_stream(request.IsResumableStream() &&
                                  !request.software_version) {
    const Service* service =
        request.table ? request.table->FindService(request.service) : nullptr;
    if (service != nullptr && service->engine && request.arrival.prompt) {
      m_engine_memory_tokens =
          static_cast<double>(service->engine->cache_tokens);
    }
  }

  Placement Choose() {
    for (const Leniency leniency :
         {Leniency::kNone, Leniency::kTemporary, Leniency::kAll}) {
      Collect(leniency);
      if (!m_candidates.empty()) {
        m_ignores_temporary = leniency != Leniency::kNone;
        break;
      }
    }
    const Placement placement = ChooseCandidate();
    if (m_trace != nullptr) {
      FillTrace(placement);
    }
    return placement;
  }

  std::optional<Unavailability> FindUnavailability() const {
    std::optional<Unavailability> found;
    for (const Upstream* upstream :
         m_state.upstreams.OfService(m_request.service)) {
      if (!CanRun(*upstream)) {
        continue;
      }
      const auto cold = ColdUseOf(*upstream);
      const MonotonicTime until =
          std::max(upstream->notice.pause_until.value_or(m_now),
                   cold ? cold->room_at : m_now);
      if (until <= m_now) {
        return std::nullopt;
      }
      found = found.value_or(Unavailability{until});
      found->until = std::min(found->until, until);
      found->warming_up = found->warming_up || (cold && cold->room_at > m_now);
    }
    return found;
  }

 private:
  /// @brief An upstream and its inputs to the choice.
  struct Candidate {
    Upstream* upstream = nullptr;
    double memory_share = 0;  ///< Used share of its memory, with this request.
    double load = 0;          ///< Relative to its capacity, with penalties.
    std::uint64_t rendezvous_score = 0;  ///< Hash of the prefix and its id.
  };

  /// @brief A candidate and why it was chosen.
  struct Choice {
    const Candidate* candidate = nullptr;
    PlacementReason reason = PlacementReason::kNone;
  };

  /// @brief A condition that excludes an upstream.
  struct Check {
    Exclusion reason;
    bool (UpstreamChooser::*excludes)(const Upstream&) const;
  };

  /// @return the conditions on the upstream's zone
  static std::span<const Check> ZoneChecks() {
    static constexpr std::array kChecks{
        Check{Exclusion::kRegion, &UpstreamChooser::IsOutsideRegions},
        Check{Exclusion::kEvacuated, &UpstreamChooser::IsEvacuated}};
    return kChecks;
  }

  /// @return the conditions, apart from its zone, under which the upstream
  /// cannot run the request
  static std::span<const Check> RunChecks() {
    static constexpr std::array kChecks{
        Check{Exclusion::kDraining, &UpstreamChooser::IsUnusable},
        Check{Exclusion::kLoading, &UpstreamChooser::IsLoading},
        Check{Exclusion::kWeightsUnknown, &UpstreamChooser::HasUnknownWeights},
        Check{Exclusion::kWeightsOutdated,
              &UpstreamChooser::HasOutdatedWeights},
        Check{Exclusion::kOtherSoftware, &UpstreamChooser::HasOtherSoftware}};
    return kChecks;
  }

  /// @return the conditions under which the upstream could run the request but
  /// does not get it now
  static std::span<const Check> TurnChecks() {
    static constexpr std::array kChecks{
        Check{Exclusion::kPauseRequested, &UpstreamChooser::RequestsPause},
        Check{Exclusion::kAlreadyTried, &UpstreamChooser::WasTried},
        Check{Exclusion::kNewSoftware, &UpstreamChooser::HasNewSoftware},
        Check{Exclusion::kCold, &UpstreamChooser::IsColdWithoutRoom}};
    return kChecks;
  }

  /// @return the conditions that are ignored first if no other upstream is left
  static std::span<const Check> TemporaryChecks() {
    static constexpr std::array kChecks{
        Check{Exclusion::kSuspended, &UpstreamChooser::IsSuspended},
        Check{Exclusion::kPaused, &UpstreamChooser::IsPaused}};
    return kChecks;
  }

  /// @return the conditions under which the upstream probably cannot be
  /// reached; they are ignored last
  static std::span<const Check> ReachabilityChecks() {
    static constexpr std::array kChecks{
        Check{Exclusion::kReplaced, &UpstreamChooser::IsReplaced},
        Check{Exclusion::kZoneUnreachable,
              &UpstreamChooser::IsInUnreachableZone}};
    return kChecks;
  }

  bool IsExcludedBy(std::span<const Check> checks,
                    const Upstream& upstream) const {
    return std::any_of(checks.begin(), checks.end(), [&](const Check& check) {
      return (this->*check.excludes)(upstream);
    });
  }

  /// @return all reasons for which the upstream is excluded
  std::vector<Exclusion> FindExclusions(const Upstream& upstream) const {
    std::vector<Exclusion> reasons;
    for (const auto checks : {ZoneChecks(), RunChecks(), TurnChecks(),
                              TemporaryChecks(), ReachabilityChecks()}) {
      for (const Check& check : checks) {
        if ((this->*check.excludes)(upstream)) {
          reasons.push_back(check.reason);
        }
      }
    }
    return reasons;
  }

  void FillTrace(const Placement& placement) const {
    m_trace->ignores_temporary = m_ignores_temporary;
    m_trace->has_peer_reports = m_has_peer_reports;
    m_trace->min_weight_version = m_version_limits.min_version;
    m_trace->favored_weight_version = m_version_limits.favored_version;
    for (const Candidate& candidate : m_candidates) {
      WeighedUpstream weighed;
      weighed.upstream = candidate.upstream;
      weighed.load = candidate.load;
      weighed.memory_share = candidate.memory_share;
      weighed.lacks_memory = LacksMemory(candidate);
      if (placement.by_prompt) {
        weighed.load_limit = LoadLimit(candidate, placement.mean_load);
        weighed.rendezvous_score = candidate.rendezvous_score;
      }
      m_trace->candidates.push_back(weighed);
    }
    for (const Upstream* upstream :
         m_state.upstreams.OfService(m_request.service)) {
      auto reasons = FindExclusions(*upstream);
      if (!reasons.empty()) {
        m_trace->exclusions.emplace(upstream, std::move(reasons));
      }
    }
  }

  Placement ChooseCandidate() {
    Placement placement;
    placement.candidates = m_candidates.size();
    if (m_candidates.empty()) {
      placement.zone_block = FindZoneBlock();
      return placement;
    }
    double sum = 0;
    for (const Candidate& candidate : m_candidates) {
      sum += candidate.load;
    }
    placement.mean_load = sum / static_cast<double>(m_candidates.size());
    placement.by_prompt = m_request.arrival.prompt.has_value() &&
                          m_request.arrival.prompt->parts.size() > 1;
    if (placement.by_prompt) {
      ComputeScores();
      placement.preferred = Preferred().upstream;
    }
    const Choice choice =
        placement.by_prompt
            ? ChooseByPolicy(placement.mean_load)
            : Choice{&LeastLoaded(), PlacementReason::kLeastLoaded};
    const Candidate& chosen = *choice.candidate;
    placement.upstream = chosen.upstream;
    placement.load = chosen.load;
    placement.reason = choice.reason;
    placement.overloaded =
        m_state.options.limit_admission && LacksMemory(chosen);
    return placement;
  }

  /// @brief Which conditions are ignored, since no upstream is left otherwise.
  enum class Leniency {
    kNone,
    kTemporary,  ///< `TemporaryChecks`.
    kAll,        ///< `TemporaryChecks` and `ReachabilityChecks`.
  };

  /// Collects the upstreams that can run the request, never those that asked
  /// for a pause.
  void Collect(Leniency leniency) {
    for (Upstream* upstream : m_state.upstreams.OfService(m_request.service)) {
      if (!IsTemporarilyExcluded(*upstream, leniency) &&
          IsEligible(*upstream)) {
        m_candidates.push_back(Measure(*upstream));
      }
    }
  }

  Candidate Measure(Upstream& upstream) {
    Candidate candidate;
    candidate.upstream = &upstream;
    const UpstreamLoad others =
        m_state.fleet.LoadOf(FleetLoad::CompactId(upstream.entry.id), m_now);
    // The reports of the other daemons give their in-flight requests. Without
    // any recent one, the estimate follows the last report of the upstream.
    const double requests = m_has_peer_reports
                                ? static_cast<double>(upstream.in_flight) +
                                      static_cast<double>(others.in_flight)
                                : upstream.Load();
    candidate.load = requests / std::max<double>(upstream.entry.slots, 1);
    if (m_engine_memory_tokens > 0) {
      const std::uint64_t tokens =
          upstream.tokens + others.tokens + m_request.expected_tokens;
      candidate.memory_share =
          static_cast<double>(tokens) / m_engine_memory_tokens;
      candidate.load = std::max(candidate.load, candidate.memory_share);
    }
    // At a slow upstream, the same requests take longer to make room.
    candidate.load *= upstream.speed.SlowdownAt(m_now);
    if (const auto cold = ColdUseOf(upstream)) {
      candidate.load = ColdLoad(candidate.load, *cold, *m_warm_up, m_now);
    }
    candidate.load += kFailurePenalty * upstream.failure_share;
    if (m_version_limits.favored_version > 0 &&
        upstream.WeightVersion(m_request.arrival.prompt->model) <
            m_version_limits.favored_version) {
      candidate.load += kOldWeightsPenalty;
    }
    return candidate;
  }

  /// @return the maximum share of its memory that an upstream may use with this
  /// request; lower for large requests, because each of them would make many
  /// small ones wait
  double MemoryLimit() const {
    const Options& options = m_state.options;
    const double size =
        static_cast<double>(m_request.expected_tokens) / m_engine_memory_tokens;
    const double smallness =
        1 - std::min(1.0, size / options.small_request_share);
    return options.memory_limit + options.small_request_headroom * smallness;
  }

  bool IsTemporarilyExcluded(const Upstream& upstream,
                             Leniency leniency) const {
    return (leniency == Leniency::kNone &&
            IsExcludedBy(TemporaryChecks(), upstream)) ||
           (leniency != Leniency::kAll &&
            IsExcludedBy(ReachabilityChecks(), upstream));
  }

  bool IsReplaced(const Upstream& upstream) const {
    return upstream.replacement.HoldsAt(m_now);
  }

  bool IsInUnreachableZone(const Upstream& upstream) const {
    return m_state.unreachable_zones.Excludes(upstream.entry.zone, m_now);
  }

  bool IsSuspended(const Upstream& upstream) const {
    const auto until = upstream.SuspendedUntil();
    return until && m_now < *until;
  }

  bool IsPaused(const Upstream& upstream) const {
    return upstream.paused_until && m_now < *upstream.paused_until;
  }

  std::optional<ColdUse> ColdUseOf(const Upstream& upstream) const {
    return m_warm_up == nullptr
               ? std::nullopt
               : DescribeColdUse(m_state, upstream, *m_warm_up, m_now);
  }

  /// @return whether the upstream is cold and gets no more requests of this
  /// daemon for now
  bool IsColdWithoutRoom(const Upstream& upstream) const {
    const auto cold = ColdUseOf(upstream);
    return cold && cold->room_at > m_now;
  }

  bool IsEligible(const Upstream& upstream) const {
    return CanRun(upstream) && !IsExcludedBy(TurnChecks(), upstream);
  }

  bool RequestsPause(const Upstream& upstream) const {
    return upstream.notice.PausesAt(m_now);
  }

  bool WasTried(const Upstream& upstream) const {
    const auto& tried = m_request.tried_upstreams;
    return std::find(tried.begin(), tried.end(), upstream.entry.id) !=
           tried.end();
  }

  bool IsOutsideRegions(const Upstream& upstream) const {
    return !m_allowed_zones.Contains(upstream.entry.zone);
  }

  bool IsEvacuated(const Upstream& upstream) const {
    return m_state.evacuated_zones.Contains(upstream.entry.zone);
  }

  ZoneBlock BlockOf(const Upstream& upstream) const {
    if (IsOutsideRegions(upstream)) {
      return ZoneBlock::kRegion;
    }
    return IsEvacuated(upstream) ? ZoneBlock::kEvacuated : ZoneBlock::kNone;
  }

  /// @return what keeps the request from upstreams that could run it; an
  /// evacuation takes precedence
  ZoneBlock FindZoneBlock() const {
    ZoneBlock block = ZoneBlock::kNone;
    for (const Upstream* upstream :
         m_state.upstreams.OfService(m_request.service)) {
      if (block != ZoneBlock::kEvacuated && CanRunInAnyZone(*upstream)) {
        const ZoneBlock found = BlockOf(*upstream);
        block = found == ZoneBlock::kNone ? block : found;
      }
    }
    return block;
  }

  /// @return whether the upstream could run the request if it accepted it
  bool CanRun(const Upstream& upstream) const {
    return !IsExcludedBy(ZoneChecks(), upstream) && CanRunInAnyZone(upstream);
  }

  /// @return the same, whatever zones the request may use
  bool CanRunInAnyZone(const Upstream& upstream) const {
    return !IsExcludedBy(RunChecks(), upstream);
  }

  bool IsUnusable(const Upstream& upstream) const {
    return !m_state.upstreams.IsUsable(upstream, m_now);
  }

  bool IsLoading(const Upstream& upstream) const {
    return upstream.IsLoading(m_now);
  }

  /// @return whether the version of the weights is unknown; without it, the
  /// cache salt cannot be computed
  bool HasUnknownWeights(const Upstream& upstream) const {
    return m_request.arrival.prompt &&
           upstream.WeightVersion(m_request.arrival.prompt->model) == 0;
  }

  bool HasOutdatedWeights(const Upstream& upstream) const {
    if (!m_request.arrival.prompt) {
      return false;
    }
    const std::uint64_t version =
        upstream.WeightVersion(m_request.arrival.prompt->model);
    return version > 0 && version < m_version_limits.min_version;
  }

  bool HasOtherSoftware(const Upstream& upstream) const {
    return m_request.software_version &&
           upstream.entry.software_version != *m_request.software_version;
  }

  /// @return whether a stream must not begin with the software version of the
  /// upstream, because another daemon may not yet have read of it and would
  /// resume the stream with the version before. A version that joined when no
  /// upstream had an earlier one, or when none is left that could run the
  /// request, is used at once.
  bool HasNewSoftware(const Upstream& upstream) const {
    if (!m_begins_resumable_stream || !IsNewSoftware(upstream)) {
      return false;
    }
    const auto others = m_state.upstreams.OfService(m_request.service);
    return std::any_of(
        others.begin(), others.end(), [this](const Upstream* other) {
          return !IsNewSoftware(*other) && CanRun(*other) && !WasTried(*other);
        });
  }

  bool IsNewSoftware(const Upstream& upstream) const {
    const auto joined_at = m_state.upstreams.SoftwareJoinedAt(
        upstream.entry.service, upstream.entry.software_version);
    const auto known_at = m_state.registry.KnownAt();
    return joined_at && (!known_at || *known_at - *joined_at <
                                          m_state.options.max_registry_age);
  }

  bool LacksMemory(const Candidate& candidate) const {
    return m_engine_memory_tokens > 0 && candidate.memory_share > MemoryLimit();
  }

  const Candidate& LeastLoaded() const {
    const auto cost = [this](const Candidate& candidate) {
      const bool same_zone =
          candidate.upstream->entry.zone == m_state.options.zone;
      return candidate.load + (same_zone ? 0 : kZonePenalty);
    };
    return *std::min_element(
        m_candidates.begin(), m_candidates.end(),
        [&](const Candidate& left, const Candidate& right) {
          return cost(left) < cost(right);
        });
  }

  /// Computes the rendezvous hashing scores of the candidates for the prompt
  /// prefix, which is shared with other prompts. The last part is specific to
  /// this request and does not count.
  void ComputeScores() {
    const auto& parts = m_request.arrival.prompt->parts;
    std::uint64_t prefix = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
      prefix = StableHash(parts[i].id, prefix);
    }
    for (Candidate& candidate : m_candidates) {
      candidate.rendezvous_score =
          StableHash(candidate.upstream->entry.id, prefix);
    }
  }

  const Candidate& Preferred() const {
    return *std::max_element(m_candidates.begin(), m_candidates.end(),
                             [](const Candidate& left, const Candidate& right) {
                               return left.rendezvous_score <
                                      right.rendezvous_score;
                             });
  }

  Choice ChooseByPolicy(double mean_load) const {
    switch (m_state.options.prompt_placement) {
      case PromptPlacement::kPrefixAlone:
        return {&Preferred(), PlacementReason::kPreferred};
      case PromptPlacement::kLeastLoaded:
        return {&LeastLoaded(), PlacementReason::kLeastLoaded};
      case PromptPlacement::kPrefix:
        break;
    }
    return ChooseByPrefix(mean_load);
  }

  /// @return the load above which the candidate gets no prompt by its prefix
  double LoadLimit(const Candidate& candidate, double mean_load) const {
    return mean_load * m_state.options.overload_factor +
           m_state.options.overload_margin /
               std::max<double>(candidate.upstream->entry.slots, 1);
  }

  Choice ChooseByPrefix(double mean_load) const {
    const Candidate* best = nullptr;
    for (const Candidate& candidate : m_candidates) {
      if (candidate.load > LoadLimit(candidate, mean_load) ||
          LacksMemory(candidate)) {
        continue;
      }
      if (best == nullptr ||
          candidate.rendezvous_score > best->rendezvous_score) {
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return {&LeastLoaded(), PlacementReason::kAllOverLimit};
    }
    return {best, best == &Preferred() ? PlacementReason::kPreferred
                                       : PlacementReason::kNextByPrefix};
  }

  State& m_state;
  const Request& m_request;
  MonotonicTime m_now;
  PlacementTrace* m_trace;  ///< May be null.
  VersionLimits m_version_limits;
  bool m_has_peer_reports;
  AllowedZones m_allowed_zones;

  const WarmUpSpec* m_warm_up;  ///< Null if the upstreams have none.
  bool m_begins_resumable_stream;
  /// Memory of each engine, in tokens; 0 if unknown or for requests without a
  /// prompt.
  double m_engine_memory_tokens = 0;
  std::vector<Candidate> m_candidates;
  /// Whether temporarily excluded upstreams are candidates.
  bool m_ignores_temporary = false;
};

}  // namespace

Placement ChooseUpstream(State& state,
                         const Request& request,
                         MonotonicTime now,
                         PlacementTrace* trace) {
  return UpstreamChooser(state, request, now, trace).Choose();
}

std::optional<Unavailability> FindUnavailability(State& state,
                                                 const Request& request,
                                                 MonotonicTime now) {
  return UpstreamChooser(state, request, now).FindUnavailability();
}

}  // namespace jasminehatch::forwarding
