#ifndef JASMINEHATCH_DETAIL_SOAK_LOOPBACK_PROXY_H_
#define JASMINEHATCH_DETAIL_SOAK_LOOPBACK_PROXY_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace jasminehatch::soak {

/// @brief Fault that a proxy injects into its connections.
enum class LinkFault {
  kNone,
  kDelay,  ///< Received bytes are held back for 150 ms.
  kReset,  ///< Open connections are reset, and new ones when they are accepted.
  kSilent,       ///< Nothing passes; connections stay open.
  kCutToServer,  ///< Nothing passes towards the server.
  kCutToClient,  ///< Nothing passes towards the client.
  /// The client gets bytes that are no response, without end, until it closes
  /// the connection.
  kEndless,
  kCount,  ///< Number of faults; not a fault itself.
};

/// @brief Forwards TCP connections to one server on the loopback interface and
/// injects faults into them.
class LoopbackProxy {
 public:
  /// @param target `ip:port` of the server
  LoopbackProxy(asio::io_context& loop, const std::string& target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  /// @return `ip:port` to connect to
  std::string Address() const;

  /// Sets the fault from now on. Bytes that were held back are forwarded when
  /// the fault ends.
  void SetFault(LinkFault fault);

 private:
  struct Shared;
  class Pipe;

  void Accept();

  asio::ip::tcp::acceptor m_acceptor;
  std::shared_ptr<Shared> m_shared;
};

}  // namespace jasminehatch::soak

#endif  // JASMINEHATCH_DETAIL_SOAK_LOOPBACK_PROXY_H_
