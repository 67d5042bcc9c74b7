#ifndef JASMINEHATCH_DETAIL_HTTP_HTTP_CLIENT_H_
#define JASMINEHATCH_DETAIL_HTTP_HTTP_CLIENT_H_

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

/// @brief A request for HttpClient.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds total_timeout{0};  ///< 0 for none.
  std::chrono::milliseconds idle_timeout{
      0};  ///< Longest time without a received byte, rounded up to whole
           ///< seconds; 0 for none.
  /// Use a new connection and close it afterwards. libcurl resends a request by
  /// itself when a reused connection breaks before the response; calls that
  /// must not run twice need a new connection.
  bool fresh_connection = false;
  /// A response with a larger head or body breaks off. The bytes that a data
  /// callback receives are not counted.
  std::size_t max_head_bytes = 64UL << 10U;
  std::size_t max_body_bytes = 16UL << 20U;
};

/// @brief How a call ended.
struct HttpResult {
  enum class Kind {
    kComplete,  ///< A complete response was received.
    kNotSent,   ///< The call failed before a byte of the request was handed to
                ///< a socket, whatever the reason.
    kBroken,    ///< The connection broke after bytes of the request were handed
                ///< to a socket, or the response is not HTTP/1 or too large.
    kTimedOut,  ///< A time limit was reached after bytes of the request were
                ///< handed to a socket.
  };

  Kind kind = Kind::kBroken;
  int status = 0;  ///< 0 when no status line was received.
  HttpHeaders headers;
  std::string body;  ///< Empty when the call has a data callback.
  std::string error;
};

/// @brief HTTP/1.1 client on an Asio loop. All calls and callbacks run on the
/// loop's thread.
class HttpClient {
 public:
  using CallId = std::uint64_t;

  /// Receives body bytes of a 2xx response as they arrive.
  using DataCallback = std::function<void(std::string_view data)>;
  using DoneCallback = std::function<void(HttpResult result)>;

  explicit HttpClient(asio::io_context& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Starts a call; `on_done` is called once unless the call is
  /// cancelled.
  CallId Start(HttpCall call, DoneCallback on_done, DataCallback on_data = {});

  /// Cancels a call; its callbacks are not called any more. Unknown ids are
  /// ignored.
  void Cancel(CallId id);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_HTTP_HTTP_CLIENT_H_
