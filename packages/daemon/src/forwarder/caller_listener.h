#ifndef JASMINEHATCH_FORWARDER_CALLER_LISTENER_H_
#define JASMINEHATCH_FORWARDER_CALLER_LISTENER_H_

#include <cstddef>
#include <memory>

#include "jasminehatch/detail/shedding/refusal_summary.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::codec {
struct ForwarderSettings;
}

namespace jasminehatch::forwarding {
struct Limits;
}

namespace jasminehatch::net {
class StreamServer;
}

namespace jasminehatch::telemetry {
class DecisionLog;
class Metrics;
}  // namespace jasminehatch::telemetry

namespace jasminehatch::daemon {

class ForwardingHost;

/// @brief Accepts the callers' connections, limits their memory and reports
/// the callers that were refused for it.
class CallerListener {
 public:
  /// @throw SettingsError 104 when the address is malformed
  /// @throw TransportError 301 when the address cannot be bound
  CallerListener(asio::io_context& loop,
                 const codec::ForwarderSettings& settings,
                 const Clock& clock,
                 ForwardingHost& host,
                 telemetry::DecisionLog& log,
                 telemetry::Metrics& metrics);
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  /// Limits the memory that all callers' connections hold together.
  void LimitMemory(const codec::ForwarderSettings& settings);

  /// Sets the limits of each request.
  void SetLimits(const forwarding::Limits& limits);

  /// Logs how many callers were refused, by reason.
  void LogRefusals();

  /// @return the memory of all callers' connections and requests, in bytes
  std::size_t MemoryBytes() const;

  /// Makes each response from now on close its connection.
  void CloseAfterResponses();

  /// Stops accepting connections and closes those without a request.
  void StopAccepting();

  /// @return the number of connections with a request or a response in progress
  std::size_t BusyConnections() const;

 private:
  const Clock& m_clock;
  telemetry::DecisionLog& m_log;
  telemetry::Metrics& m_metrics;
  shedding::RefusalSummary m_refusals;
  std::unique_ptr<net::StreamServer> m_server;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_CALLER_LISTENER_H_
