#include "jasminehatch/detail/http/header_characters.h"

#include <cctype>
#include <string_view>

namespace jasminehatch::net {

bool IsHeaderNameCharacter(char c) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         kPunctuation.find(c) != std::string_view::npos;
}

bool IsHeaderValueCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20U && byte != 0x7fU);
}

}  // namespace jasminehatch::net
