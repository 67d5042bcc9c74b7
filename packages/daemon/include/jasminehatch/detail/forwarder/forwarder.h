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

/// @brief A daemon that forwards requests on the platform that its users
/// operate: it reads the configuration and the registry of upstreams from the
/// platform's store. All calls are made on the loop's thread.
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

  /// @return whether the load balancer may send requests
  bool IsReady() const;

  /// @brief Applies the policy settings of a reloaded settings file.
  void Reload(const codec::ForwarderSettings& settings);

  /// @brief Starts a graceful stop: reports not ready at once, accepts requests
  /// until the load balancer has noticed, finishes those in progress and then
  /// calls `on_stopped`. Calls it even with requests in progress shortly before
  /// `ForwarderSettings::stop_grace` ends. A second call has no effect.
  void Stop(std::function<void()> on_stopped);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_FORWARDER_H_
