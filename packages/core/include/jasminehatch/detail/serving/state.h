#ifndef JASMINEHATCH_DETAIL_SERVING_STATE_H_
#define JASMINEHATCH_DETAIL_SERVING_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/routing/fleet_members.h"
#include "jasminehatch/detail/routing/warm_up_limiter.h"
#include "jasminehatch/detail/serving/crash_table.h"
#include "jasminehatch/detail/serving/model_group.h"
#include "jasminehatch/detail/serving/options.h"
#include "jasminehatch/detail/serving/prefix_index.h"
#include "jasminehatch/detail/serving/request.h"
#include "jasminehatch/detail/serving/residency.h"
#include "jasminehatch/detail/serving/retry_budget.h"
#include "jasminehatch/detail/serving/routing_policy.h"
#include "jasminehatch/detail/serving/store_table.h"
#include "jasminehatch/detail/serving/timer_queue.h"
#include "jasminehatch/detail/serving/upstream_view.h"

namespace jasminehatch::serving {

/// @brief State of the serving reducer of one daemon.
struct State {
  Options options;
  std::vector<UpstreamView>
      upstreams;  ///< Indexed by UpstreamId; entries are never removed.
  std::unordered_map<std::string, UpstreamId> upstreams_by_name;
  std::unordered_map<std::string, ModelGroup> models;
  Residency residency;  ///< Of the newest configuration.
  PrefixIndex prefixes;
  StoreTable stores;
  std::shared_ptr<const RoutingPolicy>
      policy;  ///< Replaces the choice by expected cost; only for the
               ///< benchmark of routing policies.
  std::unordered_map<RequestId, Request> requests;
  TimerQueue timers;
  RetryBudget retry_budget;
  CrashTable crashes;
  std::vector<bool> has_room;  ///< `UpstreamView::HasRoom` by UpstreamId; lets
                               ///< scans skip the views.
  std::vector<UpstreamId> candidates;  ///< Reused by `CandidateUpstreams`.
  std::uint64_t next_attempt = 1;
  bool shutting_down = false;
  std::string daemon;    ///< Name of this daemon.
  std::string zone;      ///< Availability zone of this daemon.
  FleetMembers members;  ///< Other daemons that send to the same upstreams.
  WarmUpLimiter warm_ups;
  bool has_warm_ups = false;  ///< Whether an upstream has a warm-up; lets scans
                              ///< skip the views.
  bool has_configuration = false;  ///< Whether upstreams were configured once.

  State() = default;
  // The queues contain iterators into their own lists.
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  UpstreamView& View(UpstreamId id) { return upstreams.at(id.value); }
  const UpstreamView& View(UpstreamId id) const {
    return upstreams.at(id.value);
  }

  /// Updates `has_room`; call after each change of an upstream's attempts,
  /// limit or isolation.
  void UpdateRoom(const UpstreamView& view) {
    has_room.resize(upstreams.size());
    has_room[view.id.value] = view.HasRoom();
  }

  /// Invalidates `VersionGroup::serving`; call after each change of what an
  /// upstream of the model serves.
  void MarkServingChanged(const std::string& model) {
    const auto group = models.find(model);
    if (group != models.end()) {
      ++group->second.changes;
    }
  }

  /// @return when the next `TimerFired` is due, if any
  std::optional<MonotonicTime> NextTimer() const { return timers.Next(); }
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_STATE_H_
