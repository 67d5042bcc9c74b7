#ifndef JASMINEHATCH_DETAIL_BOOKING_EVENT_H_
#define JASMINEHATCH_DETAIL_BOOKING_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/booking/append_result.h"
#include "jasminehatch/detail/booking/log_entry.h"

namespace jasminehatch::booking {

/// A caller requested a booking. The request is authenticated and its key is
/// well-formed.
struct BookingArrived {
  RequestId request;
  BookingKey key;
  WallTime key_time{};
  Digest body_digest;
  std::string service;  ///< Name of the plain service that runs the booking.
  std::string path;     ///< Path at the service.
  std::string content_type;
  std::string body;
  WallTime wall_now{};
  std::optional<MonotonicTime> deadline;
};

/// A caller requested the stage of a booking.
struct BookingQueried {
  RequestId request;
  BookingKey key;
  WallTime key_time{};
  WallTime wall_now{};
};

/// The caller of a booking closed its connection.
struct BookingCancelled {
  RequestId request;
};

struct AppendEnded {
  AppendId append;
  AppendResult result = AppendResult::kUnknown;
};

/// The entries of the booking stream after the last offset read, in log order.
struct RecordsRead {
  std::vector<LogEntry> entries;
  WallTime wall_now{};
};

/// @brief Result of a dispatch, as far as it is known.
enum class DispatchResult {
  kResponded,
  kNotRun,  ///< Proven: no byte was handed to a socket, or the upstream said
            ///< so.
  kUnknown,
};

struct DispatchEnded {
  IntentId intent;
  std::uint32_t earlier_dispatches =
      0;  ///< Copied from the dispatch, so that a duplicate
          ///< result is not applied to a later dispatch.
  DispatchResult result = DispatchResult::kUnknown;
  int status = 0;
  std::string content_type;
  std::string body;
  std::string detail;
};

/// A process is known to have ended, for example because its daemon was
/// restarted or its VM was stopped. Earlier incarnations of that daemon have
/// ended too.
struct ProcessGone {
  std::string daemon;
  std::uint64_t incarnation = 0;
};

/// The live daemons of this daemon's zone changed; this daemon is included.
struct ZoneChanged {
  std::string zone;
  std::vector<std::string> daemons;
};

/// Another daemon of the zone handed off entries to append.
struct HandoffReceived {
  HandoffId handoff;
  std::vector<LogEntry> entries;
};

/// The daemon is stopping: new bookings are refused, those in progress are
/// finished.
struct ShutdownRequested {};

/// The time returned by `State::NextTimer` was reached.
struct TimerFired {};

using Event = std::variant<BookingArrived,
                           BookingQueried,
                           BookingCancelled,
                           AppendEnded,
                           RecordsRead,
                           DispatchEnded,
                           ProcessGone,
                           ZoneChanged,
                           HandoffReceived,
                           ShutdownRequested,
                           TimerFired>;

}  // namespace jasminehatch::booking

#endif  // JASMINEHATCH_DETAIL_BOOKING_EVENT_H_
