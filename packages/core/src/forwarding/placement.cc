#include "jasminehatch/detail/forwarding/placement.h"

#include <algorithm>
#include <vector>

#include "jasminehatch/detail/forwarding/stable_hash.h"
#include "jasminehatch/detail/forwarding/state.h"

namespace jasminehatch::forwarding {
namespace {

/// Relative load that a failing upstream seems to have more, for a share of
/// failures of one.
constexpr double kFailurePenalty = 1.5;

/// Relative load that an upstream of another availability zone seems to have
/// more.
constexpr double kZonePenalty = 0.04;

double EffectiveLoad(const Upstream& upstream) {
  return upstream.RelativeLoad() + kFailurePenalty * upstream.failure_share;
}

/// Which weights an attempt may use.
enum class WeightsRule { kAny, kPreferNewest, kOnlyNewest };

WeightsRule RuleFor(const State& state,
                    const Request& request,
                    MonotonicTime now) {
  if (!request.arrival.prompt) {
    return WeightsRule::kAny;
  }
  const auto named = state.upstreams.Named(request.arrival.prompt->model);
  if (!named) {
    return WeightsRule::kAny;
  }
  const Duration age = now - named->named_at;
  if (age >= state.options.version_hard_limit) {
    return WeightsRule::kOnlyNewest;
  }
  return age >= state.options.version_soft_limit ? WeightsRule::kPreferNewest
                                                 : WeightsRule::kAny;
}

bool HasNewest(const State& state,
               const Request& request,
               const Upstream& upstream) {
  const std::string& model = request.arrival.prompt->model;
  const auto named = state.upstreams.Named(model);
  return !named || upstream.Weights(model) >= named->version;
}

class Chooser {
 public:
  Chooser(const State& state, const Request& request, MonotonicTime now)
      : m_state(state),
        m_request(request),
        m_now(now),
        m_rule(RuleFor(state, request, now)) {}

  Placement Choose() {
    Collect(false);
    if (m_candidates.empty()) {
      Collect(true);
    }
    if (m_rule == WeightsRule::kPreferNewest) {
      KeepNewest();
    }
    Placement placement;
    placement.candidates = m_candidates.size();
    if (m_candidates.empty()) {
      return placement;
    }
    double sum = 0;
    for (const Upstream* upstream : m_candidates) {
      sum += EffectiveLoad(*upstream);
    }
    placement.mean_load = sum / static_cast<double>(m_candidates.size());
    placement.by_prompt = m_request.arrival.prompt.has_value() &&
                          m_request.arrival.prompt->parts.size() > 1;
    placement.upstream = placement.by_prompt
                             ? ByPrompt(placement.mean_load)
                             : LeastLoaded();
    return placement;
  }

 private:
  /// @param suspended whether to take those that are left alone after failures
  void Collect(bool suspended) {
    for (Upstream* upstream : m_state.upstreams.Of(m_request.service)) {
      if (Fits(*upstream) && (suspended || !Suspended(*upstream))) {
        m_candidates.push_back(upstream);
      }
    }
  }

  bool Suspended(const Upstream& upstream) const {
    return (upstream.suspended_until && m_now < *upstream.suspended_until) ||
           (upstream.paused_until && m_now < *upstream.paused_until);
  }

  bool Fits(const Upstream& upstream) const {
    if (!m_state.upstreams.Usable(upstream, m_now) || upstream.loading ||
        std::find(m_request.tried.begin(), m_request.tried.end(),
                  upstream.entry.id) != m_request.tried.end()) {
      return false;
    }
    if (!m_request.arrival.prompt) {
      return true;
    }
    // Without known weights the salt of cached parts cannot be told.
    if (upstream.Weights(m_request.arrival.prompt->model) == 0) {
      return false;
    }
    return m_rule != WeightsRule::kOnlyNewest ||
           HasNewest(m_state, m_request, upstream);
  }

  /// Drops upstreams with old weights while others have room.
  void KeepNewest() {
    std::vector<Upstream*> newest;
    bool room = false;
    for (Upstream* upstream : m_candidates) {
      if (HasNewest(m_state, m_request, *upstream)) {
        newest.push_back(upstream);
        room = room || EffectiveLoad(*upstream) < 1;
      }
    }
    if (room) {
      m_candidates = std::move(newest);
    }
  }

  Upstream* LeastLoaded() const {
    const auto cost = [this](const Upstream& upstream) {
      const bool near = upstream.entry.zone == m_state.options.zone;
      return EffectiveLoad(upstream) + (near ? 0 : kZonePenalty);
    };
    return *std::min_element(
        m_candidates.begin(), m_candidates.end(),
        [&](const Upstream* left, const Upstream* right) {
          return cost(*left) < cost(*right);
        });
  }

  Upstream* ByPrompt(double mean_load) const {
    const auto& parts = m_request.arrival.prompt->parts;
    std::uint64_t prefix = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
      prefix = StableHash(parts[i].id, prefix);
    }
    Upstream* best = nullptr;
    std::uint64_t best_rank = 0;
    for (Upstream* upstream : m_candidates) {
      const double limit =
          mean_load * m_state.options.overload_factor +
          m_state.options.overload_margin /
              std::max<double>(upstream->entry.slots, 1);
      if (EffectiveLoad(*upstream) > limit) {
        continue;
      }
      const std::uint64_t rank = StableHash(upstream->entry.id, prefix);
      if (best == nullptr || rank > best_rank) {
        best = upstream;
        best_rank = rank;
      }
    }
    return best == nullptr ? LeastLoaded() : best;
  }

  const State& m_state;
  const Request& m_request;
  MonotonicTime m_now;
  WeightsRule m_rule;
  std::vector<Upstream*> m_candidates;
};

}  // namespace

Placement ChooseUpstream(const State& state,
                         const Request& request,
                         MonotonicTime now) {
  return Chooser(state, request, now).Choose();
}

}  // namespace jasminehatch::forwarding
