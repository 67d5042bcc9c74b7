#ifndef JASMINEHATCH_DETAIL_INI_INI_DOCUMENT_H_
#define JASMINEHATCH_DETAIL_INI_INI_DOCUMENT_H_

#include <string>
#include <string_view>
#include <vector>

namespace jasminehatch::codec {

/// @brief One `key = value` line.
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

/// @brief One section with the heading `[kind]` or `[kind name]`.
struct IniSection {
  std::string kind;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;

  /// @return the entry with this key, or null
  const IniEntry* Find(std::string_view key) const;
};

/// @brief An INI file with line numbers, in file order.
struct IniDocument {
  std::string file;  ///< Name used in messages.
  std::vector<IniSection> sections;

  /// @brief Parses INI text.
  /// @throw SettingsError 101 on a syntax error, 102 on a duplicate section or
  /// key; the message has file and line. Strong exception guarantee.
  static IniDocument Parse(std::string_view text, std::string file);

  /// @brief Reads and parses a file.
  /// @throw SettingsError 100 when the file cannot be read, and what `Parse`
  /// throws
  static IniDocument Load(const std::string& file);

  /// @return `file:line`
  std::string Location(int line) const;
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_INI_INI_DOCUMENT_H_
