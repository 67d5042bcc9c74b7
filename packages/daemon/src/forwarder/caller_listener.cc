#include "caller_listener.h"

#include <array>
#include <asio/io_context.hpp>
#include <chrono>
#include <string>

#include "forwarder_options.h"
#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/shedding/options.h"
#include "jasminehatch/net.h"
#include "jasminehatch/telemetry.h"
#include "require_ip_port.h"

namespace jasminehatch::daemon {

using std::chrono::milliseconds;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

CallerListener::CallerListener(asio::io_context& loop,
                               const codec::ForwarderSettings& settings,
                               const Clock& clock,
                               ForwardingHost& host,
                               DecisionLog& log,
                               telemetry::Metrics& metrics)
    : m_clock(clock), m_log(log), m_metrics(metrics) {
  const net::IpPort address = RequireIpPort(settings.address);
  m_server = std::make_unique<net::StreamServer>(
      loop, address.ip, address.port,
      [&host](const std::shared_ptr<net::ServerExchange>& exchange) {
        host.OnRequest(exchange);
      });
  m_server->SetRefusalCallback([this](shedding::CallerRefusal reason) {
    m_metrics.CountCallerRefusal(reason);
    m_refusals.Count(reason);
  });
  LimitMemory(settings);
}

CallerListener::~CallerListener() = default;

void CallerListener::LimitMemory(const codec::ForwarderSettings& settings) {
  const shedding::Options options = MakeSheddingOptions(settings);
  m_server->SetMemoryLimits(options);
  const std::string limit = std::to_string(options.limit_bytes);
  const std::string large = std::to_string(options.LargeLimit());
  const std::string connections = std::to_string(options.connection_limit);
  const std::array fields{DecisionLogField{"bytes", limit},
                          DecisionLogField{"large_bodies", large},
                          DecisionLogField{"connections", connections}};
  m_log.Write(DecisionLog::Level::kState, "caller_memory_limit", fields);
}

void CallerListener::SetLimits(const forwarding::Limits& limits) {
  m_server->SetLimits(
      {limits.header_bytes, limits.body_bytes,
       std::chrono::duration_cast<milliseconds>(limits.header_timeout),
       std::chrono::duration_cast<milliseconds>(limits.idle_timeout)});
}

void CallerListener::LogRefusals() {
  while (const auto line = m_refusals.TakeLine(m_clock.Now())) {
    const std::string count = std::to_string(line->count);
    const std::array fields{DecisionLogField{"reason", ToString(line->reason)},
                            DecisionLogField{"count", count}};
    m_log.Write(DecisionLog::Level::kNotable, "callers_refused", fields);
  }
}

std::size_t CallerListener::MemoryBytes() const {
  return m_server->MemoryBytes();
}

void CallerListener::CloseAfterResponses() {
  m_server->CloseAfterResponses();
}

void CallerListener::StopAccepting() {
  m_server->StopAccepting();
}

std::size_t CallerListener::BusyConnections() const {
  return m_server->BusyConnections();
}

}  // namespace jasminehatch::daemon
