#include "server_connection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "connection_exchange.h"
#include "message_text.h"
#include "shared_server_state.h"

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

/// Input that is discarded after the last request so that the caller receives
/// its response, in bytes. It covers what a caller has under way on a fast link
/// when it is refused.
constexpr std::size_t kMaxLingerBytes = 256UL << 10U;

/// First size of the buffer of a body whose length is not announced.
constexpr std::size_t kFirstBodyBytes = 16UL << 10U;

/// Bytes that are handed to the kernel at once.
constexpr std::size_t kMaxWriteBytes = 64UL << 10U;

/// Unread bytes of a response from which on the connection counts as waiting
/// for its caller.
constexpr std::size_t kUnreadBytes = 16UL << 10U;

}  // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket,
                                   std::shared_ptr<SharedServerState> shared,
                                   shedding::ConnectionId id)
    : m_socket(std::move(socket)),
      m_shared(std::move(shared)),
      m_id(id),
      m_timed_since(std::chrono::steady_clock::now()) {
  m_parser.on_head = [this] { OnHead(); };
  m_parser.on_body = [this](std::string_view data) { OnBody(data); };
  m_parser.on_chunk = [this](std::uint64_t size) {
    if (size > m_shared->limits.body_bytes) {
      m_refusal = m_refusal.value_or(Refusal::kBodyTooLarge);
    }
  };
}

ServerConnection::~ServerConnection() {
  m_shared->connections.erase(m_id);
  m_shared->memory.Close(m_id);
}

void ServerConnection::Start() {
  asio::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
  Read();
}

void ServerConnection::Read() {
  if (m_read_pending || !m_socket.is_open() ||
      m_input.size() > kMaxPipelinedBytes) {
    return;
  }
  m_read_pending = true;
  // No buffer is held while nothing arrives.
  m_socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const asio::error_code& error) {
        self->m_read_pending = false;
        self->OnReadable(error);
      });
}

void ServerConnection::OnReadable(const asio::error_code& error) {
  // The wait may have ended before the connection was closed. A request from a
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
  asio::error_code read_error;
  const std::size_t length =
      m_socket.read_some(asio::buffer(m_shared->buffer), read_error);
  if (read_error && read_error != asio::error::would_block) {
    CloseNow();
    return;
  }
  if (!read_error) {
    Receive({m_shared->buffer.data(), length});
  }
  Read();
}

void ServerConnection::Receive(std::string_view data) {
  if (m_phase == Phase::kClosing) {
    m_discarded += data.size();
    if (m_discarded > kMaxLingerBytes) {
      CloseNow();
    }
    return;
  }
  if (m_phase == Phase::kReading && m_input.empty()) {
    Parse(data);
  } else {
    m_input.append(data);
  }
  ParseInput();
  UpdateMemory();
}

void ServerConnection::ParseInput() {
  while (m_phase == Phase::kReading && m_socket.is_open() && !m_input.empty()) {
    Parse(std::exchange(m_input, {}));
  }
}

void ServerConnection::Parse(std::string_view data) {
  if (!std::exchange(m_first_byte_seen, true)) {
    m_timed_since = std::chrono::steady_clock::now();
  }
  const auto progress = m_parser.Feed(data);
  if (!m_parser.IsHeadComplete() &&
      m_parser.HeadBytes() > m_shared->limits.header_bytes) {
    m_refusal = Refusal::kHeadTooLarge;
  }
  if (!progress.error.empty()) {
    m_refusal = Refusal::kMalformed;
  }
  if (m_refusal) {
    Reject(*m_refusal);
    return;
  }
  if (m_parser.IsMessageComplete()) {
    m_input = data.substr(progress.consumed);
    DispatchRequest();
  }
}

void ServerConnection::OnHead() {
  const HttpHeaders& headers = m_parser.Headers();
  if (m_parser.HeadBytes() > m_shared->limits.header_bytes) {
    m_refusal = Refusal::kHeadTooLarge;
    return;
  }
  if (!m_parser.IsHttp11()) {
    m_refusal = Refusal::kUnsupportedVersion;
    return;
  }
  // http_parser accepts spaces in names and some control characters in values,
  // which another parser may read as further headers.
  if (!std::all_of(headers.begin(), headers.end(), IsValidHeader) ||
      CountHeader(headers, "Host") != 1 || !IsValidTarget(m_parser.Target())) {
    m_refusal = Refusal::kMalformed;
    return;
  }
  if (m_parser.AnnouncedLength() > m_shared->limits.body_bytes) {
    m_refusal = Refusal::kBodyTooLarge;
    return;
  }
  GrowBody(m_parser.AnnouncedLength());
  if (!m_refusal && !FindHeader(headers, "Expect").empty()) {
    m_output += "HTTP/1.1 100 Continue\r\n\r\n";
    Flush();
  }
}

void ServerConnection::OnBody(std::string_view data) {
  if (m_refusal) {
    return;
  }
  const std::size_t size = m_body.size() + data.size();
  if (size > m_shared->limits.body_bytes) {
    m_refusal = Refusal::kBodyTooLarge;
    return;
  }
  if (size > m_body.capacity()) {
    GrowBody(std::min(std::max({size, 2 * m_body.capacity(), kFirstBodyBytes}),
                      m_shared->limits.body_bytes));
    if (m_refusal) {
      return;
    }
  }
  m_body.append(data);
  m_shared->memory.AddProgress(m_id, data.size(),
                               std::chrono::steady_clock::now());
}

void ServerConnection::GrowBody(std::size_t bytes) {
  if (bytes <= m_body.capacity()) {
    return;
  }
  if (!AskForMemory(bytes)) {
    m_refusal = Refusal::kNoMemory;
    return;
  }
  // The kernel provides the pages of a large buffer as they are written.
  m_body.reserve(bytes);
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
  const std::size_t memory_bytes = m_parser.MemoryBytes() + m_body.capacity();
  request.headers = std::move(m_parser.Headers());
  request.body = std::exchange(m_body, {});
  m_keep_alive = m_parser.ShouldKeepAlive();
  m_is_head_request = request.method == "HEAD";
  m_phase = Phase::kResponding;
  m_timed_since = std::chrono::steady_clock::now();
  m_first_byte_seen = false;
  m_parser.Reset();
  ++m_sequence;
  // The memory of the request now belongs to the exchange.
  UpdateMemory();
  auto exchange = std::make_shared<ConnectionExchange>(
      weak_from_this(), m_sequence, std::move(request), m_shared, memory_bytes);
  if (m_socket.is_open()) {
    m_shared->handler(std::move(exchange));
  }
}

void ServerConnection::Reject(Refusal reason) {
  m_phase = Phase::kResponding;
  m_keep_alive = false;
  m_is_head_request = m_parser.IsHeadComplete() && m_parser.Method() == "HEAD";
  m_refusal.reset();
  std::string().swap(m_body);
  std::string().swap(m_input);
  m_parser.Reset();
  m_shared->Report(reason);
  HttpHeaders headers{{"Content-Type", "text/plain"}};
  const int status = HttpStatus(reason);
  if (status == 503) {
    headers.push_back({"Retry-After", "1"});
  }
  Send(
      ++m_sequence, status, headers,
      "the request is not acceptable: " + std::string(ToString(reason)) + "\n");
}

bool ServerConnection::HasUnreadResponse() const {
  return m_output.size() + m_writing.size() >= kUnreadBytes;
}

shedding::Activity ServerConnection::CurrentActivity() const {
  using shedding::Activity;
  if (HasUnreadResponse()) {
    return Activity::kUnread;
  }
  switch (m_phase) {
    case Phase::kResponding:
      return Activity::kRunning;
    case Phase::kClosing:
      return Activity::kEnding;
    case Phase::kReading:
      break;
  }
  return m_first_byte_seen || !m_input.empty() ? Activity::kReading
                                               : Activity::kIdle;
}

bool ServerConnection::AskForMemory(std::size_t body_capacity) {
  const std::size_t bytes = m_parser.MemoryBytes() + body_capacity +
                            m_input.capacity() + m_output.capacity() +
                            m_writing.capacity();
  const auto decision = m_shared->memory.Update(
      m_id, CurrentActivity(), bytes, std::chrono::steady_clock::now());
  m_shared->Drop(decision.dropped);
  return decision.granted;
}

void ServerConnection::UpdateMemory() {
  if (!m_socket.is_open() || AskForMemory(m_body.capacity())) {
    return;
  }
  if (HasUnreadResponse()) {
    Drop(Refusal::kResponseMemory);
  } else if (m_phase != Phase::kReading) {
    Drop(Refusal::kNoMemory);
  } else if (m_first_byte_seen || !m_input.empty()) {
    Reject(Refusal::kNoMemory);
  } else {
    // There is no request to refuse; the response that is being written is
    // completed.
    m_shared->Report(Refusal::kNoMemory);
    m_phase = Phase::kClosing;
    Flush();
    AskForMemory(m_body.capacity());
  }
}

void ServerConnection::Shed() {
  if (!m_socket.is_open()) {
    return;
  }
  // A refusal is sent after an unread response and would not free its memory.
  if (m_phase == Phase::kReading && m_first_byte_seen && !HasUnreadResponse()) {
    Reject(Refusal::kShed);
  } else {
    Drop(Refusal::kShed);
  }
}

void ServerConnection::Drop(Refusal reason) {
  if (!m_socket.is_open()) {
    return;
  }
  m_shared->Report(reason);
  // The handler may be writing to this connection, or to another one that makes
  // room for it.
  auto on_closed = std::exchange(m_on_closed, nullptr);
  CloseNow();
  if (on_closed) {
    asio::post(m_socket.get_executor(), std::move(on_closed));
  }
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
  UpdateMemory();
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
  UpdateMemory();
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
    } else if (m_phase == Phase::kReading && !m_first_byte_seen) {
      m_timed_since = std::chrono::steady_clock::now();
    }
    return;
  }
  m_writing = std::exchange(m_output, {});
  m_write_pending = true;
  m_write_progress = 0;
  m_write_progress_at = std::chrono::steady_clock::now();
  asio::async_write(
      m_socket, asio::buffer(m_writing),
      [self = shared_from_this()](const asio::error_code& error,
                                  std::size_t sent) {
        self->OnWriteProgress(sent);
        return error ? 0 : kMaxWriteBytes;
      },
      [self = shared_from_this()](const asio::error_code& error,
                                  std::size_t /*length*/) {
        self->m_write_pending = false;
        self->ReleaseWritten();
        if (error) {
          self->CloseNow();
          return;
        }
        self->Flush();
        self->UpdateMemory();
      });
}

void ServerConnection::OnWriteProgress(std::size_t sent) {
  if (sent == m_write_progress) {
    return;
  }
  const Time now = std::chrono::steady_clock::now();
  m_shared->memory.AddProgress(m_id, sent - m_write_progress, now);
  m_write_progress = sent;
  m_write_progress_at = now;
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
  m_shared->memory.Close(m_id);
  // Handlers that are still queued keep the object for a while.
  std::string().swap(m_body);
  std::string().swap(m_input);
  std::string().swap(m_output);
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
  const CallerLimits& limits = m_shared->limits;
  if (m_write_pending) {
    if (now - m_write_progress_at > limits.idle_timeout) {
      Drop(Refusal::kResponseTimeout);
    }
    return;
  }
  const auto age = now - m_timed_since;
  if (m_phase == Phase::kClosing) {
    if (age > kLingerTimeout) {
      CloseNow();
    }
    return;
  }
  if (m_phase != Phase::kReading) {
    return;
  }
  if (m_first_byte_seen && !m_parser.IsHeadComplete()) {
    if (age > limits.header_timeout) {
      Reject(Refusal::kHeadTimeout);
    }
  } else if (m_first_byte_seen) {
    const Time progress_at =
        std::max(m_timed_since, m_shared->memory.ProgressAt(m_id));
    if (now - progress_at > limits.idle_timeout) {
      Reject(Refusal::kBodyTimeout);
    }
  } else if (age > limits.idle_timeout) {
    Drop(Refusal::kIdleTimeout);
  }
}

void ServerConnection::EndWithoutRequest() {
  if (m_phase == Phase::kResponding || m_write_pending) {
    return;
  }
  if (m_phase == Phase::kReading && m_first_byte_seen &&
      !m_parser.IsHeadComplete()) {
    Reject(Refusal::kHeadTimeout);
  } else {
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
