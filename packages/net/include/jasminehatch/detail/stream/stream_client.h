#ifndef JASMINEHATCH_DETAIL_STREAM_STREAM_CLIENT_H_
#define JASMINEHATCH_DETAIL_STREAM_STREAM_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jasminehatch/detail/http/http_message.h"

namespace asio {
class io_context;
}

namespace jasminehatch::net {

/// @brief A request for StreamClient.
struct StreamCall {
  std::string address;  ///< IP address and port of the upstream, `ip:port`.
  std::string method;
  std::string target;   ///< Path and query, percent-encoded; sent unchanged.
  HttpHeaders headers;  ///< Without those that frame the body.
  std::string body;
  /// Sent instead of `body` if set, without a copy.
  std::shared_ptr<const std::string> shared_body;
  std::chrono::milliseconds total_timeout{0};  ///< From the start; 0 for none.
  bool fresh_connection = false;               ///< Use no idle connection.

  const std::string& Body() const { return shared_body ? *shared_body : body; }
};

/// @brief The head of a response.
struct StreamHead {
  int status = 0;
  HttpHeaders headers;
  bool on_new_connection = false;  ///< It was opened for the call.
};

/// @brief How a call of StreamClient ended.
struct StreamEnd {
  enum class Kind {
    kComplete,  ///< The whole response was received.
    /// No byte of the request was handed to a socket, for example because the
    /// connect failed or a time limit was reached before it succeeded.
    kNotSent,
    kBroken,     ///< The connection broke or was reset.
    kMalformed,  ///< The received bytes are not an HTTP response.
    /// `total_timeout` was reached after bytes of the request were handed to a
    /// socket.
    kTimedOut,
  };

  Kind kind = Kind::kBroken;
  bool head_received = false;
  std::string detail;
  /// The response had neither a length nor chunks and ended with its
  /// connection.
  bool ended_by_close = false;
  /// The upstream, or its host, closed or reset the connection.
  bool closed_by_peer = false;

  /// @brief Why there was no connection.
  enum class ConnectError {
    kNone,  ///< There was one, or the cause is another one.
    kRefused,
    kTimedOut,
  };
  ConnectError connect_error = ConnectError::kNone;
};

/// @brief HTTP/1.1 client for requests that are passed on to upstreams.
///
/// It never resends a request by itself. An idle connection is reused unless
/// unexpected bytes arrive on it; a connection on which the response ended
/// before the request was completely sent is closed. All calls and callbacks
/// run on the loop's thread.
class StreamClient {
 public:
  using CallId = std::uint64_t;

  struct Options {
    /// A host that is down does not answer the SYN.
    std::chrono::milliseconds connect_timeout{400};
    /// Connections that were idle for longer may have been dropped by the
    /// upstream without notice.
    std::chrono::milliseconds max_idle_time{2'000};
    /// A connection breaks when sent bytes stay unacknowledged for longer.
    std::chrono::milliseconds send_timeout{1'500};
    std::size_t max_idle_per_address = 32;
  };

  struct Callbacks {
    std::function<void(StreamHead head)> on_head;
    std::function<void(std::string_view data)> on_data;
    std::function<void(const StreamEnd& end)> on_end;
  };

  StreamClient(asio::io_context& loop, const Options& options);
  ~StreamClient();
  StreamClient(const StreamClient&) = delete;
  StreamClient& operator=(const StreamClient&) = delete;

  /// @brief Starts a call; no callback is called before it returns, and
  /// `on_end` is called once unless the call is cancelled.
  CallId Start(StreamCall call, Callbacks callbacks);

  /// Closes the connection of a call, without a callback. Unknown ids are
  /// ignored.
  void Cancel(CallId id);

  /// Closes the idle connections to an address.
  void CloseIdleConnections(const std::string& address);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_STREAM_STREAM_CLIENT_H_
