#ifndef JASMINEHATCH_DETAIL_DAEMON_BOOKING_EXECUTOR_H_
#define JASMINEHATCH_DETAIL_DAEMON_BOOKING_EXECUTOR_H_

#include "jasminehatch/detail/booking/effect.h"
#include "jasminehatch/detail/booking/event.h"

namespace jasminehatch {
struct State;
}

namespace jasminehatch::codec {
struct DaemonSettings;
struct LogPage;
}  // namespace jasminehatch::codec

namespace jasminehatch::net {
class HttpClient;
struct HttpResult;
}  // namespace jasminehatch::net

namespace jasminehatch::telemetry {
class Metrics;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::daemon {

class CallerTable;
class EventSink;
class LogAppender;

/// @brief Executes the effects of the booking reducer.
class BookingExecutor {
 public:
  /// @brief Components that the executor uses; all outlive it.
  struct Context {
    const Clock& clock;
    const codec::DaemonSettings& settings;
    const State& state;
    EventSink& sink;
    CallerTable& callers;
    net::HttpClient& client;
    LogAppender& appender;
    telemetry::Metrics& metrics;
  };

  explicit BookingExecutor(const Context& context) : m_context(context) {}

  void Execute(const booking::Effect& effect);

  /// Passes the entries in the records of the booking stream to the reducer;
  /// one record can contain several entries. Records that cannot be decoded are
  /// skipped.
  void OnPage(const codec::LogPage& page);

 private:
  void Apply(const booking::AppendEntries& effect);
  void Apply(const booking::ReplyToHandoff& effect);
  void Apply(const booking::Dispatch& effect);
  void Apply(const booking::RespondToBooking& effect);
  void Apply(const booking::RefuseBooking& effect);
  void Apply(const booking::RespondWithStage& effect);
  void Apply(const CountEvent& effect);
  void OnDispatched(booking::DispatchEnded ended,
                    const net::HttpResult& result);

  Context m_context;
};

/// Log stream whose records contain the booking entries.
inline constexpr std::string_view kBookingStream = "bookings";

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_BOOKING_EXECUTOR_H_
