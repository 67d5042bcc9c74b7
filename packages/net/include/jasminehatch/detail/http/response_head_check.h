#ifndef JASMINEHATCH_DETAIL_HTTP_RESPONSE_HEAD_CHECK_H_
#define JASMINEHATCH_DETAIL_HTTP_RESPONSE_HEAD_CHECK_H_

#include <cstddef>
#include <string_view>

namespace jasminehatch::net {

/// @brief Checks the head of a response while it is received.
///
/// http_parser and libcurl accept heads that are not HTTP/1.1: a status of any
/// value and number of digits. Such a response must not reach a caller.
class ResponseHeadCheck {
 public:
  /// Prepares for the next response.
  void Reset() { *this = {}; }

  /// @brief Checks received bytes up to the end of the head, with the heads of
  /// informational responses before it; ignores the bytes after it.
  /// @return the first fault, or an empty view
  std::string_view Feed(std::string_view data);

  /// @return whether the whole head of a final response was received
  bool IsComplete() const { return m_part == Part::kBody; }

 private:
  enum class Part { kStatusLine, kFields, kBody };

  std::string_view FeedStatusLine(char c);
  void FeedFields(char c);

  Part m_part = Part::kStatusLine;
  std::size_t m_position = 0;  ///< Within the current line.
  bool m_informational = false;
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_HTTP_RESPONSE_HEAD_CHECK_H_
