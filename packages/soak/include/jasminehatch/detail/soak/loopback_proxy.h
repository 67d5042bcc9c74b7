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

/// @brief What a proxy does to the connections that pass it.
enum class LinkFault {
  kNone,
  kDelay,        ///< Bytes arrive later.
  kReset,        ///< Open connections are reset, and new ones at once.
  kSilent,       ///< Nothing passes, connections stay open.
  kCutToServer,  ///< Nothing passes towards the server.
  kCutToClient,  ///< Nothing passes towards the client.
  kCount,
};

/// @brief Passes TCP connections on to one server on the loopback interface,
/// and harms them as told.
class LoopbackProxy {
 public:
  /// @param target `ip:port` of the server
  LoopbackProxy(asio::io_context& loop, const std::string& target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  /// @return `ip:port` to connect to
  std::string Address() const;

  /// Sets what happens to bytes and connections from now on. Bytes that were
  /// held back are passed on when the fault ends.
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
