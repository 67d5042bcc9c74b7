#ifndef JASMINEHATCH_HTTP_RECEIVE_GAUGE_H_
#define JASMINEHATCH_HTTP_RECEIVE_GAUGE_H_

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <unordered_map>

#include "jasminehatch/detail/shedding/caller_refusal.h"
#include "jasminehatch/detail/shedding/memory_ledger.h"

namespace jasminehatch::net {

/// @brief Counts what the connections of a RESTinio server have received and
/// not handed over yet, and closes connections when the memory that this takes
/// reaches the limit.
///
/// RESTinio shows neither the head nor the body of a request before both are
/// complete, so connections are closed without a response.
class ReceiveGauge {
 public:
  using ConnectionId = shedding::ConnectionId;
  using Socket = asio::ip::tcp::socket;

  ReceiveGauge(const shedding::Options& options,
               std::function<void(shedding::CallerRefusal)> on_refusal);

  /// Adds a connection; RESTinio starts its first read within the same call.
  void OnAccepted(ConnectionId id);
  void OnClosed(ConnectionId id);

  /// Joins a connection that was just accepted with its socket, which stays
  /// where it is until it is closed.
  /// @param id receives the connection's id
  /// @return the gauge of the connection's server; null for a socket of a
  /// server without one
  static ReceiveGauge* Attach(Socket& socket, ConnectionId& id);

  /// Counts received bytes.
  /// @return whether there is room for them
  bool Admit(ConnectionId id, std::string_view data);

  /// Moves the received bytes to a request that is now in progress.
  /// @return the memory of the request, to be passed to `OnDestroyed`
  std::size_t OnHandedOver(ConnectionId id, std::size_t body_bytes);
  void OnResponded(ConnectionId id);
  void OnDestroyed(std::size_t request_bytes);

  /// Makes no further calls to the function for refusals.
  void StopReporting() { m_on_refusal = {}; }

  std::size_t MemoryBytes() const { return m_ledger.TotalBytes(); }

 private:
  struct Connection {
    Socket* socket = nullptr;
    std::size_t received = 0;  ///< Memory of what was not handed over.
    std::size_t running = 0;   ///< Requests without a complete response.
  };

  void Report(shedding::CallerRefusal reason) const;
  void Drop(std::span<const ConnectionId> ids);

  shedding::MemoryLedger m_ledger;
  std::function<void(shedding::CallerRefusal)> m_on_refusal;
  std::unordered_map<ConnectionId, Connection> m_connections;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_HTTP_RECEIVE_GAUGE_H_
