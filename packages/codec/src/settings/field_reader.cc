#include "jasminehatch/detail/settings/field_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::codec {
namespace {

constexpr std::array<std::pair<std::string_view, std::int64_t>, 4> kUnits{
    {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}}};

constexpr std::array<std::pair<std::string_view, std::size_t>, 6> kByteUnits{
    {{"kB", 1000},
     {"MB", 1'000'000},
     {"GB", 1'000'000'000},
     {"KiB", 1UL << 10U},
     {"MiB", 1UL << 20U},
     {"GiB", 1UL << 30U}}};

std::string FormatRange(double low, double high) {
  std::array<char, 64> text{};
  const int length =
      std::snprintf(text.data(), text.size(), "from %g to %g", low, high);
  return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

void FieldReader::Fail(int number, std::string_view cause) const {
  throw SettingsError(number, m_document.Location(m_entry.line) + ": " +
                                  m_entry.key + " = '" + m_entry.value +
                                  "': " + std::string(cause));
}

std::string FieldReader::Text() const {
  if (m_entry.value.empty()) {
    Fail(105, "must not be empty");
  }
  return m_entry.value;
}

double FieldReader::Number(double low, double high) const {
  double value = 0;
  const char* end = m_entry.value.data() + m_entry.value.size();
  const auto [rest, error] = std::from_chars(m_entry.value.data(), end, value);
  if (error != std::errc{} || rest != end || !(value >= low && value <= high)) {
    Fail(104, "must be a number " + FormatRange(low, high));
  }
  return value;
}

std::uint64_t FieldReader::Integer(std::uint64_t low,
                                   std::uint64_t high) const {
  std::uint64_t value = 0;
  const char* end = m_entry.value.data() + m_entry.value.size();
  const auto [rest, error] = std::from_chars(m_entry.value.data(), end, value);
  if (error != std::errc{} || rest != end || value < low || value > high) {
    Fail(104, "must be a whole number from " + std::to_string(low) + " to " +
                  std::to_string(high));
  }
  return value;
}

std::chrono::milliseconds FieldReader::Duration(
    std::chrono::milliseconds low,
    std::chrono::milliseconds high) const {
  std::int64_t value = 0;
  const char* end = m_entry.value.data() + m_entry.value.size();
  const auto [rest, error] = std::from_chars(m_entry.value.data(), end, value);
  const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
  for (const auto& [name, factor] : kUnits) {
    const std::int64_t limit = high.count() / factor;
    if (error == std::errc{} && unit == name && value <= limit &&
        value * factor >= low.count()) {
      return std::chrono::milliseconds(value * factor);
    }
  }
  Fail(104, "must be a time with a unit (ms, s, min, h), from " +
                std::to_string(low.count()) + "ms to " +
                std::to_string(high.count()) + "ms");
}

std::size_t FieldReader::Bytes(std::size_t low, std::size_t high) const {
  double value = 0;
  const char* end = m_entry.value.data() + m_entry.value.size();
  const auto [rest, error] = std::from_chars(m_entry.value.data(), end, value);
  const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
  for (const auto& [name, factor] : kByteUnits) {
    const double bytes = value * static_cast<double>(factor);
    if (error == std::errc{} && unit == name &&
        bytes >= static_cast<double>(low) &&
        bytes <= static_cast<double>(high)) {
      return static_cast<std::size_t>(bytes);
    }
  }
  Fail(104, "must be a size with a unit (kB, MB, GB, KiB, MiB, GiB), from " +
                std::to_string(low) + " to " + std::to_string(high) + " bytes");
}

std::vector<std::string> FieldReader::List() const {
  std::vector<std::string> items;
  const std::string value = Text();
  std::string_view text = value;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    std::string_view item = text.substr(0, end);
    while (!item.empty() && item.front() == ' ') {
      item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ') {
      item.remove_suffix(1);
    }
    if (!item.empty()) {
      items.emplace_back(item);
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return items;
}

bool FieldReader::Flag() const {
  if (m_entry.value == "yes") {
    return true;
  }
  if (m_entry.value != "no") {
    Fail(104, "must be yes or no");
  }
  return false;
}

}  // namespace jasminehatch::codec
