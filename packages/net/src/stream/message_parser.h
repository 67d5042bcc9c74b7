#ifndef JASMINEHATCH_STREAM_MESSAGE_PARSER_H_
#define JASMINEHATCH_STREAM_MESSAGE_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "jasminehatch/detail/http/http_message.h"
#include "jasminehatch/detail/http/response_head_check.h"

namespace jasminehatch::net {

/// @brief Parses the HTTP/1.1 messages of one connection, one at a time.
class MessageParser {
 public:
  /// @brief Result of one call of `Feed`.
  struct Progress {
    std::size_t consumed = 0;
    std::string error;  ///< Empty unless the bytes are not a valid message.
  };

  explicit MessageParser(http_parser_type type);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Prepares for the next message.
  void Reset();

  /// @brief Parses bytes up to the end of the message. A message with more than
  /// 256 header lines is invalid.
  Progress Feed(std::string_view data);

  /// Tells the parser that the connection ended.
  /// @return whether the message is complete
  bool FeedEof();

  bool IsHeadComplete() const { return m_head_complete; }
  bool IsMessageComplete() const { return m_message_complete; }
  bool ShouldKeepAlive() const { return m_keep_alive; }
  bool IsChunked() const { return m_chunked; }
  bool IsHttp11() const {
    return m_parser.http_major == 1 && m_parser.http_minor == 1;
  }
  int Status() const { return static_cast<int>(m_parser.status_code); }
  std::string_view Method() const {
    return http_method_str(static_cast<http_method>(m_parser.method));
  }
  std::string& Target() { return m_target; }
  HttpHeaders& Headers() { return m_headers; }
  std::size_t HeadBytes() const { return m_head_bytes; }
  /// @return the length of the body that the head announces, in bytes; 0 if it
  /// announces none
  std::uint64_t AnnouncedLength() const {
    return (m_parser.flags & F_CONTENTLENGTH) != 0 ? m_announced_length : 0;
  }
  /// @return an estimate of the memory of the head, in bytes. The buffers of
  /// its texts take up to twice their size.
  std::size_t MemoryBytes() const {
    return m_target.capacity() + 2 * m_head_bytes +
           m_headers.capacity() * sizeof(HttpHeader);
  }

  /// Expects no body, as in the response to a HEAD request, whose head
  /// describes a body that does not follow.
  void ExpectNoBody() { m_no_body = true; }

  std::function<void()> on_head;
  std::function<void(std::string_view)> on_body;
  /// Called with the size that a chunk announces, before its bytes.
  std::function<void(std::uint64_t)> on_chunk;

 private:
  static http_parser_settings Settings();

  http_parser m_parser{};
  http_parser_type m_type;
  ResponseHeadCheck m_head_check;  ///< Not used for requests.
  std::string m_target;
  HttpHeaders m_headers;
  /// Bytes of the target and of the names and values of headers and trailers,
  /// without separators.
  std::size_t m_head_bytes = 0;
  std::uint64_t m_announced_length = 0;
  bool m_in_value = false;
  bool m_head_complete = false;
  bool m_message_complete = false;
  bool m_keep_alive = false;
  bool m_chunked = false;
  bool m_no_body = false;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_STREAM_MESSAGE_PARSER_H_
