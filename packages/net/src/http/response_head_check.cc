#include "jasminehatch/detail/http/response_head_check.h"

#include "jasminehatch/detail/http/header_characters.h"

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

constexpr std::string_view kInvalidName =
    "a line in the head of the response does not begin with the name of a "
    "field and a colon";

constexpr std::string_view kInvalidValue =
    "the value of a field in the head of the response has a control character";

constexpr std::string_view kBareReturn =
    "a carriage return in the head of the response does not end a line";

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
    const std::string_view fault = FeedCharacter(c);
    if (!fault.empty()) {
      return fault;
    }
  }
  return {};
}

std::string_view ResponseHeadCheck::FeedCharacter(char c) {
  if (m_after_return && c != '\n') {
    return kBareReturn;
  }
  m_after_return = c == '\r';
  switch (m_part) {
    case Part::kStatusLine:
      return FeedStatusLine(c);
    case Part::kFieldName:
      return FeedFieldName(c);
    case Part::kFieldValue:
      return FeedFieldValue(c);
    case Part::kBody:
      break;
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
    BeginLine();
  }
  return {};
}

std::string_view ResponseHeadCheck::FeedFieldName(char c) {
  if (m_position == 0 && IsLineEnd(c)) {
    if (c == '\n') {
      EndHead();
    }
    return {};
  }
  if (m_position > 0 && c == ':') {
    m_part = Part::kFieldValue;
    return {};
  }
  ++m_position;
  return IsHeaderNameCharacter(c) ? std::string_view() : kInvalidName;
}

std::string_view ResponseHeadCheck::FeedFieldValue(char c) {
  if (c == '\n') {
    BeginLine();
    return {};
  }
  return c == '\r' || IsHeaderValueCharacter(c) ? std::string_view()
                                                : kInvalidValue;
}

void ResponseHeadCheck::BeginLine() {
  m_part = Part::kFieldName;
  m_position = 0;
}

void ResponseHeadCheck::EndHead() {
  m_part = m_informational ? Part::kStatusLine : Part::kBody;
}

}  // namespace jasminehatch::net
