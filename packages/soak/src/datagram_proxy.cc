#include "jasminehatch/detail/soak/datagram_proxy.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <chrono>
#include <utility>

#include "jasminehatch/detail/http/ip_port.h"

namespace jasminehatch::soak {
namespace {

using asio::ip::udp;
using std::chrono::milliseconds;

/// How long datagrams are held back by `LinkFault::kDelay`.
constexpr milliseconds kDelay{150};

/// Interval of the datagrams that `LinkFault::kEndless` adds.
constexpr milliseconds kGarbageInterval{2};
constexpr std::size_t kMaxGarbageBytes = 1400;

udp::endpoint ParseEndpoint(const std::string& address) {
  const auto parsed = net::ParseIpPort(address);
  return {asio::ip::make_address(parsed.value().ip), parsed->port};
}

}  // namespace

DatagramProxy::DatagramProxy(asio::io_context& loop,
                             const std::string& target,
                             std::uint64_t seed)
    : m_socket(loop, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_target(ParseEndpoint(target)),
      m_garbage_timer(loop),
      m_random(seed) {
  m_socket.non_blocking(true);
  Receive();
}

DatagramProxy::~DatagramProxy() {
  asio::error_code ignored;
  m_socket.close(ignored);
}

std::string DatagramProxy::Address() const {
  return "127.0.0.1:" + std::to_string(m_socket.local_endpoint().port());
}

void DatagramProxy::SetFault(LinkFault fault) {
  m_fault = fault;
  if (fault == LinkFault::kEndless) {
    SendGarbage();
  } else {
    m_garbage_timer.cancel();
  }
}

void DatagramProxy::Receive() {
  m_socket.async_receive_from(
      asio::buffer(m_buffer), m_sender,
      [this, alive = std::weak_ptr<int>(m_alive)](const asio::error_code& error,
                                                  std::size_t length) {
        if (alive.expired() || error == asio::error::operation_aborted) {
          return;
        }
        // Other errors report that an earlier datagram was not delivered.
        if (!error) {
          Forward(std::string(m_buffer.data(), length));
        }
        Receive();
      });
}

void DatagramProxy::Forward(std::string data) {
  asio::error_code ignored;
  if (m_fault == LinkFault::kNone || m_fault == LinkFault::kEndless) {
    m_socket.send_to(asio::buffer(data), m_target, 0, ignored);
    return;
  }
  if (m_fault != LinkFault::kDelay) {
    return;
  }
  const auto timer =
      std::make_shared<asio::steady_timer>(m_socket.get_executor(), kDelay);
  timer->async_wait(
      [this, timer, data = std::move(data),
       alive = std::weak_ptr<int>(m_alive)](const asio::error_code& error) {
        if (!error && !alive.expired()) {
          asio::error_code unsent;
          m_socket.send_to(asio::buffer(data), m_target, 0, unsent);
        }
      });
}

void DatagramProxy::SendGarbage() {
  std::string garbage(
      std::uniform_int_distribution<std::size_t>(0, kMaxGarbageBytes)(m_random),
      '\0');
  std::generate(garbage.begin(), garbage.end(),
                [this] { return static_cast<char>(m_random()); });
  asio::error_code ignored;
  m_socket.send_to(asio::buffer(garbage), m_target, 0, ignored);
  m_garbage_timer.expires_after(kGarbageInterval);
  m_garbage_timer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](
                                 const asio::error_code& error) {
    if (!error && !alive.expired()) {
      SendGarbage();
    }
  });
}

}  // namespace jasminehatch::soak
