#include "jasminehatch/detail/soak/loopback_proxy.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>
#include <vector>

#include "jasminehatch/detail/emulator/endless_writer.h"
#include "jasminehatch/detail/http/ip_port.h"

namespace jasminehatch::soak {
namespace {

using asio::ip::tcp;

/// How long bytes are held back by `LinkFault::kDelay`.
constexpr std::chrono::milliseconds kDelay{150};

/// Interval at which a pipe that holds bytes back checks whether its fault has
/// ended.
constexpr std::chrono::milliseconds kHoldCheckInterval{20};

constexpr std::size_t kBufferBytes = 16384;

void Reset(tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

/// State that outlives the proxy while connections end.
struct LoopbackProxy::Shared {
  asio::io_context& loop;
  tcp::endpoint target;
  LinkFault fault = LinkFault::kNone;
  std::list<std::weak_ptr<Pipe>> pipes;
  std::list<std::weak_ptr<tcp::socket>> endless;
  std::size_t endless_count = 0;

  /// Sends the next kind of endless response to a client.
  void SendWithoutEnd(const std::shared_ptr<tcp::socket>& client) {
    const auto kinds = emulator::EndlessResponses();
    const emulator::EndlessBytes& bytes = kinds[endless_count++ % kinds.size()];
    endless.remove_if([](const auto& socket) { return socket.expired(); });
    endless.push_back(client);
    std::make_shared<emulator::EndlessWriter>(client, bytes, bytes.start)
        ->Start();
  }
};

/// One direction of a connection; both directions share both sockets.
class LoopbackProxy::Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  using SocketPtr = std::shared_ptr<tcp::socket>;

  Pipe(std::shared_ptr<Shared> shared,
       SocketPtr from,
       SocketPtr to,
       LinkFault cut)
      : m_shared(std::move(shared)),
        m_from(std::move(from)),
        m_to(std::move(to)),
        m_cut(cut),
        m_timer(m_shared->loop) {}

  void Read() {
    m_from->async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t length) {
          self->m_length = length;
          self->m_ended = static_cast<bool>(error);
          self->m_broken = error && error != asio::error::eof;
          self->Wait(self->m_shared->fault == LinkFault::kDelay
                         ? kDelay
                         : std::chrono::milliseconds(0));
        });
  }

  void Break() {
    Reset(*m_from);
    Reset(*m_to);
  }

 private:
  bool IsHeld() const {
    return m_shared->fault == LinkFault::kSilent || m_shared->fault == m_cut;
  }

  void Wait(std::chrono::milliseconds time) {
    if (time == std::chrono::milliseconds(0) && !IsHeld()) {
      Forward();
      return;
    }
    m_timer.expires_after(std::max(time, kHoldCheckInterval));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code&) {
      self->Wait(std::chrono::milliseconds(0));
    });
  }

  void Forward() {
    if (m_broken) {
      Break();
      return;
    }
    if (m_ended) {
      asio::error_code ignored;
      m_to->shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (m_shared->fault == LinkFault::kEndless &&
        m_cut == LinkFault::kCutToClient) {
      m_shared->SendWithoutEnd(m_to);
      return;
    }
    asio::async_write(*m_to, asio::buffer(m_buffer.data(), m_length),
                      [self = shared_from_this()](const asio::error_code& error,
                                                  std::size_t /*length*/) {
                        if (error) {
                          self->Break();
                        } else {
                          self->Read();
                        }
                      });
  }

  std::shared_ptr<Shared> m_shared;
  SocketPtr m_from;
  SocketPtr m_to;
  LinkFault m_cut;  ///< The fault that holds this direction back.
  asio::steady_timer m_timer;
  std::array<char, kBufferBytes> m_buffer{};
  std::size_t m_length = 0;
  bool m_ended = false;
  bool m_broken = false;
};

LoopbackProxy::LoopbackProxy(asio::io_context& loop, const std::string& target)
    : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  const auto parsed = net::ParseIpPort(target);
  m_shared = std::make_shared<Shared>(Shared{
      loop,
      tcp::endpoint(asio::ip::make_address(parsed.value().ip), parsed->port),
      LinkFault::kNone,
      {},
      {}});
  Accept();
}

LoopbackProxy::~LoopbackProxy() {
  SetFault(LinkFault::kReset);
}

std::string LoopbackProxy::Address() const {
  return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void LoopbackProxy::SetFault(LinkFault fault) {
  m_shared->fault = fault;
  if (fault != LinkFault::kReset) {
    return;
  }
  for (const auto& pipe : std::exchange(m_shared->pipes, {})) {
    if (const auto open = pipe.lock()) {
      open->Break();
    }
  }
  for (const auto& socket : std::exchange(m_shared->endless, {})) {
    if (const auto open = socket.lock()) {
      Reset(*open);
    }
  }
}

void LoopbackProxy::Accept() {
  m_acceptor.async_accept([this](const asio::error_code& error,
                                 tcp::socket accepted) {
    if (error) {
      return;
    }
    if (m_shared->fault == LinkFault::kReset) {
      Reset(accepted);
      Accept();
      return;
    }
    const auto client = std::make_shared<tcp::socket>(std::move(accepted));
    if (m_shared->fault == LinkFault::kEndless) {
      m_shared->SendWithoutEnd(client);
      Accept();
      return;
    }
    const auto server = std::make_shared<tcp::socket>(m_shared->loop);
    server->async_connect(
        m_shared->target,
        [shared = m_shared, client, server](const asio::error_code& failure) {
          if (failure) {
            Reset(*client);
            return;
          }
          const auto to_server = std::make_shared<Pipe>(
              shared, client, server, LinkFault::kCutToServer);
          const auto to_client = std::make_shared<Pipe>(
              shared, server, client, LinkFault::kCutToClient);
          shared->pipes.remove_if(
              [](const auto& pipe) { return pipe.expired(); });
          shared->pipes.push_back(to_server);
          shared->pipes.push_back(to_client);
          to_server->Read();
          to_client->Read();
        });
    Accept();
  });
}

}  // namespace jasminehatch::soak
