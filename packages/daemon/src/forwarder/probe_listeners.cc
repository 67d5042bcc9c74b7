#include "probe_listeners.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <utility>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/forwarder/explain_endpoint.h"
#include "jasminehatch/net.h"
#include "require_ip_port.h"

namespace jasminehatch::daemon {
namespace {

using std::chrono::milliseconds;

/// Limits of the listeners for readiness and metrics, whose requests are small.
/// With heads of up to 80 KiB, what their connections send takes at most 10 MB
/// together.
constexpr std::size_t kProbeBodyBytes = 1024;
/// On the listener for metrics, holds a request to explain with 64 parts.
constexpr std::size_t kExplainBodyBytes = 8UL << 10U;
/// An explanation takes about 1 MB with the largest fleets and prompts, so few
/// may wait until they are read.
constexpr std::size_t kMaxUnreadResponses = 4;
constexpr std::size_t kMaxProbeConnections = 64;
/// Connections that stay idle make room for the probes of the load balancer.
constexpr milliseconds kProbeReadTimeout{10'000};
/// Responses that are not read are dropped after this time.
constexpr milliseconds kProbeWriteTimeout{10'000};

net::HttpServer::Options MakeOptions(const std::string& address,
                                     std::size_t body_limit) {
  const net::IpPort parsed = RequireIpPort(address);
  net::HttpServer::Options options;
  options.address = parsed.ip;
  options.port = parsed.port;
  options.body_limit = body_limit;
  options.connection_limit = kMaxProbeConnections;
  options.read_timeout = kProbeReadTimeout;
  options.write_timeout = kProbeWriteTimeout;
  return options;
}

}  // namespace

ProbeListeners::ProbeListeners(asio::io_context& loop,
                               const codec::ForwarderSettings& settings,
                               ForwardingHost& host,
                               std::function<bool()> is_ready,
                               std::function<std::string()> render_metrics) {
  m_ready_server = std::make_unique<net::HttpServer>(
      loop, MakeOptions(settings.ready_address, kProbeBodyBytes),
      [is_ready = std::move(is_ready)](
          const net::HttpRequest& /*request*/,
          const std::shared_ptr<net::ResponseWriter>& writer) {
        const bool ready = is_ready();
        writer->Send(ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                     ready ? "ready\n" : "not ready\n");
      });
  if (settings.metrics_address.empty()) {
    return;
  }
  m_metrics_server = std::make_unique<net::HttpServer>(
      loop, MakeOptions(settings.metrics_address, kExplainBodyBytes),
      [this, &host, render_metrics = std::move(render_metrics)](
          const net::HttpRequest& request,
          const std::shared_ptr<net::ResponseWriter>& writer) {
        if (request.path == kExplainPath &&
            m_metrics_server->UnfinishedResponses() > kMaxUnreadResponses) {
          writer->Send(503,
                       {{"Content-Type", "text/plain"}, {"Retry-After", "1"}},
                       "earlier responses have not been read\n");
          return;
        }
        if (request.path == kExplainPath) {
          AnswerExplain(host, request, kExplainBodyBytes, *writer);
          return;
        }
        writer->Send(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                     render_metrics());
      });
}

ProbeListeners::~ProbeListeners() = default;

}  // namespace jasminehatch::daemon
