#ifndef JASMINEHATCH_DETAIL_STREAM_SERVER_EXCHANGE_H_
#define JASMINEHATCH_DETAIL_STREAM_SERVER_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "jasminehatch/detail/http/http_message.h"

namespace jasminehatch::net {

/// @brief One request of a caller and its response. Calls after the end of the
/// response, or after the caller has left, are ignored.
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// Sends a whole response.
  virtual void Send(int status,
                    const HttpHeaders& headers,
                    std::string_view body) = 0;

  /// Starts a chunked response and sends its head at once.
  virtual void BeginStream(int status, const HttpHeaders& headers) = 0;

  /// Sends a part of a started stream.
  virtual void Write(std::string_view data) = 0;

  /// Completes a started stream.
  virtual void End() = 0;

  /// Closes the connection, so that the caller sees an incomplete response.
  virtual void Abort() = 0;

  /// @return the number of bytes that were written here and are not sent yet
  virtual std::size_t UnsentBytes() const = 0;

  /// @brief Sets the function that is called once when the caller closes its
  /// connection before the response ends.
  virtual void SetClosedCallback(std::function<void()> callback) = 0;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_STREAM_SERVER_EXCHANGE_H_
