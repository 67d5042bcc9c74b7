#ifndef JASMINEHATCH_DETAIL_JSON_READ_INTEGER_H_
#define JASMINEHATCH_DETAIL_JSON_READ_INTEGER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace jasminehatch::codec {

/// @brief Reads an integer that fits its type.
///
/// `get` converts fractions and large numbers as a cast does, which is
/// undefined outside the range of the type.
/// @throw nlohmann::json::type_error 302 for anything else
template <typename Number>
Number ReadInteger(const nlohmann::json& value) {
  if (value.is_number_unsigned() &&
      std::in_range<Number>(value.get<std::uint64_t>())) {
    return static_cast<Number>(value.get<std::uint64_t>());
  }
  if (value.is_number_integer() && !value.is_number_unsigned() &&
      std::in_range<Number>(value.get<std::int64_t>())) {
    return static_cast<Number>(value.get<std::int64_t>());
  }
  throw nlohmann::json::type_error::create(
      302, "must be a whole number in range", &value);
}

/// @return the member of an object, or 0 when there is none
template <typename Number>
Number ReadIntegerOrZero(const nlohmann::json& object, const char* key) {
  const auto member = object.find(key);
  return member == object.end() ? Number{0} : ReadInteger<Number>(*member);
}

/// Latest time that nanoseconds since 1970 can hold, with a margin, in seconds.
inline constexpr std::int64_t kMaxSeconds = 9'000'000'000;

/// Latest time as `kMaxSeconds`, in milliseconds.
inline constexpr std::int64_t kMaxMilliseconds = kMaxSeconds * 1000;

/// @return a whole number from 0 to `max`
/// @throw nlohmann::json::type_error 302 for anything else
inline std::int64_t ReadTime(const nlohmann::json& value, std::int64_t max) {
  const auto time = ReadInteger<std::int64_t>(value);
  if (time < 0 || time > max) {
    throw nlohmann::json::type_error::create(302, "must be a time in range",
                                             &value);
  }
  return time;
}

/// @return a time or a time span in seconds that fits the clocks' nanoseconds
/// @throw nlohmann::json::type_error 302 for anything else
inline std::int64_t ReadSeconds(const nlohmann::json& value) {
  return ReadTime(value, kMaxSeconds);
}

/// @return a time or a time span in milliseconds that fits the clocks'
/// nanoseconds
/// @throw nlohmann::json::type_error 302 for anything else
inline std::uint64_t ReadMilliseconds(const nlohmann::json& value) {
  return static_cast<std::uint64_t>(ReadTime(value, kMaxMilliseconds));
}

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_READ_INTEGER_H_
