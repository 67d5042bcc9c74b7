#include "peer_listener.h"

#include <array>
#include <asio/io_context.hpp>
#include <chrono>

#include "forwarder_options.h"
#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/shedding/options.h"
#include "jasminehatch/net.h"
#include "jasminehatch/telemetry.h"
#include "require_ip_port.h"

namespace jasminehatch::daemon {
namespace {

using std::chrono::milliseconds;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

/// Share of the memory and of the connections that callers may take which other
/// daemons may take in addition.
constexpr std::size_t kShareDivisor = 4;

}  // namespace

PeerListener::PeerListener(asio::io_context& loop,
                           const codec::ForwarderSettings& settings,
                           ForwardingHost& host,
                           DecisionLog& log) {
  const net::IpPort address = RequireIpPort(settings.peer_address);
  try {
    m_server = std::make_unique<net::StreamServer>(
        loop, address.ip, address.port,
        [&host](const std::shared_ptr<net::ServerExchange>& exchange) {
          host.OnForwardedRequest(exchange);
        });
  } catch (const TransportError& error) {
    const std::array fields{DecisionLogField{"detail", error.what()}};
    log.Write(DecisionLog::Level::kState, "peer_listener_failed", fields);
    return;
  }
  m_address = settings.peer_address;
  const std::size_t memory =
      settings.memory != 0 ? settings.memory : net::SystemMemoryBytes();
  m_server->SetMemoryLimits(shedding::Options::For(
      memory / kShareDivisor, net::DescriptorLimit() / kShareDivisor));
}

PeerListener::~PeerListener() = default;

void PeerListener::SetLimits(const forwarding::Limits& limits) {
  if (m_server) {
    m_server->SetLimits(
        {limits.header_bytes, limits.body_bytes,
         std::chrono::duration_cast<milliseconds>(limits.header_timeout),
         std::chrono::duration_cast<milliseconds>(limits.idle_timeout)});
  }
}

void PeerListener::StopAccepting() {
  if (m_server) {
    m_server->StopAccepting();
  }
}

std::size_t PeerListener::BusyConnections() const {
  return m_server ? m_server->BusyConnections() : 0;
}

std::size_t PeerListener::MemoryBytes() const {
  return m_server ? m_server->MemoryBytes() : 0;
}

}  // namespace jasminehatch::daemon
