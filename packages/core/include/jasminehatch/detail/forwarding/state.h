#ifndef JASMINEHATCH_DETAIL_FORWARDING_STATE_H_
#define JASMINEHATCH_DETAIL_FORWARDING_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/cache_stores.h"
#include "jasminehatch/detail/forwarding/cache_use_window.h"
#include "jasminehatch/detail/forwarding/configuration_lag.h"
#include "jasminehatch/detail/forwarding/crash_suspects.h"
#include "jasminehatch/detail/forwarding/evacuated_zones.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/failure_reports.h"
#include "jasminehatch/detail/forwarding/fleet_load.h"
#include "jasminehatch/detail/forwarding/forwarding_peers.h"
#include "jasminehatch/detail/forwarding/options.h"
#include "jasminehatch/detail/forwarding/part_suspects.h"
#include "jasminehatch/detail/forwarding/peer_configurations.h"
#include "jasminehatch/detail/forwarding/peer_contact.h"
#include "jasminehatch/detail/forwarding/registry_knowledge.h"
#include "jasminehatch/detail/forwarding/request.h"
#include "jasminehatch/detail/forwarding/retry_allowance.h"
#include "jasminehatch/detail/forwarding/route_table.h"
#include "jasminehatch/detail/forwarding/shared_clock.h"
#include "jasminehatch/detail/forwarding/stream_origins.h"
#include "jasminehatch/detail/forwarding/unreachable_zones.h"
#include "jasminehatch/detail/forwarding/upstream_directory.h"
#include "jasminehatch/detail/forwarding/upstream_reachability.h"
#include "jasminehatch/detail/routing/fleet_members.h"
#include "jasminehatch/detail/routing/warm_up_limiter.h"

namespace jasminehatch::forwarding {

/// @brief State of the forwarder of one daemon.
struct State {
  Options options;
  /// Null until the first configuration was read. Requests in progress keep the
  /// table with which they were admitted.
  std::shared_ptr<const RouteTable> table;
  /// Freshness proof: when the latest read that returned the newest
  /// configuration was sent.
  std::optional<MonotonicTime> confirmed_at;
  ConfigurationLag lag;
  PeerConfigurations peer_configurations;
  /// When the first freshness proof was accepted; nothing again while a daemon
  /// that has just started is behind its peers.
  std::optional<MonotonicTime> first_confirmed_at;
  /// The newest proof that came while the daemon waited for its peers.
  std::optional<ConfigurationConfirmed> pending_confirmation;
  std::optional<StopRequested> stop;  ///< Set while the daemon stops.
  UpstreamDirectory upstreams;
  RegistryKnowledge registry;
  PeerContact peer_contact;
  CacheStores stores;
  CacheUseWindow cache_use;
  SharedClock shared_clock;
  FleetLoad fleet;
  CrashSuspects crashes;
  PartSuspects part_suspects;
  StreamOrigins stream_origins;
  std::unordered_map<RequestId, Request> requests;
  std::set<std::pair<MonotonicTime, RequestId>> timers;
  RetryAllowance retries;
  EvacuatedZones evacuated_zones;
  std::uint64_t next_attempt = 1;
  FleetMembers members;
  WarmUpLimiter warm_ups;
  FailureReports failure_reports;
  UnreachableZones unreachable_zones;
  UpstreamReachability reachability;
  ForwardingPeers peers;

  /// @return when the next `TimerFired` is due, if any
  std::optional<MonotonicTime> NextTimer() const {
    return timers.empty() ? std::nullopt : std::optional(timers.begin()->first);
  }
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_STATE_H_
