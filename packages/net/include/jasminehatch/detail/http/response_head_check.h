#ifndef JASMINEHATCH_DETAIL_HTTP_RESPONSE_HEAD_CHECK_H_
#define JASMINEHATCH_DETAIL_HTTP_RESPONSE_HEAD_CHECK_H_

#include <cstddef>
#include <string_view>

namespace jasminehatch::net {

/// @brief Checks the head of a response while it is received.
///
/// http_parser and libcurl accept heads that are not HTTP/1.1: a status of any
/// value and number of digits, names of fields with blanks or control
/// characters, folded lines. Such a response must not reach a caller: another
/// parser may read other fields in it, and so another body.
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
  enum class Part { kStatusLine, kFieldName, kFieldValue, kBody };

  /// These return the fault of a character, or an empty view.
  std::string_view FeedCharacter(char c);
  std::string_view FeedStatusLine(char c);
  std::string_view FeedFieldName(char c);
  std::string_view FeedFieldValue(char c);

  /// Begins a line after the status line.
  void BeginLine();
  /// Continues with the next head if this one is informational.
  void EndHead();

  Part m_part = Part::kStatusLine;
  std::size_t m_position = 0;    ///< Within the current line, without its end.
  bool m_after_return = false;   ///< The last character is a carriage return.
  bool m_informational = false;  ///< The status is 1xx.
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_HTTP_RESPONSE_HEAD_CHECK_H_
