#include "jasminehatch/detail/forwarding/explain.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jasminehatch/detail/forwarding/fleet_load.h"
#include "jasminehatch/detail/forwarding/placement.h"
#include "jasminehatch/detail/forwarding/placement_trace.h"
#include "jasminehatch/detail/forwarding/state.h"
#include "jasminehatch/detail/forwarding/warm_up.h"
#include "reducer.h"

namespace jasminehatch::forwarding {
namespace {

/// Random numbers of a request that is let through as a probe as early and as
/// late as possible, see `PartSuspects::TryProbe`.
constexpr std::uint64_t kEarliestProbe = 0;
constexpr std::uint64_t kLatestProbe =
    std::numeric_limits<std::uint64_t>::max();

/// Random numbers with which `Retry-After` is shortest and longest, see
/// `Reducer::RetryAfter`.
constexpr std::uint64_t kShortestRetryAfter = 0;
constexpr std::uint64_t kLongestRetryAfter = 999;

/// @return the remaining time, or nothing if it has passed
std::optional<Duration> TimeLeft(const std::optional<MonotonicTime>& until,
                                 MonotonicTime now) {
  return until && now < *until ? std::optional<Duration>(*until - now)
                               : std::nullopt;
}

std::optional<Duration> Age(const std::optional<MonotonicTime>& at,
                            MonotonicTime now) {
  return at ? std::optional<Duration>(now - *at) : std::nullopt;
}

/// @return the places of the candidates in the order of preference, from 1;
/// none for choices by load
std::map<const Upstream*, std::size_t> PrefixRanks(
    const PlacementTrace& trace) {
  std::vector<std::pair<std::uint64_t, const Upstream*>> order;
  for (const WeighedUpstream& weighed : trace.candidates) {
    if (weighed.rendezvous_score) {
      order.emplace_back(*weighed.rendezvous_score, weighed.upstream);
    }
  }
  std::sort(order.begin(), order.end(),
            [](const auto& left, const auto& right) {
              return left.first > right.first;
            });
  std::map<const Upstream*, std::size_t> ranks;
  for (const auto& [score, upstream] : order) {
    ranks.emplace(upstream, ranks.size() + 1);
  }
  return ranks;
}

}  // namespace

Explanation Reducer::Explain(const RequestReceived& event) const {
  Request request;
  Accept(request, event);
  request.arrival.random = kLatestProbe;
  auto denial = Admit(request);
  const bool admitted = !denial;
  if (admitted && !MayProbe(request)) {
    denial = FindCrashDenial(request);
  }
  Explanation explanation = DescribeAdmission(request);
  if (admitted) {
    PlacementTrace trace;
    const Placement placement = ChooseUpstream(m_state, request, m_now, &trace);
    if (!denial) {
      denial = FindTimeDenial(request);
    }
    if (!denial) {
      denial = FindPlacementDenial(request, placement);
    }
    ExplainPlacement(request, placement, trace, explanation);
  }
  if (denial) {
    ExplainRefusal(request, std::move(*denial), explanation);
  }
  return explanation;
}

Explanation Reducer::DescribeAdmission(const Request& request) const {
  Explanation explanation;
  explanation.proof_age = Age(m_state.confirmed_at, m_now);
  explanation.workspace = request.workspace;
  explanation.priority = request.priority;
  explanation.service = request.service;
  explanation.time_left = request.deadline - m_now;
  explanation.expected_tokens = request.expected_tokens;
  if (request.table) {
    explanation.configuration_version =
        request.table->SourceConfiguration().version;
  }
  if (request.route != nullptr) {
    explanation.route = request.route->name;
    explanation.services = request.route->services;
  }
  return explanation;
}

void Reducer::ExplainRefusal(Request& request,
                             Denial denial,
                             Explanation& explanation) const {
  request.arrival.random = kEarliestProbe;
  explanation.may_probe =
      denial.code == RefusalCode::kCrashSuspect && MayProbe(request);
  request.arrival.random = kLongestRetryAfter;
  explanation.max_retry_after = MakeRefusal(request, denial).retry_after;
  request.arrival.random = kShortestRetryAfter;
  explanation.refusal = MakeRefusal(request, std::move(denial));
  explanation.upstream.clear();
  explanation.reason = PlacementReason::kNone;
}

void Reducer::ExplainPlacement(const Request& request,
                               const Placement& placement,
                               const PlacementTrace& trace,
                               Explanation& explanation) const {
  if (placement.upstream != nullptr) {
    explanation.upstream = placement.upstream->entry.id;
  }
  if (placement.preferred != nullptr) {
    explanation.preferred = placement.preferred->entry.id;
  }
  explanation.reason = placement.reason;
  explanation.mean_load = placement.mean_load;
  explanation.ignores_temporary = trace.ignores_temporary;
  explanation.min_weight_version = trace.min_weight_version;
  explanation.favored_weight_version = trace.favored_weight_version;
  explanation.peer_report_age = m_state.fleet.OldestReportAge(m_now);
  const auto ranks = PrefixRanks(trace);
  std::map<const Upstream*, UpstreamExplanation> others;
  for (const Upstream* upstream :
       m_state.upstreams.OfService(request.service)) {
    others.emplace(upstream, DescribeUpstream(request, *upstream));
  }
  for (const auto& [upstream, reasons] : trace.exclusions) {
    others.at(upstream).exclusions = reasons;
  }
  for (const WeighedUpstream& weighed : trace.candidates) {
    UpstreamExplanation& explained = others.at(weighed.upstream);
    explained.is_candidate = true;
    explained.load = weighed.load;
    explained.load_limit = weighed.load_limit;
    explained.memory_share = weighed.memory_share;
    explained.lacks_memory = weighed.lacks_memory;
    const auto rank = ranks.find(weighed.upstream);
    explained.prefix_rank =
        rank == ranks.end() ? std::nullopt : std::optional(rank->second);
    explained.parts = ExplainParts(request, placement, *weighed.upstream);
  }
  for (auto& [upstream, explained] : others) {
    explanation.upstreams.push_back(std::move(explained));
  }
  std::sort(explanation.upstreams.begin(), explanation.upstreams.end(),
            [](const auto& left, const auto& right) {
              return std::pair(!left.is_candidate, left.id) <
                     std::pair(!right.is_candidate, right.id);
            });
}

UpstreamExplanation Reducer::DescribeUpstream(const Request& request,
                                              const Upstream& upstream) const {
  UpstreamExplanation explained;
  explained.id = upstream.entry.id;
  explained.address = upstream.entry.address;
  explained.zone = upstream.entry.zone;
  explained.slots = upstream.entry.slots;
  const UpstreamLoad others =
      m_state.fleet.LoadOf(FleetLoad::CompactId(upstream.entry.id), m_now);
  explained.own_requests = upstream.in_flight;
  explained.other_requests = others.in_flight;
  explained.own_tokens = upstream.tokens;
  explained.other_tokens = others.tokens;
  explained.reported_load = upstream.reported_load;
  explained.load_age = Age(upstream.load_reported_at, m_now);
  explained.slowdown = upstream.speed.SlowdownAt(m_now);
  explained.failure_share = upstream.failure_share;
  explained.consecutive_failures = upstream.consecutive_failures;
  if (request.arrival.prompt) {
    explained.weight_version =
        upstream.WeightVersion(request.arrival.prompt->model);
  }
  explained.suspended_for = TimeLeft(upstream.SuspendedUntil(), m_now);
  explained.paused_for = TimeLeft(upstream.paused_until, m_now);
  explained.pause_requested_for = TimeLeft(upstream.notice.pause_until, m_now);
  explained.loading_for = TimeLeft(upstream.loading_until, m_now);
  explained.entry_age = m_now - upstream.entry_read_at;
  const WarmUpSpec* warm_up = FindWarmUp(m_state, request.service);
  const auto cold = warm_up == nullptr
                        ? std::nullopt
                        : DescribeColdUse(m_state, upstream, *warm_up, m_now);
  if (cold) {
    explained.cold_for = cold->cold_until - m_now;
    explained.cold_room_in = cold->room_at - m_now;
  }
  return explained;
}

std::vector<PartExplanation> Reducer::ExplainParts(const Request& request,
                                                   Placement placement,
                                                   Upstream& upstream) const {
  std::vector<PartExplanation> explained;
  if (!request.arrival.prompt || request.arrival.prompt->parts.empty()) {
    return explained;
  }
  placement.upstream = &upstream;
  const CachePlan plan = MakeCachePlan(request, placement, SavePlanning::kNone);
  const auto& parts = request.arrival.prompt->parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    explained.push_back({parts[i].id, parts[i].tokens, plan.fetch[i]});
  }
  return explained;
}

Explanation Explain(State& state,
                    const RequestReceived& arrival,
                    MonotonicTime now) {
  return Reducer(state, now).Explain(arrival);
}

}  // namespace jasminehatch::forwarding
