#ifndef JASMINEHATCH_DETAIL_DAEMON_VM_LIST_POLLER_H_
#define JASMINEHATCH_DETAIL_DAEMON_VM_LIST_POLLER_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <string>

namespace jasminehatch::net {
class HttpClient;
struct HttpResult;
}  // namespace jasminehatch::net

namespace jasminehatch::daemon {

class EventSink;

/// @brief Polls the platform's VM list and reports the VMs that are leaving.
class VmListPoller {
 public:
  VmListPoller(asio::io_context& loop,
               EventSink& sink,
               net::HttpClient& client,
               std::string url,
               std::chrono::milliseconds interval);

  /// Starts polling; has no effect without a URL.
  void Start();

 private:
  void Poll();
  void OnResponse(const net::HttpResult& result);

  EventSink& m_sink;
  net::HttpClient& m_client;
  std::string m_url;
  std::chrono::milliseconds m_interval;
  asio::steady_timer m_timer;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_VM_LIST_POLLER_H_
