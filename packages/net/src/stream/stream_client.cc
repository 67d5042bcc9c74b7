#include "jasminehatch/detail/stream/stream_client.h"

#include <netinet/tcp.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jasminehatch/detail/http/ip_port.h"
#include "message_parser.h"
#include "message_text.h"

namespace jasminehatch::net {
namespace {

using asio::ip::tcp;
using Time = std::chrono::steady_clock::time_point;

/// Share of the idle time allowed by an upstream within which a connection is
/// reused; the rest is a margin, as the upstream may close the connection while
/// a request is on its way.
constexpr double kIdleTimeShare = 0.6;

StreamEnd::ConnectError ToConnectError(const asio::error_code& error) {
  using ConnectError = StreamEnd::ConnectError;
  if (error == asio::error::connection_refused) {
    return ConnectError::kRefused;
  }
  return error == asio::error::timed_out ? ConnectError::kTimedOut
                                         : ConnectError::kNone;
}

std::string FormatRequestHead(const StreamCall& call) {
  std::string text = call.method + " " + call.target + " HTTP/1.1\r\n";
  for (const HttpHeader& header : call.headers) {
    AppendHeader(text, header);
  }
  const std::size_t body_bytes = call.Body().size();
  if (body_bytes > 0 || (call.method != "GET" && call.method != "HEAD")) {
    text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  }
  text += "\r\n";
  return text;
}

/// The kernel reports once that a connection was reset or lost, to a read or to
/// a write. Reads after that report an end like that of an orderly close.
/// @return how the connection ended
asio::error_code ConnectionEnd(const asio::error_code& read_error,
                               const asio::error_code& write_error) {
  // A write fails with EPIPE if the peer had closed in order before.
  const bool is_lost = write_error && write_error != asio::error::broken_pipe;
  return read_error == asio::error::eof && is_lost ? write_error : read_error;
}

/// @return whether the peer, or its host, ended the connection like this
bool IsClosedByPeer(const asio::error_code& end) {
  return end == asio::error::eof || end == asio::error::connection_reset ||
         end == asio::error::broken_pipe;
}

/// Informational responses (status 1xx) that are skipped before a response.
constexpr std::size_t kMaxInformationalResponses = 16;

/// Size of the head of a response, in bytes.
constexpr std::size_t kMaxHeadBytes = 16UL << 10U;

/// A connection that breaks at its next call after at least this idle time was
/// probably dropped by the upstream without notice.
constexpr std::chrono::milliseconds kMinDroppedIdleTime{150};

/// How long the idle time for reuse is reduced after such a drop.
constexpr std::chrono::seconds kReducedIdlePeriod{30};

/// @return how long a connection may stay idle: at most `longest`, and at most
/// the share `kIdleTimeShare` of N in a `Keep-Alive: timeout=N` header
std::chrono::milliseconds AllowedIdleTime(const HttpHeaders& headers,
                                          std::chrono::milliseconds longest) {
  const std::string_view value = FindHeader(headers, "Keep-Alive");
  const std::size_t at = value.find("timeout=");
  if (at == std::string_view::npos) {
    return longest;
  }
  double seconds = 0;
  std::from_chars(value.data() + at + 8, value.data() + value.size(), seconds);
  const std::chrono::milliseconds allowed(
      static_cast<std::int64_t>(seconds * 1000 * kIdleTimeShare));
  return std::min(allowed, longest);
}

}  // namespace

class StreamClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop, const Options& options)
      : m_loop(loop), m_options(options) {}

  CallId Start(StreamCall call, Callbacks callbacks);
  void Cancel(CallId id);
  void CloseIdleConnections(const std::string& address);
  void Shutdown();

 private:
  /// One connection to an upstream, idle or with one call.
  struct Connection {
    Connection(asio::io_context& loop, std::string upstream_address)
        : socket(loop), address(std::move(upstream_address)) {}
    tcp::socket socket;
    std::string address;
    MessageParser parser{HTTP_RESPONSE};
    std::array<char, 16384> buffer{};
    std::uint64_t call_id = 0;  ///< 0 while idle.
    Time idle_since{};
    Time idle_until{};
    /// How long it was idle before the current call; zero for a new connection.
    std::chrono::steady_clock::duration idle_time{};
    bool reading = false;
    bool was_idle = false;  ///< It had a call before the current one.
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct Call {
    Call(asio::io_context& loop, StreamCall c, Callbacks cb)
        : request(std::move(c)),
          callbacks(std::move(cb)),
          connect_timer(loop),
          total_timer(loop) {}
    StreamCall request;
    Callbacks callbacks;
    asio::steady_timer connect_timer;
    asio::steady_timer total_timer;
    ConnectionPtr connection;
    std::string head;
    std::size_t informational_responses = 0;
    bool send_started = false;  ///< Bytes of the request may be on the wire.
    bool sent = false;
    asio::error_code write_error;
    bool head_received = false;
    bool ended_by_close = false;
    bool closed_by_peer = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  ConnectionPtr TakeIdle(const std::string& address);
  void Connect(CallId id, const CallPtr& call);
  void SendRequest(const CallPtr& call);
  void Read(const ConnectionPtr& connection);
  void OnRead(const ConnectionPtr& connection,
              const asio::error_code& error,
              std::size_t length);
  void OnHead(const ConnectionPtr& connection);
  void Complete(const ConnectionPtr& connection, bool reusable);
  void Finish(
      CallId id,
      StreamEnd::Kind kind,
      std::string detail,
      StreamEnd::ConnectError connect_error = StreamEnd::ConnectError::kNone);
  void KeepIdle(const ConnectionPtr& connection,
                std::chrono::milliseconds keep);
  static void Close(const ConnectionPtr& connection);
  /// @return whether an idle connection was idle for less than the time after
  /// which upstreams were recently seen to drop connections
  bool IsIdleShortEnough(const Connection& connection, Time now) const;
  /// If the connection had been idle for at least `kMinDroppedIdleTime`,
  /// reduces the idle time for reuse for `kReducedIdlePeriod`.
  void RecordSilentDrop(const Connection& connection);
  CallPtr Find(CallId id) const {
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : found->second;
  }

  asio::io_context& m_loop;
  Options m_options;
  std::unordered_map<CallId, CallPtr> m_calls;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> m_idle;
  CallId m_next_id = 1;
  std::chrono::steady_clock::duration m_reduced_idle_limit{};
  Time m_reduced_idle_until{};  ///< When `m_reduced_idle_limit` expires.
};

StreamClient::CallId StreamClient::Impl::Start(StreamCall request,
                                               Callbacks callbacks) {
  const CallId id = m_next_id++;
  auto call =
      std::make_shared<Call>(m_loop, std::move(request), std::move(callbacks));
  m_calls.emplace(id, call);
  if (call->request.total_timeout.count() > 0) {
    call->total_timer.expires_after(call->request.total_timeout);
    call->total_timer.async_wait([self = shared_from_this(),
                                  id](const asio::error_code& error) {
      if (!error) {
        self->Finish(id, StreamEnd::Kind::kTimedOut, "total timeout exceeded");
      }
    });
  }
  auto idle = call->request.fresh_connection ? nullptr
                                             : TakeIdle(call->request.address);
  if (idle) {
    call->connection = std::move(idle);
    call->connection->call_id = id;
    SendRequest(call);
  } else {
    Connect(id, call);
  }
  return id;
}

StreamClient::Impl::ConnectionPtr StreamClient::Impl::TakeIdle(
    const std::string& address) {
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return nullptr;
  }
  const Time now = std::chrono::steady_clock::now();
  auto& connections = found->second;
  while (!connections.empty()) {
    ConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    if (connection->socket.is_open() && connection->idle_until > now &&
        IsIdleShortEnough(*connection, now)) {
      connection->idle_time = now - connection->idle_since;
      connection->was_idle = true;
      return connection;
    }
    Close(connection);
  }
  m_idle.erase(found);
  return nullptr;
}

bool StreamClient::Impl::IsIdleShortEnough(const Connection& connection,
                                           Time now) const {
  return now > m_reduced_idle_until ||
         now - connection.idle_since < m_reduced_idle_limit;
}

void StreamClient::Impl::RecordSilentDrop(const Connection& connection) {
  // After a shorter idle time a crash is more likely than a drop.
  if (connection.idle_time < kMinDroppedIdleTime) {
    return;
  }
  // The upstream's limit is at most this idle time and may be shorter.
  m_reduced_idle_limit = connection.idle_time * 7 / 10;
  m_reduced_idle_until = std::chrono::steady_clock::now() + kReducedIdlePeriod;
}

void StreamClient::Impl::Connect(CallId id, const CallPtr& call) {
  const auto address = ParseIpPort(call->request.address);
  if (!address || address->port == 0) {
    asio::post(m_loop, [self = shared_from_this(), id] {
      self->Finish(id, StreamEnd::Kind::kNotSent, "invalid upstream address");
    });
    return;
  }
  call->connection =
      std::make_shared<Connection>(m_loop, call->request.address);
  call->connection->call_id = id;
  call->connect_timer.expires_after(m_options.connect_timeout);
  call->connect_timer.async_wait(
      [self = shared_from_this(), id](const asio::error_code& error) {
        const CallPtr current = self->Find(id);
        if (!error && current && !current->send_started) {
          self->Finish(id, StreamEnd::Kind::kNotSent, "connect timed out",
                       StreamEnd::ConnectError::kTimedOut);
        }
      });
  asio::error_code ignored;
  const tcp::endpoint endpoint(asio::ip::make_address(address->ip, ignored),
                               address->port);
  call->connection->socket.async_connect(
      endpoint, [self = shared_from_this(), id](const asio::error_code& error) {
        const CallPtr current = self->Find(id);
        if (!current) {
          return;
        }
        if (error) {
          self->Finish(id, StreamEnd::Kind::kNotSent, error.message(),
                       ToConnectError(error));
          return;
        }
        current->connect_timer.cancel();
        self->SendRequest(current);
      });
}

void StreamClient::Impl::SendRequest(const CallPtr& call) {
  Connection& connection = *call->connection;
  connection.parser.Reset();
  if (call->request.method == "HEAD") {
    connection.parser.ExpectNoBody();
  }
  asio::error_code ignored;
  connection.socket.set_option(tcp::no_delay(true), ignored);
  const int limit_ms = static_cast<int>(m_options.send_timeout.count());
  setsockopt(connection.socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &limit_ms, sizeof(limit_ms));
  call->head = FormatRequestHead(call->request);
  call->send_started = true;
  const std::array<asio::const_buffer, 2> buffers{
      asio::buffer(call->head), asio::buffer(call->request.Body())};
  asio::async_write(connection.socket, buffers,
                    // The captures keep socket and buffers alive until the
                    // write ends, even if the call ends first.
                    [call, connection = call->connection](
                        const asio::error_code& error, std::size_t /*length*/) {
                      // A failed write is left to the reader: a response may
                      // still arrive.
                      call->sent = !error;
                      call->write_error = error;
                    });
  Read(call->connection);
}

void StreamClient::Impl::Read(const ConnectionPtr& connection) {
  if (connection->reading || !connection->socket.is_open()) {
    return;
  }
  connection->reading = true;
  connection->socket.async_read_some(
      asio::buffer(connection->buffer),
      [self = shared_from_this(), connection](const asio::error_code& error,
                                              std::size_t length) {
        connection->reading = false;
        self->OnRead(connection, error, length);
      });
}

void StreamClient::Impl::OnRead(const ConnectionPtr& connection,
                                const asio::error_code& error,
                                std::size_t length) {
  const CallId id = connection->call_id;
  const CallPtr call = Find(id);
  if (!call || call->connection != connection) {
    // Idle: the upstream closed, or sent bytes that belong to no request.
    Close(connection);
    const auto idle = m_idle.find(connection->address);
    if (idle != m_idle.end()) {
      std::erase(idle->second, connection);
    }
    return;
  }
  if (error) {
    const asio::error_code end = ConnectionEnd(error, call->write_error);
    if (end == asio::error::eof && connection->parser.FeedEof()) {
      call->ended_by_close = true;
      Complete(connection, false);
      return;
    }
    if (!call->head_received) {
      RecordSilentDrop(*connection);
    }
    call->closed_by_peer = IsClosedByPeer(end);
    Finish(id, StreamEnd::Kind::kBroken, end.message());
    return;
  }
  std::string_view data(connection->buffer.data(), length);
  while (!data.empty()) {
    if (connection->parser.IsMessageComplete()) {
      Complete(connection, false);
      return;
    }
    const bool had_head = connection->parser.IsHeadComplete();
    connection->parser.on_body = [&](std::string_view body) {
      if (!call->head_received) {
        OnHead(connection);
      }
      if (Find(id) && call->callbacks.on_data) {
        call->callbacks.on_data(body);
      }
    };
    const auto progress = connection->parser.Feed(data);
    connection->parser.on_body = nullptr;
    if (!Find(id)) {
      return;
    }
    if (!progress.error.empty()) {
      Finish(id, StreamEnd::Kind::kMalformed, progress.error);
      return;
    }
    if (!call->head_received &&
        connection->parser.HeadBytes() > kMaxHeadBytes) {
      Finish(id, StreamEnd::Kind::kMalformed,
             "the head of the response is too large");
      return;
    }
    data.remove_prefix(progress.consumed);
    if (connection->parser.IsHeadComplete() && !had_head &&
        connection->parser.Status() / 100 == 1 &&
        connection->parser.IsMessageComplete()) {
      if (++call->informational_responses > kMaxInformationalResponses) {
        Finish(id, StreamEnd::Kind::kMalformed,
               "too many informational responses");
        return;
      }
      connection->parser.Reset();
      continue;
    }
    if (connection->parser.IsHeadComplete() && !call->head_received) {
      OnHead(connection);
      if (!Find(id)) {
        return;
      }
    }
    if (connection->parser.IsMessageComplete()) {
      Complete(connection, data.empty());
      return;
    }
  }
  Read(connection);
}

void StreamClient::Impl::OnHead(const ConnectionPtr& connection) {
  const CallPtr call = Find(connection->call_id);
  call->head_received = true;
  if (call->callbacks.on_head) {
    call->callbacks.on_head({connection->parser.Status(),
                             connection->parser.Headers(),
                             !connection->was_idle});
  }
}

void StreamClient::Impl::Complete(const ConnectionPtr& connection,
                                  bool reusable) {
  const CallId id = connection->call_id;
  const CallPtr call = Find(id);
  // An upstream that responded before it read the whole request still expects
  // the rest of the body on this connection.
  const bool keep =
      reusable && call->sent && connection->parser.ShouldKeepAlive();
  const auto keep_time =
      AllowedIdleTime(connection->parser.Headers(), m_options.max_idle_time);
  m_calls.erase(id);
  call->total_timer.cancel();
  call->connection.reset();
  if (keep) {
    KeepIdle(connection, keep_time);
  } else {
    Close(connection);
  }
  if (call->callbacks.on_end) {
    call->callbacks.on_end(
        {StreamEnd::Kind::kComplete, true, {}, call->ended_by_close});
  }
}

void StreamClient::Impl::KeepIdle(const ConnectionPtr& connection,
                                  std::chrono::milliseconds keep) {
  auto& connections = m_idle[connection->address];
  if (connections.size() >= m_options.max_idle_per_address ||
      keep <= std::chrono::milliseconds::zero()) {
    Close(connection);
    return;
  }
  connection->call_id = 0;
  connection->idle_since = std::chrono::steady_clock::now();
  connection->idle_until = connection->idle_since + keep;
  connections.push_back(connection);
  Read(connection);
}

void StreamClient::Impl::Finish(CallId id,
                                StreamEnd::Kind kind,
                                std::string detail,
                                StreamEnd::ConnectError connect_error) {
  const CallPtr call = Find(id);
  if (!call) {
    return;
  }
  m_calls.erase(id);
  call->total_timer.cancel();
  call->connect_timer.cancel();
  if (call->connection) {
    Close(call->connection);
  }
  if (!call->send_started) {
    kind = StreamEnd::Kind::kNotSent;
  }
  if (call->callbacks.on_end) {
    call->callbacks.on_end({kind, call->head_received, std::move(detail),
                            call->ended_by_close, call->closed_by_peer,
                            connect_error});
  }
}

void StreamClient::Impl::Cancel(CallId id) {
  const CallPtr call = Find(id);
  if (!call) {
    return;
  }
  call->callbacks = {};
  Finish(id, StreamEnd::Kind::kBroken, "cancelled");
}

void StreamClient::Impl::CloseIdleConnections(const std::string& address) {
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return;
  }
  for (const ConnectionPtr& connection : found->second) {
    Close(connection);
  }
  m_idle.erase(found);
}

void StreamClient::Impl::Shutdown() {
  for (const auto& [id, call] : m_calls) {
    call->callbacks = {};
    call->total_timer.cancel();
    call->connect_timer.cancel();
    if (call->connection) {
      Close(call->connection);
    }
  }
  m_calls.clear();
  for (const auto& [address, connections] : m_idle) {
    for (const ConnectionPtr& connection : connections) {
      Close(connection);
    }
  }
  m_idle.clear();
}

void StreamClient::Impl::Close(const ConnectionPtr& connection) {
  asio::error_code ignored;
  connection->socket.close(ignored);
}

StreamClient::StreamClient(asio::io_context& loop, const Options& options)
    : m_impl(std::make_shared<Impl>(loop, options)) {}

StreamClient::~StreamClient() {
  m_impl->Shutdown();
}

StreamClient::CallId StreamClient::Start(StreamCall call, Callbacks callbacks) {
  return m_impl->Start(std::move(call), std::move(callbacks));
}

void StreamClient::Cancel(CallId id) {
  m_impl->Cancel(id);
}

void StreamClient::CloseIdleConnections(const std::string& address) {
  m_impl->CloseIdleConnections(address);
}

}  // namespace jasminehatch::net
