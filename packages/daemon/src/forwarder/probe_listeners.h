#ifndef JASMINEHATCH_FORWARDER_PROBE_LISTENERS_H_
#define JASMINEHATCH_FORWARDER_PROBE_LISTENERS_H_

#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace jasminehatch::codec {
struct ForwarderSettings;
}

namespace jasminehatch::net {
class HttpServer;
}

namespace jasminehatch::daemon {

class ForwardingHost;

/// @brief Serves the readiness probes of the load balancer and, if the settings
/// have an address for them, the metrics and the explanations of placements.
class ProbeListeners {
 public:
  /// @param host answers requests to explain; must outlive this object
  /// @param is_ready whether the load balancer may send requests
  /// @param render_metrics returns the metrics in the Prometheus text format
  /// @throw SettingsError 104 when an address is malformed
  /// @throw TransportError 301 when an address cannot be bound
  ProbeListeners(asio::io_context& loop,
                 const codec::ForwarderSettings& settings,
                 ForwardingHost& host,
                 std::function<bool()> is_ready,
                 std::function<std::string()> render_metrics);
  ~ProbeListeners();
  ProbeListeners(const ProbeListeners&) = delete;
  ProbeListeners& operator=(const ProbeListeners&) = delete;

 private:
  std::unique_ptr<net::HttpServer> m_ready_server;
  std::unique_ptr<net::HttpServer> m_metrics_server;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_PROBE_LISTENERS_H_
