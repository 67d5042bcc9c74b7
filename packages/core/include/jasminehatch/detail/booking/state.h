#ifndef JASMINEHATCH_DETAIL_BOOKING_STATE_H_
#define JASMINEHATCH_DETAIL_BOOKING_STATE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/booking/booking_index.h"
#include "jasminehatch/detail/booking/event.h"
#include "jasminehatch/detail/booking/log_entry.h"
#include "jasminehatch/detail/booking/options.h"

namespace jasminehatch::booking {

/// @brief The right of this process to dispatch one of its intents until
/// `expires`, and the progress of that intent.
///
/// The claim ends when the outcome or void record was read back from the log,
/// when the intent lost, or when the result of the dispatch is unknown. So an
/// intent of this process with neither an outcome in the log nor a claim will
/// never get an outcome.
struct Claim {
  enum class Phase {
    kAppending,   ///< The intent was not read back yet.
    kDispatched,  ///< Sent to the upstream.
    kRecording,   ///< Has a response; the outcome was not read back yet.
    kVoiding,     ///< Abandoned; the void record was not read back yet.
  };

  Intent intent;
  BookingArrived arrival;
  MonotonicTime expires{};
  Phase phase = Phase::kAppending;
  std::uint32_t dispatches = 0;
  bool caller_released =
      false;  ///< The caller disconnected or has its response.
  std::optional<MonotonicTime> timer;
};

/// @brief A caller that waits for the outcome of an intent of another process
/// or of an earlier request.
struct Waiter {
  BookingArrived arrival;
  MonotonicTime expires{};
};

/// @brief A record that is not known to be appended.
struct PendingAppend {
  std::vector<LogEntry> entries;  ///< Own entries, then those handed off.
  std::size_t own_entries = 0;
  std::vector<HandoffId> handoffs;
  bool direct = false;  ///< Appended by this daemon, not by the batcher.
  std::optional<MonotonicTime> timer;  ///< When the append is repeated.
};

/// @brief What this daemon knows of the processes of another daemon.
struct KnownProcess {
  std::uint64_t ended_below = 0;  ///< Lower incarnations have ended.
  WallTime last_seen{};
};

/// @brief An entry of the timer queue.
struct Timer {
  enum class Kind { kAppend, kClaim, kWaiter };

  MonotonicTime at{};
  Kind kind = Kind::kAppend;
  std::uint64_t id = 0;

  friend auto operator<=>(const Timer&, const Timer&) = default;
};

/// @brief State of the booking reducer of one daemon process.
struct State {
  Options options;
  std::string daemon;
  std::uint64_t incarnation = 0;  ///< Increases with each start of the daemon.
  std::string
      batcher;  ///< Daemon that appends for the zone; empty for this one.
  BookingIndex index;
  std::map<std::uint64_t, Claim> claims;  ///< By sequence of the intent.
  std::unordered_map<BookingKey, std::uint64_t>
      appending;  ///< Claims whose intent was not read back yet, by key.
  std::unordered_map<RequestId, std::uint64_t>
      callers;  ///< Claims by the caller's request.
  std::unordered_map<RequestId, Waiter> waiters;
  std::unordered_map<BookingKey, std::deque<RequestId>>
      waiters_of_key;  ///< In order of arrival.
  std::unordered_map<std::string, KnownProcess> processes;  ///< By daemon.
  std::vector<LogEntry> batch;  ///< Own entries for the next append.
  std::vector<LogEntry> handoff_entries;
  std::vector<HandoffId> handoffs;  ///< Get a reply when the batch ends.
  std::optional<MonotonicTime> batch_due;
  std::map<AppendId, PendingAppend> appends;
  std::set<Timer> timers;
  std::uint64_t next_sequence = 1;
  std::uint64_t next_append = 1;
  WallTime wall_now{};  ///< Taken from the last event that has it.
  bool shutting_down = false;

  /// @return when the next `TimerFired` is due, if at all
  std::optional<MonotonicTime> NextTimer() const;
};

}  // namespace jasminehatch::booking

#endif  // JASMINEHATCH_DETAIL_BOOKING_STATE_H_
