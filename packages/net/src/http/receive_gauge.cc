#include "receive_gauge.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jasminehatch::net {
namespace {

using shedding::Activity;
using shedding::CallerRefusal;

/// Memory of received bytes: RESTinio's buffers grow by doubling.
constexpr std::size_t kBytesPerByte = 2;

/// Memory of a line end, in bytes. RESTinio keeps an entry of 40 bytes for each
/// chunk, which has two line ends, in a vector that grows by doubling.
constexpr std::size_t kBytesPerLine = 56;

/// Copies of a body while its request is in progress: RESTinio's and the
/// handler's.
constexpr std::size_t kBodyCopies = 2;

/// The server and the id of the connection whose first read follows. RESTinio
/// passes the socket of a new connection nowhere, and starts the first read in
/// the call that reports the connection.
struct AcceptedConnection {
  ReceiveGauge* gauge = nullptr;
  ReceiveGauge::ConnectionId id = 0;
};
thread_local AcceptedConnection accepted;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

ReceiveGauge::ReceiveGauge(
    const shedding::Options& options,
    std::function<void(shedding::CallerRefusal)> on_refusal)
    : m_ledger(options), m_on_refusal(std::move(on_refusal)) {}

void ReceiveGauge::OnAccepted(ConnectionId id) {
  const auto decision = m_ledger.Open(id, Now());
  Drop(decision.dropped);
  if (decision.granted) {
    m_connections[id] = {};
  } else {
    Report(CallerRefusal::kConnectionLimit);
  }
  accepted = {this, id};
}

ReceiveGauge* ReceiveGauge::Attach(Socket& socket, ConnectionId& id) {
  const AcceptedConnection connection = std::exchange(accepted, {});
  if (connection.gauge == nullptr) {
    return nullptr;
  }
  id = connection.id;
  auto& connections = connection.gauge->m_connections;
  const auto found = connections.find(id);
  if (found != connections.end()) {
    found->second.socket = &socket;
  } else {
    asio::error_code ignored;
    socket.shutdown(Socket::shutdown_both, ignored);
  }
  return connection.gauge;
}

void ReceiveGauge::OnClosed(ConnectionId id) {
  m_connections.erase(id);
  m_ledger.Close(id);
}

bool ReceiveGauge::Admit(ConnectionId id, std::string_view data) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return false;
  }
  Connection& connection = found->second;
  const auto lines =
      static_cast<std::size_t>(std::count(data.begin(), data.end(), '\n'));
  const std::size_t received =
      connection.received + data.size() * kBytesPerByte + lines * kBytesPerLine;
  const auto decision =
      m_ledger.Update(id, Activity::kReading, received, Now());
  Drop(decision.dropped);
  if (!decision.granted) {
    Report(CallerRefusal::kNoMemory);
    return false;
  }
  connection.received = received;
  m_ledger.AddProgress(id, data.size(), Now());
  return true;
}

std::size_t ReceiveGauge::OnHandedOver(ConnectionId id,
                                       std::size_t body_bytes) {
  const auto found = m_connections.find(id);
  if (found != m_connections.end()) {
    found->second.received = 0;
    ++found->second.running;
    m_ledger.Update(id, Activity::kRunning, 0, Now());
  }
  const std::size_t bytes = body_bytes * kBodyCopies;
  m_ledger.AddRunning(bytes);
  return bytes;
}

void ReceiveGauge::OnResponded(ConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return;
  }
  Connection& connection = found->second;
  if (--connection.running == 0 && connection.received == 0) {
    m_ledger.Update(id, Activity::kIdle, 0, Now());
  }
}

void ReceiveGauge::OnDestroyed(std::size_t request_bytes) {
  m_ledger.RemoveRunning(request_bytes);
}

void ReceiveGauge::Report(CallerRefusal reason) const {
  if (m_on_refusal) {
    m_on_refusal(reason);
  }
}

void ReceiveGauge::Drop(std::span<const ConnectionId> ids) {
  for (const ConnectionId id : ids) {
    Report(CallerRefusal::kShed);
    const auto found = m_connections.find(id);
    if (found != m_connections.end() && found->second.socket != nullptr) {
      // Ends the read in progress, upon which RESTinio closes the connection.
      asio::error_code ignored;
      found->second.socket->shutdown(Socket::shutdown_both, ignored);
    }
  }
}

}  // namespace jasminehatch::net
