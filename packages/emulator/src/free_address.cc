#include "jasminehatch/detail/emulator/free_address.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

namespace jasminehatch::emulator {
namespace {

/// @param Socket a socket type that binds when it is constructed
template <typename Protocol, typename Socket>
std::string BindAndRelease(asio::io_context& loop, const std::string& ip) {
  const Socket socket(
      loop, typename Protocol::endpoint(asio::ip::make_address(ip), 0));
  return ip + ":" + std::to_string(socket.local_endpoint().port());
}

}  // namespace

std::string FreeTcpAddress(asio::io_context& loop, const std::string& ip) {
  return BindAndRelease<asio::ip::tcp, asio::ip::tcp::acceptor>(loop, ip);
}

std::string FreeUdpAddress(asio::io_context& loop, const std::string& ip) {
  return BindAndRelease<asio::ip::udp, asio::ip::udp::socket>(loop, ip);
}

}  // namespace jasminehatch::emulator
