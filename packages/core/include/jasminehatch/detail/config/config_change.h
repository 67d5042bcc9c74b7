#ifndef JASMINEHATCH_DETAIL_CONFIG_CONFIG_CHANGE_H_
#define JASMINEHATCH_DETAIL_CONFIG_CONFIG_CHANGE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminehatch::config {

/// Log offset of an accepted change; 0 before the first one. Log offsets start
/// at 1. Also the type of other offsets of the configuration stream.
using Version = std::uint64_t;

/// @brief Identity of one entry, for example kind `upstream` and name `w1`.
struct EntryId {
  std::string kind;
  std::string name;

  friend auto operator<=>(const EntryId&, const EntryId&) = default;
};

using Fields = std::map<std::string, std::string>;

/// @brief A change of the configuration, as published in the log.
struct ConfigChange {
  /// @brief Replaces the fields of one entry, or removes it if `fields` is
  /// not set.
  struct Update {
    EntryId id;
    std::optional<Fields> fields;
  };

  std::string change_id;  ///< Unique; a second record with the same id is a
                          ///< repeated append.
  Version base = 0;       ///< Version that the change is based on.
  std::string author;
  std::vector<Update> updates;
};

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_CONFIG_CHANGE_H_
