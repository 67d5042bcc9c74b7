#ifndef JASMINEHATCH_DETAIL_DAEMON_DAEMON_H_
#define JASMINEHATCH_DETAIL_DAEMON_DAEMON_H_

#include <cstdint>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::codec {
struct DaemonSettings;
}

namespace jasminehatch::telemetry {
class Metrics;
}

namespace jasminehatch::daemon {

/// @brief A daemon that serves prompts and bookings and reads its configuration
/// from the log service. Runs on an Asio loop; all calls are made on the loop's
/// thread.
class Daemon {
 public:
  /// @param incarnation greater than that of every earlier process with the
  /// same name
  /// @throw TransportError 301 when the address cannot be bound
  Daemon(asio::io_context& loop,
         const codec::DaemonSettings& settings,
         const Clock& clock,
         std::uint64_t incarnation);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  std::uint16_t Port() const;

  /// @return whether the load balancer may send requests
  bool IsReady() const;

  /// @brief Starts a graceful stop: reports not ready at once, refuses new
  /// requests after the stop delay, finishes the requests in progress and then
  /// calls `on_stopped`. A second call skips the rest of the stop delay.
  void Stop(std::function<void()> on_stopped);

  const telemetry::Metrics& CurrentMetrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_DAEMON_H_
