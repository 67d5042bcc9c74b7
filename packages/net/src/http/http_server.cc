#include "jasminehatch/detail/http/http_server.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "counted_socket.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/http/response_writer.h"
#include "receive_gauge.h"

namespace jasminehatch::net {
namespace {

/// Upper bound of the time a handler may take; requests carry their own
/// deadlines.
constexpr std::chrono::hours kHandleTimeout{24};
/// With more than one pipelined request RESTinio keeps reading while a response
/// is pending, and so notices that the client has closed the connection.
constexpr std::size_t kMaxPipelinedRequests = 4;
constexpr std::size_t kMaxHeaderFieldSize = 16UL << 10U;
constexpr std::size_t kMaxHeaderFields = 100;
constexpr std::size_t kMaxTargetSize = 8UL << 10U;
/// Bodies that exceed the limit by up to this are read, so that the handler can
/// refuse them with 413, in bytes; on larger ones RESTinio closes the
/// connection at once.
constexpr std::uint64_t kReadBeyondLimit = 64UL << 10U;
/// Length announced by truncated streams.
constexpr std::size_t kTruncatedLength = 1UL << 40U;

/// Response to requests that arrive on open connections after `Close`.
constexpr std::string_view kClosedResponseBody =
    R"({"error":{"code":"server_closed","verdict":"not_run"}})";

/// Replaces the characters that would end a header line, as RFC 9110 section
/// 5.5 requires.
std::string SanitizeHeaderValue(std::string_view value) {
  std::string sanitized(value);
  std::replace_if(
      sanitized.begin(), sanitized.end(),
      [](char c) { return c == '\r' || c == '\n' || c == '\0'; }, ' ');
  return sanitized;
}

/// Writes a response through one of RESTinio's output builders.
class RestinioWriter final
    : public ResponseWriter,
      public std::enable_shared_from_this<RestinioWriter> {
 public:
  /// @param unfinished number of responses of the server that are not yet
  /// handed to the kernel
  /// @param gauge counts the memory of the request
  RestinioWriter(restinio::request_handle_t request,
                 std::shared_ptr<std::size_t> unfinished,
                 std::shared_ptr<ReceiveGauge> gauge)
      : m_request(std::move(request)),
        m_unfinished_count(std::move(unfinished)),
        m_gauge(std::move(gauge)),
        m_connection(m_request->connection_id()),
        m_request_bytes(
            m_gauge->OnHandedOver(m_connection, m_request->body().size())) {
    ++*m_unfinished_count;
  }

  ~RestinioWriter() override {
    MarkHandedOver();
    m_gauge->OnDestroyed(m_request_bytes);
  }
  RestinioWriter(const RestinioWriter&) = delete;
  RestinioWriter& operator=(const RestinioWriter&) = delete;

  void Send(int status, const HttpHeaders& headers, std::string body) override {
    if (!std::holds_alternative<std::monostate>(m_output) || !m_request) {
      return;
    }
    if (m_request->header().method() == restinio::http_method_head()) {
      // The response to HEAD has a length and no body; a body would be read as
      // the start of the next response.
      auto response =
          m_request->create_response<restinio::user_controlled_output_t>(
              StatusLine(status));
      AddHeaders(response, headers);
      response.set_content_length(body.size());
      Finish();
      response.done(OnWritten(0, true));
      return;
    }
    auto response = m_request->create_response(StatusLine(status));
    AddHeaders(response, headers);
    m_unsent = body.size();
    response.set_body(std::move(body));
    Finish();
    response.done(OnWritten(m_unsent, true));
  }

  void BeginStream(int status, const HttpHeaders& headers) override {
    if (!m_request) {
      return;
    }
    auto response = m_request->create_response<restinio::chunked_output_t>(
        StatusLine(status));
    AddHeaders(response, headers);
    m_output.emplace<decltype(response)>(std::move(response));
  }

  void BeginTruncatedStream(int status, const HttpHeaders& headers) override {
    if (!m_request) {
      return;
    }
    auto response =
        m_request->create_response<restinio::user_controlled_output_t>(
            StatusLine(status));
    AddHeaders(response, headers);
    response.connection_close();
    response.set_content_length(kTruncatedLength);
    m_output.emplace<decltype(response)>(std::move(response));
  }

  void Write(std::string chunk) override {
    if (m_finished || chunk.empty()) {
      return;
    }
    m_unsent += chunk.size();
    if (m_pending.empty()) {
      m_pending = std::move(chunk);
    } else {
      m_pending += chunk;
    }
    FlushPending();
  }

  void End() override {
    if (m_finished) {
      return;
    }
    Finish();
    m_end_pending = true;
    FlushPending();
  }

  std::size_t UnsentBytes() const override { return m_unsent; }

  void SetClosedCallback(std::function<void()> callback) override {
    m_on_closed = std::move(callback);
  }

  void OnConnectionClosed() {
    m_pending.clear();
    m_end_pending = false;
    MarkHandedOver();
    if (m_finished) {
      return;
    }
    Finish();
    if (auto callback = std::exchange(m_on_closed, {})) {
      callback();
    }
  }

 private:
  using Chunked = restinio::response_builder_t<restinio::chunked_output_t>;
  using Truncated =
      restinio::response_builder_t<restinio::user_controlled_output_t>;

  static restinio::http_status_line_t StatusLine(int status) {
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            "Status"};
  }

  template <typename Response>
  static void AddHeaders(Response& response, const HttpHeaders& headers) {
    for (const HttpHeader& header : headers) {
      response.append_header(header.name, SanitizeHeaderValue(header.value));
    }
  }

  /// Passes pending bytes on to RESTinio, one buffer at a time. Chunks that
  /// arrive while a buffer is being written are sent together in the next one:
  /// RESTinio's queue of buffers takes a system call per buffer and time
  /// quadratic in its length.
  void FlushPending() {
    if (m_writing || (m_pending.empty() && !m_end_pending)) {
      return;
    }
    m_writing = true;
    const bool last = std::exchange(m_end_pending, false);
    std::string data = std::exchange(m_pending, {});
    auto written = OnWritten(data.size(), last);
    if (auto* chunked = std::get_if<Chunked>(&m_output)) {
      chunked->append_chunk(std::move(data));
      Submit(*chunked, last, std::move(written));
    } else if (auto* truncated = std::get_if<Truncated>(&m_output)) {
      truncated->append_body(std::move(data));
      Submit(*truncated, last, std::move(written));
    }
  }

  template <typename Response>
  static void Submit(Response& response,
                     bool last,
                     restinio::write_status_cb_t written) {
    if (last) {
      response.done(std::move(written));
    } else {
      response.flush(std::move(written));
    }
  }

  /// @return a function that is called when RESTinio has handed the bytes to
  /// the kernel or has dropped them with the connection
  restinio::write_status_cb_t OnWritten(std::size_t size, bool last) {
    return
        [self = shared_from_this(), size, last](const asio::error_code& error) {
          self->m_unsent -= size;
          self->m_writing = false;
          if (last || error) {
            self->MarkHandedOver();
          } else {
            self->FlushPending();
          }
        };
  }

  void MarkHandedOver() {
    if (const auto unfinished = std::exchange(m_unfinished_count, nullptr)) {
      --*unfinished;
      m_gauge->OnResponded(m_connection);
    }
  }

  void Finish() {
    m_finished = true;
    m_request.reset();
  }

  restinio::request_handle_t m_request;
  std::variant<std::monostate, Chunked, Truncated> m_output;
  std::function<void()> m_on_closed;
  /// Number of responses of the server that are not yet handed to the kernel;
  /// null once this one is.
  std::shared_ptr<std::size_t> m_unfinished_count;
  std::shared_ptr<ReceiveGauge> m_gauge;
  restinio::connection_id_t m_connection;
  std::size_t m_request_bytes;  ///< Memory of the request.
  std::string m_pending;        ///< Body bytes not yet passed to RESTinio.
  std::size_t m_unsent = 0;     ///< Body bytes not yet passed to the kernel.
  bool m_writing = false;       ///< RESTinio is writing a buffer.
  bool m_end_pending = false;   ///< The response ends after `m_pending`.
  bool m_finished = false;
};

/// Notifies the writers of a connection when it closes.
class ConnectionListener {
 public:
  explicit ConnectionListener(std::shared_ptr<ReceiveGauge> gauge)
      : m_gauge(std::move(gauge)) {}

  void Add(restinio::connection_id_t connection,
           const std::shared_ptr<RestinioWriter>& writer) {
    auto& writers = m_writers[connection];
    std::erase_if(writers, [](const auto& old) { return old.expired(); });
    writers.push_back(writer);
  }

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(
            notice.cause())) {
      m_gauge->OnAccepted(notice.connection_id());
    }
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause())) {
      return;
    }
    m_gauge->OnClosed(notice.connection_id());
    const auto entry = m_writers.extract(notice.connection_id());
    if (entry.empty()) {
      return;
    }
    for (const auto& weak : entry.mapped()) {
      if (const auto writer = weak.lock()) {
        writer->OnConnectionClosed();
      }
    }
  }

 private:
  std::shared_ptr<ReceiveGauge> m_gauge;
  std::unordered_map<restinio::connection_id_t,
                     std::vector<std::weak_ptr<RestinioWriter>>>
      m_writers;
};

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = ConnectionListener;
  using stream_socket_t = CountedSocket;
  // The name is RESTinio's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

HttpRequest ToHttpRequest(const restinio::request_t& request) {
  HttpRequest result;
  const auto& header = request.header();
  result.method = std::string(header.method().c_str());
  result.path = std::string(header.path());
  result.query = std::string(header.query());
  header.for_each_field([&result](const restinio::http_header_field_t& field) {
    result.headers.push_back({field.name(), field.value()});
  });
  result.body = request.body();
  return result;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(asio::io_context& loop, const Options& options, Handler handler)
      : m_gauge(
            std::make_shared<ReceiveGauge>(options.memory, options.on_refusal)),
        m_listener(std::make_shared<ConnectionListener>(m_gauge)),
        m_shared(std::make_shared<SharedState>(
            SharedState{std::move(handler), m_listener,
                        std::make_shared<std::size_t>(0), m_gauge})),
        m_server(restinio::external_io_context(loop), [&](auto& settings) {
          settings.address(options.address)
              .port(options.port)
              .read_next_http_message_timelimit(options.read_timeout)
              .write_http_response_timelimit(options.write_timeout)
              .max_parallel_connections(options.connection_limit)
              .handle_request_timeout(kHandleTimeout)
              .max_pipelined_requests(kMaxPipelinedRequests)
              .incoming_http_msg_limits(
                  restinio::incoming_http_msg_limits_t{}
                      .max_url_size(kMaxTargetSize)
                      .max_field_name_size(kMaxHeaderFieldSize)
                      .max_field_value_size(kMaxHeaderFieldSize)
                      .max_field_count(kMaxHeaderFields)
                      .max_body_size(options.body_limit + kReadBeyondLimit))
              .connection_state_listener(m_listener)
              .acceptor_options_setter(
                  [](restinio::acceptor_options_t& acceptor) {
                    acceptor.set_option(
                        asio::ip::tcp::acceptor::reuse_address(true));
                  })
              .socket_options_setter([](restinio::socket_options_t& socket) {
                socket.set_option(asio::ip::tcp::no_delay(true));
              })
              .acceptor_post_bind_hook(
                  [this](asio::ip::tcp::acceptor& acceptor) {
                    m_port = acceptor.local_endpoint().port();
                  })
              .request_handler([shared = m_shared](
                                   const restinio::request_handle_t& request) {
                return shared->OnRequest(request);
              });
        }) {
    try {
      m_server.open_sync();
    } catch (const std::exception& error) {
      throw TransportError(301, "cannot listen on " + options.address + ":" +
                                    std::to_string(options.port) + ": " +
                                    error.what());
    }
  }

  ~Impl() { Close(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::uint16_t Port() const { return m_port; }

  void Close() {
    m_shared->handler = {};
    m_gauge->StopReporting();
    m_server.close_sync();
  }

  std::size_t MemoryBytes() const { return m_gauge->MemoryBytes(); }
  std::size_t UnfinishedResponses() const { return *m_shared->unfinished; }

 private:
  /// State that the connections use; they live as long as the loop, and so
  /// longer than the server.
  struct SharedState {
    Handler handler;  ///< Empty after `Close`.
    std::shared_ptr<ConnectionListener> listener;
    std::shared_ptr<std::size_t> unfinished;
    std::shared_ptr<ReceiveGauge> gauge;

    restinio::request_handling_status_t OnRequest(
        const restinio::request_handle_t& request) {
      if (!handler) {
        return request->create_response(restinio::status_service_unavailable())
            .append_header("Content-Type", "application/json")
            .append_header("X-Verdict", "not_run")
            .connection_close()
            .set_body(std::string(kClosedResponseBody))
            .done();
      }
      auto writer =
          std::make_shared<RestinioWriter>(request, unfinished, gauge);
      listener->Add(request->connection_id(), writer);
      handler(ToHttpRequest(*request), std::move(writer));
      return restinio::request_accepted();
    }
  };

  std::shared_ptr<ReceiveGauge> m_gauge;
  std::shared_ptr<ConnectionListener> m_listener;
  std::shared_ptr<SharedState> m_shared;
  std::uint16_t m_port = 0;
  restinio::http_server_t<ServerTraits> m_server;
};

HttpServer::HttpServer(asio::io_context& loop,
                       const Options& options,
                       Handler handler)
    : m_impl(std::make_unique<Impl>(loop, options, std::move(handler))) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::Port() const {
  return m_impl->Port();
}

std::size_t HttpServer::UnfinishedResponses() const {
  return m_impl->UnfinishedResponses();
}

std::size_t HttpServer::MemoryBytes() const {
  return m_impl->MemoryBytes();
}

void HttpServer::Close() {
  m_impl->Close();
}

}  // namespace jasminehatch::net
