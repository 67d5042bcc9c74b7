#include "jasminehatch/detail/http/response_head_check.h"

namespace jasminehatch::net {
namespace {

/// Start of a status line. `d` stands for a digit and `c` for the first digit
/// of a status.
constexpr std::string_view kStatusLineStart = "HTTP/1.d cdd";

/// Position of the first digit of the status.
constexpr std::size_t kStatusPosition = kStatusLineStart.find('c');

constexpr std::string_view kInvalidStatusLine =
    "the response does not begin with the version HTTP/1 and a status from "
    "100 to 599";

bool IsLineEnd(char c) {
  return c == '\r' || c == '\n';
}

/// @param pattern a character of `kStatusLineStart`
bool Matches(char pattern, char c) {
  switch (pattern) {
    case 'd':
      return c >= '0' && c <= '9';
    case 'c':
      return c >= '1' && c <= '5';
    default:
      return c == pattern;
  }
}

}  // namespace

std::string_view ResponseHeadCheck::Feed(std::string_view data) {
  for (const char c : data) {
    if (m_part == Part::kBody) {
      break;
    }
    if (m_part == Part::kFields) {
      FeedFields(c);
      continue;
    }
    const std::string_view fault = FeedStatusLine(c);
    if (!fault.empty()) {
      return fault;
    }
  }
  return {};
}

std::string_view ResponseHeadCheck::FeedStatusLine(char c) {
  if (m_position == 0 && IsLineEnd(c)) {
    return {};  // Empty lines before a response are skipped.
  }
  if (m_position < kStatusLineStart.size()) {
    if (!Matches(kStatusLineStart[m_position], c)) {
      return kInvalidStatusLine;
    }
    if (m_position == kStatusPosition) {
      m_informational = c == '1';
    }
  } else if (m_position == kStatusLineStart.size() && c != ' ' &&
             !IsLineEnd(c)) {
    return kInvalidStatusLine;
  }
  ++m_position;
  if (c == '\n') {
    m_part = Part::kFields;
    m_position = 0;
  }
  return {};
}

void ResponseHeadCheck::FeedFields(char c) {
  if (c == '\r') {
    return;
  }
  if (c != '\n') {
    ++m_position;
    return;
  }
  const bool is_head_end = m_position == 0;
  m_position = 0;
  if (is_head_end) {
    m_part = m_informational ? Part::kStatusLine : Part::kBody;
  }
}

}  // namespace jasminehatch::net
