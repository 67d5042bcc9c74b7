#ifndef JASMINEHATCH_DETAIL_FORWARDER_FORWARDER_H_
#define JASMINEHATCH_DETAIL_FORWARDER_FORWARDER_H_

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
struct ForwarderSettings;
}

namespace jasminehatch::daemon {

/// @brief A daemon that forwards requests on the users' platform. All calls are
/// on the loop's thread.
class Forwarder {
 public:
  /// @param incarnation greater than that of every earlier process with the
  /// same name
  /// @param log_descriptor where decisions are logged; set to non-blocking mode
  /// @throw TransportError 301 when an address cannot be bound
  Forwarder(asio::io_context& loop,
            const codec::ForwarderSettings& settings,
            const Clock& clock,
            std::uint64_t incarnation,
            int log_descriptor);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  /// @return whether the balancer may send requests
  bool Ready() const;

  /// @brief Takes policy settings from a settings file that was read again.
  void Reload(const codec::ForwarderSettings& settings);

  /// @brief Starts a graceful stop: not ready at once, requests are taken until
  /// the balancer has noticed, those in progress are finished, then
  /// `on_stopped` is called. A second call has no effect.
  void Stop(std::function<void()> on_stopped);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_FORWARDER_H_
