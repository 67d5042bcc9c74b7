#ifndef JASMINEHATCH_DETAIL_HTTP_RESPONSE_WRITER_H_
#define JASMINEHATCH_DETAIL_HTTP_RESPONSE_WRITER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "jasminehatch/detail/http/http_message.h"

namespace jasminehatch::net {

/// @brief Writes the one response to a request. Calls after the end of the
/// response are ignored.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  /// Sends a whole response.
  virtual void Send(int status,
                    const HttpHeaders& headers,
                    std::string body) = 0;

  /// Starts a chunked response; its header is sent with the first chunk.
  virtual void BeginStream(int status, const HttpHeaders& headers) = 0;

  /// @brief Starts a response that announces more bytes than `Write` will send,
  /// so that after `End` the client sees a broken connection. For fault
  /// injection.
  virtual void BeginTruncatedStream(int status, const HttpHeaders& headers) = 0;

  /// Sends a part of a started stream. Parts that are written while an earlier
  /// one is being sent are sent together.
  virtual void Write(std::string chunk) = 0;

  /// Ends a started stream.
  virtual void End() = 0;

  /// @return the number of body bytes that were written here and are still
  /// buffered because the client has not received them
  virtual std::size_t UnsentBytes() const = 0;

  /// @brief Sets the function that is called once if the connection closes
  /// before the response ends.
  virtual void SetClosedCallback(std::function<void()> callback) = 0;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_HTTP_RESPONSE_WRITER_H_
