#ifndef JASMINEHATCH_DETAIL_SOAK_DATAGRAM_PROXY_H_
#define JASMINEHATCH_DETAIL_SOAK_DATAGRAM_PROXY_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <string>

#include "jasminehatch/detail/soak/loopback_proxy.h"

namespace jasminehatch::soak {

/// @brief Forwards datagrams to one receiver on the loopback interface and
/// injects faults: all but `kDelay` and `kEndless` drop the datagrams.
class DatagramProxy {
 public:
  /// @param target `ip:port` of the receiver
  /// @param seed seed of the bytes that `kEndless` sends
  DatagramProxy(asio::io_context& loop,
                const std::string& target,
                std::uint64_t seed);
  ~DatagramProxy();
  DatagramProxy(const DatagramProxy&) = delete;
  DatagramProxy& operator=(const DatagramProxy&) = delete;

  /// @return `ip:port` to send to
  std::string Address() const;

  void SetFault(LinkFault fault);

 private:
  /// Largest datagram.
  static constexpr std::size_t kMaxBytes = 65536;

  void Receive();
  void Forward(std::string data);
  void SendGarbage();

  asio::ip::udp::socket m_socket;
  asio::ip::udp::endpoint m_sender;
  asio::ip::udp::endpoint m_target;
  asio::steady_timer m_garbage_timer;
  std::mt19937_64 m_random;
  std::array<char, kMaxBytes> m_buffer{};
  LinkFault m_fault = LinkFault::kNone;
  /// Handlers of delayed datagrams hold weak pointers to it.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::soak

#endif  // JASMINEHATCH_DETAIL_SOAK_DATAGRAM_PROXY_H_
