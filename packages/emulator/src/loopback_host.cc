#include "jasminehatch/detail/emulator/loopback_host.h"

#include <unistd.h>

#include "jasminehatch/detail/emulator/free_address.h"

namespace jasminehatch::emulator {
namespace {

/// First second byte of the addresses; process ids have at most 22 bits, so
/// that the second byte is below 128.
constexpr unsigned kFirstSecondByte = 64;

std::string ProcessAddress() {
  const auto id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(kFirstSecondByte + (id >> 16U & 0x3fU)) + "." +
         std::to_string(id >> 8U & 0xffU) + "." + std::to_string(id & 0xffU);
}

}  // namespace

LoopbackHost::LoopbackHost() : m_ip(ProcessAddress()) {}

std::string LoopbackHost::NewTcpAddress(asio::io_context& loop) {
  std::string address = FreeTcpAddress(loop, m_ip);
  while (!m_used.insert(address).second) {
    address = FreeTcpAddress(loop, m_ip);
  }
  return address;
}

std::string LoopbackHost::NewUdpAddress(asio::io_context& loop) {
  std::string address = FreeUdpAddress(loop, m_ip);
  while (!m_used.insert(address).second) {
    address = FreeUdpAddress(loop, m_ip);
  }
  return address;
}

}  // namespace jasminehatch::emulator
