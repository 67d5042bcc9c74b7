#include "jasminehatch/detail/http/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::net {
namespace {

/// Idle connections kept open for reuse.
constexpr long kMaxIdleConnections = 512;

struct CurlGlobal {
  CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
  ~CurlGlobal() { curl_global_cleanup(); }
  CurlGlobal(const CurlGlobal&) = delete;
  CurlGlobal& operator=(const CurlGlobal&) = delete;
};

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// One call in progress.
struct Transfer {
  HttpClient::CallId id = 0;
  std::unique_ptr<CURL, EasyDeleter> easy;
  std::unique_ptr<curl_slist, ListDeleter> headers;
  HttpCall call;
  HttpResult result;
  HttpClient::DoneCallback on_done;
  HttpClient::DataCallback on_data;
  std::size_t head_bytes = 0;  ///< With informational responses and trailers.
  bool head_complete = false;  ///< Of the newest status line.
  bool too_large = false;
  bool cancelled = false;
};

/// What a callback of libcurl returns to break off a call.
constexpr std::size_t kBreakOff = 0;

std::size_t OnBody(char* data,
                   std::size_t /*size*/,
                   std::size_t length,
                   void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  if (transfer.cancelled) {
    return length;
  }
  long status = 0;
  curl_easy_getinfo(transfer.easy.get(), CURLINFO_RESPONSE_CODE, &status);
  if (transfer.on_data && status >= 200 && status < 300) {
    transfer.on_data(std::string_view(data, length));
    return length;
  }
  if (transfer.result.body.size() + length > transfer.call.max_body_bytes) {
    transfer.too_large = true;
    return kBreakOff;
  }
  transfer.result.body.append(data, length);
  return length;
}

std::size_t OnHeader(char* data,
                     std::size_t /*size*/,
                     std::size_t length,
                     void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  transfer.head_bytes += length;
  if (transfer.head_bytes > transfer.call.max_head_bytes) {
    transfer.too_large = true;
    return kBreakOff;
  }
  std::string_view line(data, length);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  transfer.head_complete =
      line.empty() || (transfer.head_complete && !line.starts_with("HTTP/"));
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') {
      value.remove_prefix(1);
    }
    transfer.result.headers.push_back(
        {std::string(line.substr(0, colon)), std::string(value)});
  }
  return length;
}

/// @return whether a whole response was received. libcurl also reports success
/// for one whose connection was closed in the middle of the head.
bool IsComplete(CURLcode code, const Transfer& transfer) {
  constexpr int kFirstFinalStatus = 200;
  return code == CURLE_OK && transfer.head_complete &&
         transfer.result.status >= kFirstFinalStatus;
}

HttpResult::Kind ClassifyResult(CURLcode code, const Transfer& transfer) {
  if (IsComplete(code, transfer)) {
    return HttpResult::Kind::kComplete;
  }
  CURL* easy = transfer.easy.get();
  // libcurl counts the request bytes that it handed to the socket; with none
  // the request cannot have run.
  long request_size = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
  curl_off_t uploaded = 0;
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  if (request_size == 0 && uploaded == 0) {
    return HttpResult::Kind::kNotSent;
  }
  return code == CURLE_OPERATION_TIMEDOUT ? HttpResult::Kind::kTimedOut
                                          : HttpResult::Kind::kBroken;
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(asio::io_context& loop) : m_loop(loop), m_timer(loop) {
    static const CurlGlobal kGlobal;
    m_multi = curl_multi_init();
    if (m_multi == nullptr) {
      throw TransportError(302, "cannot initialise the HTTP client");
    }
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~Impl() {
    for (auto& [id, transfer] : m_transfers) {
      curl_multi_remove_handle(m_multi, transfer->easy.get());
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
    for (auto& [fd, socket] : m_sockets) {
      socket->descriptor.release();
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  CallId Start(HttpCall call, DoneCallback on_done, DataCallback on_data) {
    auto transfer = std::make_unique<Transfer>();
    transfer->id = m_next_id++;
    transfer->call = std::move(call);
    transfer->on_done = std::move(on_done);
    transfer->on_data = std::move(on_data);
    transfer->easy.reset(curl_easy_init());
    Configure(*transfer);
    const CallId id = transfer->id;
    CURL* easy = transfer->easy.get();
    m_transfers.emplace(id, std::move(transfer));
    if (m_in_curl) {
      // libcurl refuses new transfers from within its callbacks.
      m_to_start.push_back(id);
    } else {
      curl_multi_add_handle(m_multi, easy);
      // Sends the request now; libcurl's timer would do so one loop iteration
      // later.
      Perform(CURL_SOCKET_TIMEOUT, 0);
      PostCollection();
    }
    return id;
  }

  void Cancel(CallId id) {
    const auto entry = m_transfers.find(id);
    if (entry == m_transfers.end()) {
      for (const auto& transfer : m_finished) {
        transfer->cancelled = transfer->cancelled || transfer->id == id;
      }
      return;
    }
    if (m_in_curl) {
      // libcurl does not allow the removal of a transfer from within its
      // callbacks, and a callback must not be destroyed while it runs.
      entry->second->cancelled = true;
      m_to_cancel.push_back(id);
      return;
    }
    curl_multi_remove_handle(m_multi, entry->second->easy.get());
    m_transfers.erase(entry);
  }

 private:
  struct Socket {
    explicit Socket(asio::io_context& loop, curl_socket_t fd)
        : descriptor(loop, fd) {}
    asio::posix::stream_descriptor descriptor;
    int poll_action = 0;  ///< CURL_POLL_* value that libcurl last requested.
    bool reading = false;
    bool writing = false;
  };

  static void Configure(Transfer& transfer) {
    CURL* easy = transfer.easy.get();
    const HttpCall& call = transfer.call;
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.connect_timeout.count()));
    if (call.total_timeout.count() > 0) {
      curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                       static_cast<long>(call.total_timeout.count()));
    }
    if (call.idle_timeout.count() > 0) {
      curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt(
          easy, CURLOPT_LOW_SPEED_TIME,
          static_cast<long>((call.idle_timeout.count() + 999) / 1000));
    }
    if (call.fresh_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (call.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (call.method != "GET" || !call.body.empty()) {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }
    curl_slist* list = nullptr;
    for (const HttpHeader& header : call.headers) {
      // libcurl sends the line as it is, so a line end in the value would add
      // a header.
      std::string line = header.name + ": " + header.value;
      std::replace_if(
          line.begin(), line.end(),
          [](char c) { return c == '\r' || c == '\n' || c == '\0'; }, ' ');
      list = curl_slist_append(list, line.c_str());
    }
    // Waiting for "100 Continue" would add a round trip or a second to large
    // bodies.
    list = curl_slist_append(list, "Expect:");
    transfer.headers.reset(list);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  }

  static int OnSocket(CURL* /*easy*/,
                      curl_socket_t fd,
                      int what,
                      void* user,
                      void* /*socket_data*/) {
    auto& self = *static_cast<Impl*>(user);
    if (what == CURL_POLL_REMOVE) {
      const auto entry = self.m_sockets.find(fd);
      if (entry != self.m_sockets.end()) {
        entry->second->poll_action = 0;
        entry->second->descriptor.release();
        self.m_sockets.erase(entry);
      }
      return 0;
    }
    auto& socket = self.m_sockets[fd];
    if (!socket) {
      socket = std::make_shared<Socket>(self.m_loop, fd);
    }
    socket->poll_action = what;
    self.Watch(fd, socket);
    return 0;
  }

  static int OnTimer(CURLM* /*multi*/, long timeout_ms, void* user) {
    auto& self = *static_cast<Impl*>(user);
    if (timeout_ms < 0) {
      self.m_timer.cancel();
      return 0;
    }
    self.m_timer.expires_after(std::chrono::milliseconds(timeout_ms));
    self.m_timer.async_wait([&self, alive = std::weak_ptr<int>(self.m_alive)](
                                const asio::error_code& error) {
      if (!error && !alive.expired()) {
        self.PerformAndCollect(CURL_SOCKET_TIMEOUT, 0);
      }
    });
    return 0;
  }

  void Watch(curl_socket_t fd, const std::shared_ptr<Socket>& socket) {
    if ((socket->poll_action & CURL_POLL_IN) != 0 && !socket->reading) {
      socket->reading = true;
      socket->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_read,
          [this, fd, socket](const asio::error_code& error) {
            socket->reading = false;
            OnReady(fd, socket, CURL_CSELECT_IN, CURL_POLL_IN, error);
          });
    }
    if ((socket->poll_action & CURL_POLL_OUT) != 0 && !socket->writing) {
      socket->writing = true;
      socket->descriptor.async_wait(
          asio::posix::stream_descriptor::wait_write,
          [this, fd, socket](const asio::error_code& error) {
            socket->writing = false;
            OnReady(fd, socket, CURL_CSELECT_OUT, CURL_POLL_OUT, error);
          });
    }
  }

  void OnReady(curl_socket_t fd,
               const std::shared_ptr<Socket>& socket,
               int action,
               int interest,
               const asio::error_code& error) {
    // A released descriptor reports an abort; `poll_action` tells whether
    // libcurl still uses it.
    if (error || (socket->poll_action & interest) == 0) {
      return;
    }
    PerformAndCollect(fd, action);
    const auto entry = m_sockets.find(fd);
    if (entry != m_sockets.end() && entry->second == socket) {
      Watch(fd, socket);
    }
  }

  void PerformAndCollect(curl_socket_t fd, int action) {
    Perform(fd, action);
    CollectFinished();
  }

  /// Lets libcurl process a socket or its timer. The caller of this function
  /// collects the calls that ended.
  void Perform(curl_socket_t fd, int action) {
    int running = 0;
    m_in_curl = true;
    curl_multi_socket_action(m_multi, fd, action, &running);
    m_in_curl = false;
    for (const CallId id : std::exchange(m_to_cancel, {})) {
      Cancel(id);
    }
    for (const CallId id : std::exchange(m_to_start, {})) {
      const auto entry = m_transfers.find(id);
      if (entry != m_transfers.end()) {
        curl_multi_add_handle(m_multi, entry->second->easy.get());
      }
    }
  }

  /// Collects finished calls in a later loop iteration, because a call must not
  /// end before `Start` has returned its id.
  void PostCollection() {
    if (std::exchange(m_collection_posted, true)) {
      return;
    }
    asio::post(m_loop, [this, alive = std::weak_ptr<int>(m_alive)] {
      if (!alive.expired()) {
        m_collection_posted = false;
        CollectFinished();
      }
    });
  }

  void CollectFinished() {
    int pending = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &pending)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
      long status = 0;
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      transfer->result.status = static_cast<int>(status);
      transfer->result.kind = ClassifyResult(code, *transfer);
      if (code != CURLE_OK) {
        transfer->result.error = transfer->too_large
                                     ? "the response is larger than its limit"
                                     : curl_easy_strerror(code);
      } else if (!IsComplete(code, *transfer)) {
        transfer->result.error =
            "the connection closed before the end of the "
            "response's head";
      }
      curl_multi_remove_handle(m_multi, easy);
      auto node = m_transfers.extract(transfer->id);
      m_finished.push_back(std::move(node.mapped()));
    }
    // A callback may cancel a call that is still in this queue.
    while (!m_finished.empty()) {
      const auto transfer = std::move(m_finished.front());
      m_finished.pop_front();
      if (!transfer->cancelled && transfer->on_done) {
        transfer->on_done(std::move(transfer->result));
      }
    }
  }

  asio::io_context& m_loop;
  asio::steady_timer m_timer;
  CURLM* m_multi = nullptr;
  std::unordered_map<CallId, std::unique_ptr<Transfer>> m_transfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<Socket>> m_sockets;
  std::deque<std::unique_ptr<Transfer>> m_finished;
  std::vector<CallId> m_to_start;   ///< Started from within libcurl.
  std::vector<CallId> m_to_cancel;  ///< Cancelled from within libcurl.
  CallId m_next_id = 1;
  bool m_in_curl = false;
  bool m_collection_posted = false;
  /// Handlers of the timer and posted handlers hold weak pointers to it and do
  /// nothing once it is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

HttpClient::HttpClient(asio::io_context& loop)
    : m_impl(std::make_unique<Impl>(loop)) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::Start(HttpCall call,
                                     DoneCallback on_done,
                                     DataCallback on_data) {
  return m_impl->Start(std::move(call), std::move(on_done), std::move(on_data));
}

void HttpClient::Cancel(CallId id) {
  m_impl->Cancel(id);
}

}  // namespace jasminehatch::net
