#include "jasminehatch/detail/daemon/idempotency_key.h"

#include <charconv>
#include <chrono>
#include <cstdint>

namespace jasminehatch::daemon {
namespace {

constexpr std::size_t kMaxKeyLength = 128;
constexpr std::size_t kUuidLength = 36;
/// Unix times have ten digits until the year 2286.
constexpr std::size_t kSecondsDigits = 10;

/// A time in the year 2255. Later times plus `booking::Options::key_window`
/// could overflow the clock's 64-bit nanoseconds.
constexpr std::chrono::seconds kMaxKeyTime{9'000'000'000};

std::optional<WallTime> ToWallTime(std::chrono::milliseconds since_1970) {
  return since_1970 <= kMaxKeyTime ? std::optional(WallTime(since_1970))
                                   : std::nullopt;
}

bool IsKeyCharacter(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || c == '-' || c == '_' || c == '.' || c == ':';
}

std::optional<WallTime> ParseUuidTime(std::string_view key) {
  if (key.size() != kUuidLength || key[8] != '-' || key[13] != '-' ||
      key[14] != '7' || key[18] != '-' || key[23] != '-') {
    return std::nullopt;
  }
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  const auto first = std::from_chars(key.data(), key.data() + 8, high, 16);
  const auto second = std::from_chars(key.data() + 9, key.data() + 13, low, 16);
  if (first.ptr != key.data() + 8 || second.ptr != key.data() + 13) {
    return std::nullopt;
  }
  return ToWallTime(std::chrono::milliseconds((high << 16U) | low));
}

}  // namespace

std::optional<WallTime> ParseKeyTime(std::string_view key) {
  if (key.size() > kMaxKeyLength) {
    return std::nullopt;
  }
  for (const char c : key) {
    if (!IsKeyCharacter(c)) {
      return std::nullopt;
    }
  }
  std::int64_t seconds = 0;
  const auto [rest, error] =
      std::from_chars(key.data(), key.data() + key.size(), seconds);
  const auto digits = static_cast<std::size_t>(rest - key.data());
  if (error == std::errc{} && digits == kSecondsDigits && seconds > 0 &&
      key.size() > digits + 1 && key[digits] == '-') {
    return ToWallTime(std::chrono::seconds(seconds));
  }
  return ParseUuidTime(key);
}

}  // namespace jasminehatch::daemon
