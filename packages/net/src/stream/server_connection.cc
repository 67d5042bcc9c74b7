#include "server_connection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <utility>

#include "connection_exchange.h"
#include "message_text.h"
#include "shared_server_state.h"

namespace jasminehatch::net {
namespace {

/// Bytes of pipelined requests that are buffered while one is in progress.
constexpr std::size_t kMaxPipelinedBytes = 64UL << 10U;

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
      m_reader(m_shared->limits, ReaderCallbacks()),
      m_output(m_socket, OutputCallbacks()),
      m_timed_since(std::chrono::steady_clock::now()) {}

ServerConnection::~ServerConnection() {
  m_shared->connections.erase(m_id);
  m_shared->memory.Close(m_id);
}

RequestReader::Callbacks ServerConnection::ReaderCallbacks() {
  RequestReader::Callbacks callbacks;
  callbacks.ask_for_memory = [this](std::size_t body_capacity) {
    return AskForMemory(body_capacity);
  };
  callbacks.on_body = [this](std::size_t bytes) {
    m_shared->memory.AddProgress(m_id, bytes, std::chrono::steady_clock::now());
  };
  callbacks.on_continue_expected = [this] {
    m_output.Append("HTTP/1.1 100 Continue\r\n\r\n");
    Flush();
  };
  return callbacks;
}

OutputWriter::Callbacks ServerConnection::OutputCallbacks() {
  OutputWriter::Callbacks callbacks;
  callbacks.on_progress = [this](std::size_t bytes, Time now) {
    m_shared->memory.AddProgress(m_id, bytes, now);
  };
  callbacks.on_written = [this](const asio::error_code& error) {
    OnWritten(error);
  };
  return callbacks;
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
  const std::size_t length = m_reader.Read(data);
  if (const auto refusal = m_reader.RefusalReason()) {
    Reject(*refusal);
    return;
  }
  if (m_reader.IsComplete()) {
    m_input = data.substr(length);
    DispatchRequest();
  }
}

void ServerConnection::DispatchRequest() {
  const std::size_t memory_bytes =
      m_reader.HeadMemoryBytes() + m_reader.BodyCapacity();
  m_keep_alive = m_reader.ShouldKeepAlive();
  m_is_head_request = m_reader.IsHeadRequest();
  HttpRequest request = m_reader.Take();
  m_phase = Phase::kResponding;
  m_timed_since = std::chrono::steady_clock::now();
  m_first_byte_seen = false;
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
  m_is_head_request = m_reader.IsHeadRequest();
  m_reader.Discard();
  std::string().swap(m_input);
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
  return m_output.UnsentBytes() >= kUnreadBytes;
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
  const std::size_t bytes = m_reader.HeadMemoryBytes() + body_capacity +
                            m_input.capacity() + m_output.MemoryBytes();
  const auto decision = m_shared->memory.Update(
      m_id, CurrentActivity(), bytes, std::chrono::steady_clock::now());
  m_shared->Drop(decision.dropped);
  return decision.granted;
}

void ServerConnection::UpdateMemory() {
  if (!m_socket.is_open() || AskForMemory(m_reader.BodyCapacity())) {
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
    AskForMemory(m_reader.BodyCapacity());
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
  m_output.Append(FormatHead(status, headers));
  m_output.Append("Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n");
  if (!m_is_head_request) {
    m_output.Append(body);
  }
  FinishResponse();
}

void ServerConnection::BeginStream(std::size_t sequence,
                                   int status,
                                   const HttpHeaders& headers) {
  if (!IsCurrent(sequence)) {
    return;
  }
  m_output.Append(FormatHead(status, headers));
  m_output.Append("Transfer-Encoding: chunked\r\n\r\n");
  Flush();
}

void ServerConnection::Write(std::size_t sequence, std::string_view data) {
  if (!IsCurrent(sequence) || data.empty() || m_is_head_request) {
    return;
  }
  AppendChunk(m_output.Waiting(), data);
  Flush();
  UpdateMemory();
}

void ServerConnection::End(std::size_t sequence) {
  if (!IsCurrent(sequence)) {
    return;
  }
  if (!m_is_head_request) {
    m_output.Append("0\r\n\r\n");
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
  if (m_output.IsWriting() || !m_socket.is_open()) {
    return;
  }
  if (!m_output.HasWaiting()) {
    if (m_phase == Phase::kClosing) {
      BeginClosing();
    } else if (m_close_when_idle) {
      CloseWhenIdle();
    } else if (m_phase == Phase::kReading && !m_first_byte_seen) {
      m_timed_since = std::chrono::steady_clock::now();
    }
    return;
  }
  m_output.Write(shared_from_this());
}

void ServerConnection::OnWritten(const asio::error_code& error) {
  if (error) {
    CloseNow();
    return;
  }
  Flush();
  UpdateMemory();
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
  m_reader.ReleaseBody();
  std::string().swap(m_input);
  m_output.DiscardWaiting();
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
  if (m_output.IsWriting()) {
    if (now - m_output.ProgressAt() > limits.idle_timeout) {
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
  if (m_first_byte_seen && !m_reader.IsHeadComplete()) {
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
  if (m_phase == Phase::kResponding || m_output.IsWriting()) {
    return;
  }
  if (m_phase == Phase::kReading && m_first_byte_seen &&
      !m_reader.IsHeadComplete()) {
    Reject(Refusal::kHeadTimeout);
  } else {
    CloseNow();
  }
}

bool ServerConnection::IsIdle() const {
  return m_phase == Phase::kReading && !m_first_byte_seen && m_input.empty() &&
         !m_output.IsWriting() && !m_output.HasWaiting();
}

bool ServerConnection::IsBusy(Time now) const {
  if (!m_socket.is_open()) {
    return false;
  }
  if (m_phase == Phase::kResponding || m_output.IsWriting() ||
      m_output.HasWaiting()) {
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
