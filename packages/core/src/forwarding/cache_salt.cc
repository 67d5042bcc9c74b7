#include "jasminehatch/detail/forwarding/cache_salt.h"

#include <charconv>
#include <system_error>

namespace jasminehatch::forwarding {
namespace {

/// Removes a number and the character after it from the front of `text`.
/// @return the number, or nothing if `text` does not begin so
template <typename Number>
std::optional<Number> TakeNumber(std::string_view& text, char terminator) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr == end ||
      *parsed.ptr != terminator) {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<std::size_t>(parsed.ptr + 1 - text.data()));
  return number;
}

}  // namespace

std::string CacheSalt::ToString() const {
  // The length of the model separates it from what follows.
  return std::to_string(version) + "/" + std::to_string(model.size()) + ":" +
         model + "/" + scope;
}

std::optional<CacheSalt> CacheSalt::Parse(std::string_view text) {
  const auto version = TakeNumber<std::uint64_t>(text, '/');
  if (!version) {
    return std::nullopt;
  }
  const auto model_size = TakeNumber<std::size_t>(text, ':');
  if (!model_size || *model_size >= text.size() || text[*model_size] != '/') {
    return std::nullopt;
  }
  return CacheSalt{std::string(text.substr(0, *model_size)), *version,
                   std::string(text.substr(*model_size + 1))};
}

}  // namespace jasminehatch::forwarding
