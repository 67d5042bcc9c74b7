#ifndef JASMINEHATCH_DETAIL_DAEMON_LOG_CLIENT_H_
#define JASMINEHATCH_DETAIL_DAEMON_LOG_CLIENT_H_

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/booking/event.h"
#include "jasminehatch/detail/http/http_client.h"
#include "jasminehatch/detail/json/log_record.h"

namespace jasminehatch::daemon {

/// @brief Appends records to a stream of the log service.
class LogAppender {
 public:
  using Callback =
      std::function<void(booking::AppendResult result, std::uint64_t offset)>;

  LogAppender(net::HttpClient& client,
              std::string log_url,
              std::chrono::milliseconds timeout)
      : m_client(client), m_log_url(std::move(log_url)), m_timeout(timeout) {}

  /// Appends once. When the response is lost, the result is unknown; there is
  /// no retry.
  void Append(std::string_view stream, std::string record, Callback callback);

 private:
  net::HttpClient& m_client;
  std::string m_log_url;
  std::chrono::milliseconds m_timeout;
};

/// @brief Follows a stream of the log service from its oldest record by long
/// polling.
class LogFollower {
 public:
  using Callback = std::function<void(const codec::LogPage& page)>;

  LogFollower(asio::io_context& loop,
              net::HttpClient& client,
              std::string log_url,
              std::string stream,
              Callback callback);
  ~LogFollower();
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  void Start();

  /// @return whether the last read reached the end of the stream
  bool IsCaughtUp() const { return m_caught_up; }

  std::uint64_t NextOffset() const { return m_next_offset; }

  /// @return the offset that the last read requested
  std::uint64_t RequestedOffset() const { return m_requested_offset; }

  /// Continues at `offset` if it is later than the next offset; used when a
  /// peer has sent the records before it.
  void SkipTo(std::uint64_t offset) {
    m_next_offset = std::max(m_next_offset, offset);
  }

 private:
  void Read();
  void OnPage(const net::HttpResult& result);
  void ScheduleRetry();

  net::HttpClient& m_client;
  std::string m_log_url;
  std::string m_stream;
  Callback m_callback;
  asio::steady_timer m_timer;
  std::uint64_t m_next_offset = 1;
  std::uint64_t m_requested_offset = 1;
  net::HttpClient::CallId m_call_id = 0;
  bool m_caught_up = false;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_LOG_CLIENT_H_
