#ifndef JASMINEHATCH_DETAIL_ROLLOUT_STATE_H_
#define JASMINEHATCH_DETAIL_ROLLOUT_STATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/rollout/event.h"

namespace jasminehatch::rollout {

/// @brief Settings of the rollout reducer.
struct Options {
  /// Limit for concurrent loads; more than that slow each other down.
  std::size_t max_loads = 2;
  /// Time after sending its order at which a load that was not reported
  /// complete counts as failed.
  Duration load_timeout = std::chrono::seconds(30);
  /// Time after which a load whose order could not be sent leaves its place to
  /// another upstream.
  Duration order_timeout = std::chrono::seconds(10);
  /// Whether an upstream that loads weights is ordered at once to load others
  /// when its target changes. Otherwise it gets the order after the load.
  bool supersede_loads = false;
  /// Quiet hours, in which `LoadStart::kQuietHours` allows loads to begin, as
  /// local time since midnight. The end is exclusive.
  std::chrono::minutes quiet_begin = std::chrono::hours(22);
  std::chrono::minutes quiet_end = std::chrono::hours(4);
};

/// @brief A load that takes one of the places for concurrent loads.
struct Load {
  MonotonicTime deadline{};
  bool ordered = false;  ///< The order was sent.
};

/// @brief State of the rollout reducer of one daemon.
struct State {
  Options options;
  std::map<std::string, Target> targets;  ///< By upstream.
  std::set<ModelVersion> in_use;
  std::map<std::string, VersionReported> reports;  ///< By upstream.
  std::map<std::string, Load> loads;  ///< In progress, by upstream.
  std::map<std::string, std::uint32_t>
      expired_loads;  ///< Loads that reached their deadline, by upstream.
  bool holder = false;
  bool paused = false;
  std::optional<std::chrono::minutes>
      time_of_day;  ///< Local time since midnight.

  /// @return when the next `TimerFired` is due, if at all
  std::optional<MonotonicTime> NextTimer() const;
};

}  // namespace jasminehatch::rollout

#endif  // JASMINEHATCH_DETAIL_ROLLOUT_STATE_H_
