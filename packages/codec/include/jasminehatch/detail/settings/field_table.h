#ifndef JASMINEHATCH_DETAIL_SETTINGS_FIELD_TABLE_H_
#define JASMINEHATCH_DETAIL_SETTINGS_FIELD_TABLE_H_

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/ini/ini_document.h"
#include "jasminehatch/detail/settings/field_reader.h"

namespace jasminehatch::codec {

/// @brief One key of a section: how its value is read into a member of
/// `Target`, and its documentation.
template <typename Target>
struct Field {
  std::string_view key;
  void (*read)(const FieldReader& reader, Target& target);
  bool required = false;
  std::string_view
      default_text;  ///< Default with its unit, for the documentation.
  std::string_view description;
};

/// @brief Reads all entries of a section through a table of fields.
/// @throw SettingsError 103 on an unknown key, 106 on a missing required key,
/// and what the readers throw; the message has the location and the allowed
/// keys
template <typename Target>
void ReadSection(const IniDocument& document,
                 const IniSection& section,
                 std::span<const Field<Target>> fields,
                 Target& target) {
  for (const IniEntry& entry : section.entries) {
    const auto field = std::find_if(
        fields.begin(), fields.end(),
        [&](const Field<Target>& f) { return f.key == entry.key; });
    if (field == fields.end()) {
      std::string allowed;
      for (const Field<Target>& known : fields) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(known.key);
      }
      throw SettingsError(103, document.Location(entry.line) +
                                   ": unknown key '" + entry.key + "' in [" +
                                   section.kind + "]; allowed: " + allowed);
    }
    field->read(FieldReader(document, entry), target);
  }
  for (const Field<Target>& field : fields) {
    if (field.required && section.Find(field.key) == nullptr) {
      throw SettingsError(106, document.Location(section.line) + ": [" +
                                   section.kind + "] needs the key '" +
                                   std::string(field.key) + "'");
    }
  }
}

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_SETTINGS_FIELD_TABLE_H_
