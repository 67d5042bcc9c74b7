#include "message_text.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "jasminehatch/detail/http/header_characters.h"

namespace jasminehatch::net {

std::string FormatStatusLine(int status) {
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  line += http_status_str(static_cast<http_status>(status));
  line += "\r\n";
  return line;
}

void AppendHeader(std::string& text, const HttpHeader& header) {
  text += header.name;
  text += ": ";
  text += header.value;
  text += "\r\n";
}

void AppendChunk(std::string& text, std::string_view data) {
  std::array<char, 20> size{};
  const auto end =
      std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
  text.append(size.data(), end.ptr);
  text += "\r\n";
  text += data;
  text += "\r\n";
}

bool IsValidHeader(const HttpHeader& header) {
  return !header.name.empty() &&
         std::all_of(header.name.begin(), header.name.end(),
                     IsHeaderNameCharacter) &&
         std::all_of(header.value.begin(), header.value.end(),
                     IsHeaderValueCharacter);
}

bool IsValidTarget(std::string_view target) {
  return !target.empty() && target.front() == '/' &&
         std::all_of(target.begin(), target.end(), [](unsigned char c) {
           return c > 0x20U && c != 0x7fU && c != '#';
         });
}

}  // namespace jasminehatch::net
