#ifndef JASMINEHATCH_FORWARDER_PEER_LISTENER_H_
#define JASMINEHATCH_FORWARDER_PEER_LISTENER_H_

#include <cstddef>
#include <memory>
#include <string>

namespace asio {
class io_context;
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
}

namespace jasminehatch::daemon {

class ForwardingHost;

/// @brief Accepts the requests that daemons without a link to any upstream
/// forward to this one, over TCP at the address at which it gets gossip.
class PeerListener {
 public:
  /// Listens, or logs why that is not possible: other daemons then forward
  /// nothing to this one.
  PeerListener(asio::io_context& loop,
               const codec::ForwarderSettings& settings,
               ForwardingHost& host,
               telemetry::DecisionLog& log);
  ~PeerListener();
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;

  /// @return where it listens; empty if it does not
  const std::string& Address() const { return m_address; }

  /// Sets the limits of each request.
  void SetLimits(const forwarding::Limits& limits);

  /// Stops accepting connections and closes those without a request.
  void StopAccepting();

  /// @return the number of connections with a request or a response in progress
  std::size_t BusyConnections() const;

  /// @return the memory of all connections and requests, in bytes
  std::size_t MemoryBytes() const;

 private:
  std::string m_address;
  std::unique_ptr<net::StreamServer> m_server;  ///< Null if it does not listen.
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_PEER_LISTENER_H_
