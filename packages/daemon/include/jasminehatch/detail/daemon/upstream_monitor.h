#ifndef JASMINEHATCH_DETAIL_DAEMON_UPSTREAM_MONITOR_H_
#define JASMINEHATCH_DETAIL_DAEMON_UPSTREAM_MONITOR_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"

namespace jasminehatch {
struct State;
}

namespace jasminehatch::net {
class HttpClient;
struct HttpResult;
}  // namespace jasminehatch::net

namespace jasminehatch::daemon {

class EventSink;

/// @brief Queries the load and the cache events of the engines.
class UpstreamMonitor {
 public:
  UpstreamMonitor(asio::io_context& loop,
                  const State& state,
                  EventSink& sink,
                  net::HttpClient& client,
                  std::chrono::milliseconds interval);

  void Start() { QueryUpstreams(); }

  /// Fetches the complete cache listing of an engine.
  void FetchCacheListing(UpstreamId upstream);

 private:
  void QueryUpstreams();
  void QueryLoad(UpstreamId upstream);
  void QueryEvents(UpstreamId upstream);

  const State& m_state;
  EventSink& m_sink;
  net::HttpClient& m_client;
  std::chrono::milliseconds m_interval;
  asio::steady_timer m_timer;
  /// Indexed by upstream; at most one query runs per upstream.
  std::vector<bool> m_query_pending;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_UPSTREAM_MONITOR_H_
