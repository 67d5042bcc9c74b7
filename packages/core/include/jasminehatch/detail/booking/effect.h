#ifndef JASMINEHATCH_DETAIL_BOOKING_EFFECT_H_
#define JASMINEHATCH_DETAIL_BOOKING_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/base/verdict.h"
#include "jasminehatch/detail/booking/append_result.h"
#include "jasminehatch/detail/booking/log_entry.h"

namespace jasminehatch::booking {

/// Appends one record with these entries to the booking stream.
struct AppendEntries {
  AppendId append;
  std::vector<LogEntry> entries;
  std::string via;  ///< Daemon that appends them in its own record; empty for a
                    ///< direct append.
};

/// Tells another daemon of the zone the result of appending the entries that it
/// handed off.
struct ReplyToHandoff {
  HandoffId handoff;
  AppendResult result = AppendResult::kUnknown;
};

/// Sends the booking to an upstream of the service, once, on a new connection.
struct Dispatch {
  RequestId request;
  IntentId intent;
  BookingKey key;
  std::string service;
  std::string path;
  std::string content_type;
  std::string body;
  std::uint32_t earlier_dispatches =
      0;  ///< Earlier dispatches of this intent, all proven not to have run.
  /// End of the claim. A process that was paused since the decision reports
  /// `kNotRun` after this time instead of sending.
  MonotonicTime not_after{};
  /// Set by the reducer of the daemon; absent if no upstream may be used now.
  std::optional<UpstreamId> upstream = std::nullopt;
};

/// Sends the upstream's response to the caller.
struct RespondToBooking {
  RequestId request;
  int status = 0;
  std::string content_type;
  std::string body;
  bool replayed =
      false;  ///< The response comes from the log, not from a new run.
};

struct RefuseBooking {
  RequestId request;
  RefusalCode code = RefusalCode::kOverloaded;
  Verdict verdict = Verdict::kMayHaveRun;
  std::string detail;
  std::optional<Duration> retry_after;
};

/// @brief Progress of a booking.
enum class Stage {
  kUnknown,   ///< No intent is known, or its outcome is lost.
  kAccepted,  ///< The intent is in the log.
  kSent,      ///< This daemon has sent the booking to the upstream.
  kDone,
};

/// @return `unknown`, `accepted`, `sent` or `done`
std::string_view ToString(Stage stage);

/// Sends the stage of a booking to the caller.
struct RespondWithStage {
  RequestId request;
  Stage stage = Stage::kUnknown;
  std::optional<Outcome> outcome;
};

using Effect = std::variant<AppendEntries,
                            ReplyToHandoff,
                            Dispatch,
                            RespondToBooking,
                            RefuseBooking,
                            RespondWithStage,
                            CountEvent>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch::booking

#endif  // JASMINEHATCH_DETAIL_BOOKING_EFFECT_H_
