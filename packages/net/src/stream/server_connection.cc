#include "server_connection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cctype>
#include <utility>

#include "message_text.h"

namespace jasminehatch::net {
namespace {

/// Bytes of pipelined requests that are buffered while one is in progress.
constexpr std::size_t kMaxPipelinedBytes = 64UL << 10U;

/// Memory of a sent response that is kept for further ones, in bytes.
constexpr std::size_t kMaxSpareBytes = 16UL << 10U;

/// Time for a caller to receive the last response before the connection is
/// closed.
constexpr std::chrono::milliseconds kLingerTimeout{500};

/// Longest time for which an incomplete request counts as being read; callers
/// send a request at once.
constexpr std::chrono::milliseconds kReadingTime{1000};

/// @brief The exchange that is passed to a handler.
class Exchange : public ServerExchange {
 public:
  Exchange(std::weak_ptr<ServerConnection> connection,
           std::size_t sequence,
           HttpRequest request)
      : m_connection(std::move(connection)),
        m_sequence(sequence),
        m_request(std::move(request)) {}

  const HttpRequest& Request() const override { return m_request; }
  void Send(int status,
            const HttpHeaders& headers,
            std::string_view body) override {
    if (const auto connection = m_connection.lock()) {
      connection->Send(m_sequence, status, headers, body);
    }
  }
  void BeginStream(int status, const HttpHeaders& headers) override {
    if (const auto connection = m_connection.lock()) {
      connection->BeginStream(m_sequence, status, headers);
    }
  }
  void Write(std::string_view data) override {
    if (const auto connection = m_connection.lock()) {
      connection->Write(m_sequence, data);
    }
  }
  void End() override {
    if (const auto connection = m_connection.lock()) {
      connection->End(m_sequence);
    }
  }
  void Abort() override {
    if (const auto connection = m_connection.lock()) {
      connection->Abort(m_sequence);
    }
  }
  std::size_t UnsentBytes() const override {
    const auto connection = m_connection.lock();
    return connection ? connection->UnsentBytes() : 0;
  }
  void SetClosedCallback(std::function<void()> callback) override {
    if (const auto connection = m_connection.lock()) {
      connection->SetClosedCallback(m_sequence, std::move(callback));
    }
  }

 private:
  std::weak_ptr<ServerConnection> m_connection;
  std::size_t m_sequence;
  HttpRequest m_request;
};

}  // namespace

ServerConnection::ServerConnection(
    asio::ip::tcp::socket socket,
    std::shared_ptr<const SharedServerState> shared)
    : m_socket(std::move(socket)),
      m_shared(std::move(shared)),
      m_timed_since(std::chrono::steady_clock::now()) {
  m_parser.on_head = [this] { OnHead(); };
  m_parser.on_body = [this](std::string_view data) {
    if (m_body.size() + data.size() > m_shared->limits.body_bytes) {
      m_reject_status = m_reject_status == 0 ? 413 : m_reject_status;
      return;
    }
    m_body.append(data);
  };
}

void ServerConnection::Start() {
  asio::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  Read();
}

void ServerConnection::Read() {
  if (m_read_pending || !m_socket.is_open() ||
      m_input.size() > kMaxPipelinedBytes) {
    return;
  }
  m_read_pending = true;
  m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const asio::error_code& error,
                                  std::size_t length) {
        self->m_read_pending = false;
        self->OnRead(error, length);
      });
}

void ServerConnection::OnRead(const asio::error_code& error,
                              std::size_t length) {
  // The read may have ended before the connection was closed. A request from a
  // closed connection would run and get no response.
  if (!m_socket.is_open()) {
    return;
  }
  asio::error_code ignored;
  if (error == asio::error::operation_aborted && m_close_when_idle &&
      (!IsIdle() || m_socket.available(ignored) > 0)) {
    Read();
    return;
  }
  if (error) {
    CloseNow();
    return;
  }
  if (m_phase != Phase::kClosing) {
    m_input.append(m_buffer.data(), length);
  }
  if (m_phase == Phase::kReading) {
    ParseInput();
  }
  Read();
}

void ServerConnection::ParseInput() {
  while (m_phase == Phase::kReading && m_socket.is_open() && !m_input.empty()) {
    if (!std::exchange(m_first_byte_seen, true)) {
      m_timed_since = std::chrono::steady_clock::now();
    }
    const auto progress = m_parser.Feed(m_input);
    if (!progress.error.empty()) {
      m_input.clear();
      Reject(400);
      return;
    }
    m_input.erase(0, progress.consumed);
    if (!m_parser.IsHeadComplete() &&
        m_parser.HeadBytes() > m_shared->limits.header_bytes) {
      m_reject_status = 431;
    }
    if (m_reject_status != 0) {
      m_input.clear();
      Reject(m_reject_status);
      return;
    }
    if (!m_parser.IsMessageComplete()) {
      return;
    }
    DispatchRequest();
  }
}

void ServerConnection::OnHead() {
  const HttpHeaders& headers = m_parser.Headers();
  if (m_parser.HeadBytes() > m_shared->limits.header_bytes) {
    m_reject_status = 431;
    return;
  }
  if (!m_parser.IsHttp11()) {
    m_reject_status = 505;
    return;
  }
  // http_parser accepts spaces in names and some control characters in values,
  // which another parser may read as further headers.
  if (!std::all_of(headers.begin(), headers.end(), IsValidHeader) ||
      CountHeader(headers, "Host") != 1 || !IsValidTarget(m_parser.Target())) {
    m_reject_status = 400;
    return;
  }
  if (!FindHeader(headers, "Expect").empty()) {
    m_output += "HTTP/1.1 100 Continue\r\n\r\n";
    Flush();
  }
}

void ServerConnection::DispatchRequest() {
  HttpRequest request;
  request.method = std::string(m_parser.Method());
  const std::string& target = m_parser.Target();
  const std::size_t question = target.find('?');
  request.path = target.substr(0, question);
  if (question != std::string::npos) {
    request.query = target.substr(question + 1);
  }
  request.headers = std::move(m_parser.Headers());
  request.body = std::exchange(m_body, {});
  m_keep_alive = m_parser.ShouldKeepAlive();
  m_is_head_request = request.method == "HEAD";
  m_phase = Phase::kResponding;
  m_timed_since = std::chrono::steady_clock::now();
  m_first_byte_seen = false;
  m_parser.Reset();
  ++m_sequence;
  m_shared->handler(std::make_shared<Exchange>(weak_from_this(), m_sequence,
                                               std::move(request)));
}

void ServerConnection::Reject(int status) {
  m_phase = Phase::kResponding;
  m_keep_alive = false;
  m_reject_status = 0;
  Send(++m_sequence, status, {{"Content-Type", "text/plain"}},
       "the request is not acceptable\n");
}

std::string ServerConnection::FormatHead(int status,
                                         const HttpHeaders& headers) {
  std::string head = FormatStatusLine(status);
  for (const HttpHeader& header : headers) {
    AppendHeader(head, header);
  }
  m_close_announced = ClosesAfterResponse();
  if (m_close_announced) {
    head += "Connection: close\r\n";
  }
  return head;
}

void ServerConnection::Send(std::size_t sequence,
                            int status,
                            const HttpHeaders& headers,
                            std::string_view body) {
  if (!IsCurrent(sequence)) {
    return;
  }
  m_output += FormatHead(status, headers);
  m_output += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (!m_is_head_request) {
    m_output += body;
  }
  FinishResponse();
}

void ServerConnection::BeginStream(std::size_t sequence,
                                   int status,
                                   const HttpHeaders& headers) {
  if (!IsCurrent(sequence)) {
    return;
  }
  m_output += FormatHead(status, headers);
  m_output += "Transfer-Encoding: chunked\r\n\r\n";
  Flush();
}

void ServerConnection::Write(std::size_t sequence, std::string_view data) {
  if (!IsCurrent(sequence) || data.empty() || m_is_head_request) {
    return;
  }
  AppendChunk(m_output, data);
  Flush();
}

void ServerConnection::End(std::size_t sequence) {
  if (!IsCurrent(sequence)) {
    return;
  }
  if (!m_is_head_request) {
    m_output += "0\r\n\r\n";
  }
  FinishResponse();
}

void ServerConnection::Abort(std::size_t sequence) {
  if (!IsCurrent(sequence)) {
    return;
  }
  m_on_closed = nullptr;
  CloseNow();
}

void ServerConnection::SetClosedCallback(std::size_t sequence,
                                         std::function<void()> callback) {
  if (IsCurrent(sequence)) {
    m_on_closed = std::move(callback);
  }
}

void ServerConnection::FinishResponse() {
  m_on_closed = nullptr;
  m_timed_since = std::chrono::steady_clock::now();
  const bool close = m_close_announced || ClosesAfterResponse();
  m_phase = close ? Phase::kClosing : Phase::kReading;
  Flush();
  if (!close && !m_input.empty()) {
    // Parsing from here would nest handlers of pipelined requests.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
      if (self->m_phase == Phase::kReading) {
        self->ParseInput();
        self->Read();
      }
    });
  }
}

void ServerConnection::Flush() {
  if (m_write_pending || !m_socket.is_open()) {
    return;
  }
  if (m_output.empty()) {
    if (m_phase == Phase::kClosing) {
      BeginClosing();
    } else if (m_close_when_idle) {
      CloseWhenIdle();
    }
    return;
  }
  m_writing = std::exchange(m_output, {});
  m_write_pending = true;
  asio::async_write(m_socket, asio::buffer(m_writing),
                    [self = shared_from_this()](const asio::error_code& error,
                                                std::size_t /*length*/) {
                      self->m_write_pending = false;
                      self->ReleaseWritten();
                      if (error) {
                        self->CloseNow();
                        return;
                      }
                      self->Flush();
                    });
}

void ServerConnection::ReleaseWritten() {
  m_writing.clear();
  if (m_writing.capacity() > kMaxSpareBytes) {
    m_writing.shrink_to_fit();
  }
}

void ServerConnection::BeginClosing() {
  // Closing with unread input would reset the connection, and the caller could
  // lose the response.
  asio::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  m_timed_since = std::chrono::steady_clock::now();
}

void ServerConnection::CloseNow() {
  if (!m_socket.is_open()) {
    return;
  }
  asio::error_code ignored;
  m_socket.close(ignored);
  NotifyClosed();
}

void ServerConnection::NotifyClosed() {
  if (const auto callback = std::exchange(m_on_closed, nullptr)) {
    callback();
  }
}

void ServerConnection::CheckTimeouts(Time now) {
  if (!m_socket.is_open()) {
    return;
  }
  const auto age = now - m_timed_since;
  if (m_phase == Phase::kClosing) {
    if (age > kLingerTimeout && !m_write_pending) {
      CloseNow();
    }
    return;
  }
  if (m_phase != Phase::kReading) {
    return;
  }
  const CallerLimits& limits = m_shared->limits;
  if (m_first_byte_seen && !m_parser.IsHeadComplete() &&
      age > limits.header_timeout) {
    Reject(408);
  } else if (age > limits.idle_timeout) {
    // The idle timeout also limits a body that does not arrive.
    CloseNow();
  }
}

bool ServerConnection::IsIdle() const {
  return m_phase == Phase::kReading && !m_first_byte_seen && m_input.empty() &&
         !m_write_pending && m_output.empty();
}

bool ServerConnection::IsBusy(Time now) const {
  if (!m_socket.is_open()) {
    return false;
  }
  if (m_phase == Phase::kResponding || m_write_pending || !m_output.empty()) {
    return true;
  }
  if (m_phase == Phase::kClosing) {
    return false;
  }
  return IsIdle() ? m_close_when_idle : now - m_timed_since < kReadingTime;
}

bool ServerConnection::ClosesAfterResponse() const {
  const bool stopping = m_close_when_idle || m_shared->close_after_responses;
  return !m_keep_alive || (stopping && m_input.empty());
}

void ServerConnection::CloseWhenIdle() {
  m_close_when_idle = true;
  if (m_socket.is_open() && IsIdle()) {
    // A request may have been read although `OnRead` was not called yet. If
    // not, the cancelled read closes the connection.
    asio::error_code ignored;
    m_socket.cancel(ignored);
  }
}

}  // namespace jasminehatch::net
