#include "jasminehatch/detail/emulator/free_address.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

namespace jasminehatch::emulator {
namespace {

template <typename Socket>
std::string LocalAddress(const Socket& socket) {
  return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}

}  // namespace

std::string FreeTcpAddress(asio::io_context& loop) {
  using asio::ip::tcp;
  return LocalAddress(
      tcp::acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
}

std::string FreeUdpAddress(asio::io_context& loop) {
  using asio::ip::udp;
  return LocalAddress(
      udp::socket(loop, udp::endpoint(asio::ip::address_v4::loopback(), 0)));
}

}  // namespace jasminehatch::emulator
