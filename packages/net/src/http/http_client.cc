#include "jasminehatch/detail/http/http_client.h"

#include <curl/curl.h>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http_transfer.h"
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
      curl_multi_remove_handle(m_multi, transfer->Easy());
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
    const CallId id = m_next_id++;
    auto transfer = std::make_unique<HttpTransfer>(
        id, std::move(call), std::move(on_done), std::move(on_data));
    CURL* easy = transfer->Easy();
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
        if (transfer->Id() == id) {
          transfer->Cancel();
        }
      }
      return;
    }
    if (m_in_curl) {
      // libcurl does not allow the removal of a transfer from within its
      // callbacks, and a callback must not be destroyed while it runs.
      entry->second->Cancel();
      m_to_cancel.push_back(id);
      return;
    }
    curl_multi_remove_handle(m_multi, entry->second->Easy());
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
        curl_multi_add_handle(m_multi, entry->second->Easy());
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
      HttpTransfer& transfer = HttpTransfer::Of(easy);
      transfer.SetEnd(message->data.result);
      curl_multi_remove_handle(m_multi, easy);
      auto node = m_transfers.extract(transfer.Id());
      m_finished.push_back(std::move(node.mapped()));
    }
    // A callback may cancel a call that is still in this queue.
    while (!m_finished.empty()) {
      const auto transfer = std::move(m_finished.front());
      m_finished.pop_front();
      transfer->Deliver();
    }
  }

  asio::io_context& m_loop;
  asio::steady_timer m_timer;
  CURLM* m_multi = nullptr;
  std::unordered_map<CallId, std::unique_ptr<HttpTransfer>> m_transfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<Socket>> m_sockets;
  std::deque<std::unique_ptr<HttpTransfer>> m_finished;
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
