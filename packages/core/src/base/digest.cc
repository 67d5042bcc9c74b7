#include "jasminehatch/detail/base/digest.h"

namespace jasminehatch {

std::string Digest::ToHex() const {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const std::uint8_t byte : bytes) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0x0FU]);
  }
  return text;
}

}  // namespace jasminehatch
