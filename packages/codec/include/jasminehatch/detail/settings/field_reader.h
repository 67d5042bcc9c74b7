#ifndef JASMINEHATCH_DETAIL_SETTINGS_FIELD_READER_H_
#define JASMINEHATCH_DETAIL_SETTINGS_FIELD_READER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/ini/ini_document.h"

namespace jasminehatch::codec {

/// @brief Converts the value of one INI entry; errors name file, line, key and
/// what is allowed.
class FieldReader {
 public:
  FieldReader(const IniDocument& document, const IniEntry& entry)
      : m_document(document), m_entry(entry) {}

  bool IsEmpty() const { return m_entry.value.empty(); }

  /// @throw SettingsError 105 when the value is empty
  std::string Text() const;

  /// @throw SettingsError 104 when the value is not a number from `low` to
  /// `high`
  double Number(double low, double high) const;

  /// @throw SettingsError 104 when the value is not an integer from `low` to
  /// `high`
  std::uint64_t Integer(std::uint64_t low, std::uint64_t high) const;

  /// @brief Reads a duration with a unit: `ms`, `s`, `min` or `h`.
  /// @throw SettingsError 104 when the unit is missing or unknown or the value
  /// is out of range
  std::chrono::milliseconds Duration(std::chrono::milliseconds low,
                                     std::chrono::milliseconds high) const;

  /// @brief Reads an amount of memory with a unit: `kB`, `MB` or `GB` (powers
  /// of 1000), `KiB`, `MiB` or `GiB`.
  /// @return bytes
  /// @throw SettingsError 104 when the unit is missing or unknown or the value
  /// is out of range
  std::size_t Bytes(std::size_t low, std::size_t high) const;

  /// @throw SettingsError 104 unless the value is `yes` or `no`
  bool Flag() const;

  /// @return the items of a list separated by commas, without the spaces around
  /// them; empty items are left out
  /// @throw SettingsError 105 when the value is empty
  std::vector<std::string> List() const;

  /// @throw SettingsError with this number, the location, the key and `cause`
  [[noreturn]] void Fail(int number, std::string_view cause) const;

 private:
  const IniDocument& m_document;
  const IniEntry& m_entry;
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_SETTINGS_FIELD_READER_H_
