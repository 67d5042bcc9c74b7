#include "jasminehatch/detail/stream/stream_server.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <numeric>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/exception.h"
#include "server_connection.h"
#include "shared_server_state.h"

namespace jasminehatch::net {
namespace {

using asio::ip::tcp;

/// Interval at which the time limits of connections are checked.
constexpr std::chrono::milliseconds kCheckInterval{250};

/// Pause after a failed accept, which is mostly caused by a lack of file
/// descriptors.
constexpr std::chrono::milliseconds kAcceptRetry{50};

constexpr int kBacklog = 1024;

/// Sum of the responses that callers have not read yet, in bytes, above which
/// the connections with the largest ones are closed. A VM has as little as
/// 88 MB.
constexpr std::size_t kMaxTotalUnsentBytes = 16UL << 20U;

}  // namespace

class StreamServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop,
       const std::string& address,
       std::uint16_t port,
       Handler handler)
      : m_acceptor(loop),
        m_check_timer(loop),
        m_accept_timer(loop),
        m_shared(std::make_shared<SharedServerState>()) {
    m_shared->handler = std::move(handler);
    asio::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (!error) {
      m_acceptor.open(ip.is_v4() ? tcp::v4() : tcp::v6(), error);
    }
    if (!error) {
      m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      m_acceptor.bind(tcp::endpoint(ip, port), error);
    }
    if (!error) {
      m_acceptor.listen(kBacklog, error);
    }
    if (error) {
      throw TransportError(301, "cannot listen on " + address + ":" +
                                    std::to_string(port) + ": " +
                                    error.message());
    }
  }

  void Start() {
    Accept();
    ScheduleTimeoutCheck();
  }

  void Shutdown() {
    m_shut_down = true;
    StopAccepting();
    m_check_timer.cancel();
    for (const auto& connection : m_connections) {
      connection->EndWithoutRequest();
    }
  }

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  SharedServerState& Shared() { return *m_shared; }

  void StopAccepting() {
    AcceptWaiting();
    asio::error_code ignored;
    m_acceptor.close(ignored);
    m_accept_timer.cancel();
    for (const auto& connection : m_connections) {
      connection->CloseWhenIdle();
    }
  }

  std::size_t BusyConnections() const {
    const auto now = std::chrono::steady_clock::now();
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [now](const auto& c) { return c->IsBusy(now); }));
  }

  std::size_t OpenConnections() const {
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto& c) { return c->IsOpen(); }));
  }

  std::size_t UnsentBytes() const {
    return std::accumulate(
        m_connections.begin(), m_connections.end(), std::size_t{0},
        [](std::size_t sum, const auto& c) { return sum + c->UnsentBytes(); });
  }

 private:
  void Accept() {
    m_acceptor.async_accept([self = shared_from_this()](
                                const asio::error_code& error,
                                tcp::socket socket) {
      if (!self->m_acceptor.is_open()) {
        if (!error && !self->m_shut_down) {
          if (const auto connection = self->Add(std::move(socket))) {
            connection->CloseWhenIdle();
          }
        }
        return;
      }
      if (error) {
        self->m_accept_timer.expires_after(kAcceptRetry);
        self->m_accept_timer.async_wait([self](const asio::error_code& stop) {
          if (!stop) {
            self->Accept();
          }
        });
        return;
      }
      self->Add(std::move(socket));
      self->Accept();
    });
  }

  /// Accepts the connections that callers have already opened; closing the
  /// acceptor resets them, with the requests that they may carry.
  void AcceptWaiting() {
    if (m_shut_down || !m_acceptor.is_open()) {
      return;
    }
    asio::error_code error;
    m_acceptor.non_blocking(true, error);
    for (int i = 0; i < kBacklog && !error; ++i) {
      tcp::socket socket(m_acceptor.get_executor());
      m_acceptor.accept(socket, error);
      if (!error) {
        Add(std::move(socket));
      }
    }
  }

  /// @return the new connection; null if there is no room for it, and it was
  /// closed
  std::shared_ptr<ServerConnection> Add(tcp::socket socket) {
    const shedding::ConnectionId id = m_shared->next_connection++;
    const auto decision =
        m_shared->memory.Open(id, std::chrono::steady_clock::now());
    m_shared->Drop(decision.dropped);
    if (!decision.granted) {
      m_shared->Report(shedding::CallerRefusal::kConnectionLimit);
      return nullptr;
    }
    auto connection =
        std::make_shared<ServerConnection>(std::move(socket), m_shared, id);
    m_shared->connections.emplace(id, connection);
    m_connections.push_back(connection);
    connection->Start();
    return connection;
  }

  /// Callers that do not read must not exhaust the memory of the others.
  void LimitUnsentBytes() {
    while (UnsentBytes() > kMaxTotalUnsentBytes) {
      (*std::max_element(m_connections.begin(), m_connections.end(),
                         [](const auto& left, const auto& right) {
                           return left->UnsentBytes() < right->UnsentBytes();
                         }))
          ->Drop(shedding::CallerRefusal::kResponseMemory);
    }
  }

  void ScheduleTimeoutCheck() {
    m_check_timer.expires_after(kCheckInterval);
    m_check_timer.async_wait(
        [self = shared_from_this()](const asio::error_code& error) {
          if (error) {
            return;
          }
          const auto now = std::chrono::steady_clock::now();
          for (const auto& connection : self->m_connections) {
            connection->CheckTimeouts(now);
          }
          self->LimitUnsentBytes();
          std::erase_if(self->m_connections,
                        [](const auto& c) { return !c->IsOpen(); });
          self->ScheduleTimeoutCheck();
        });
  }

  tcp::acceptor m_acceptor;
  asio::steady_timer m_check_timer;
  asio::steady_timer m_accept_timer;
  std::shared_ptr<SharedServerState> m_shared;
  std::vector<std::shared_ptr<ServerConnection>> m_connections;
  bool m_shut_down = false;
};

StreamServer::StreamServer(asio::io_context& loop,
                           const std::string& address,
                           std::uint16_t port,
                           Handler handler)
    : m_impl(std::make_shared<Impl>(loop, address, port, std::move(handler))) {
  m_impl->Start();
}

StreamServer::~StreamServer() {
  m_impl->Shutdown();
}

std::uint16_t StreamServer::Port() const {
  return m_impl->Port();
}

void StreamServer::SetLimits(const CallerLimits& limits) {
  m_impl->Shared().limits = limits;
}

void StreamServer::SetMemoryLimits(const shedding::Options& options) {
  m_impl->Shared().memory.SetOptions(options);
}

void StreamServer::SetRefusalCallback(
    std::function<void(shedding::CallerRefusal)> callback) {
  m_impl->Shared().on_refusal = std::move(callback);
}

std::size_t StreamServer::MemoryBytes() const {
  return m_impl->Shared().memory.TotalBytes();
}

void StreamServer::CloseAfterResponses() {
  m_impl->Shared().close_after_responses = true;
}

void StreamServer::StopAccepting() {
  m_impl->StopAccepting();
}

std::size_t StreamServer::BusyConnections() const {
  return m_impl->BusyConnections();
}

std::size_t StreamServer::OpenConnections() const {
  return m_impl->OpenConnections();
}

std::size_t StreamServer::UnsentBytes() const {
  return m_impl->UnsentBytes();
}

}  // namespace jasminehatch::net
