#ifndef JASMINEHATCH_DETAIL_CONFIG_CONFIG_FOLD_H_
#define JASMINEHATCH_DETAIL_CONFIG_CONFIG_FOLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/config/config_change.h"
#include "jasminehatch/detail/config/snapshot_part.h"

namespace jasminehatch::config {

/// Number of records for which change ids are kept. It is a constant because
/// readers with different windows could decide differently on a late duplicate.
/// At 45,000 changes a day it covers 32 min.
inline constexpr Version kChangeIdWindow = 1024;

/// @brief The configuration that results from folding the changes in the log;
/// equal in every reader of the same records.
///
/// Of the changes that are based on the same version, the first one in log
/// order is accepted and the others are rejected.
class ConfigFold {
 public:
  enum class Result {
    kAccepted,
    kRejected,   ///< Based on another version than the current one.
    kDuplicate,  ///< The change id was seen before, or the offset is not new.
  };

  /// Applies the record at `offset`. Strong exception guarantee.
  Result Apply(Version offset, const ConfigChange& change);

  /// Advances to `offset` over records that change nothing.
  void SkipTo(Version offset);

  /// @return the result of the change with this id, or nothing if it was not
  /// seen within the window
  std::optional<Result> OutcomeOf(const std::string& change_id) const;

  /// @return the version of the last accepted change
  Version CurrentVersion() const { return m_version; }

  /// @return the offset of the last record that was folded or skipped
  Version LastOffset() const { return m_last_offset; }

  const std::map<EntryId, Fields>& Entries() const { return m_entries; }

  /// @return the whole state as one or more parts
  std::vector<SnapshotPart> ToParts(WallTime written) const;

  /// @param parts a complete set, in any order
  /// @return the fold that the parts describe
  static ConfigFold FromParts(std::span<const SnapshotPart> parts);

 private:
  struct Outcome {
    Version offset = 0;
    Result result = Result::kRejected;
  };

  void Remember(Version offset, const std::string& change_id, Result result);

  std::map<EntryId, Fields> m_entries;
  std::map<std::string, Outcome> m_outcomes;
  std::deque<std::pair<Version, std::string>> m_ids_by_offset;
  Version m_version = 0;
  Version m_last_offset = 0;
};

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_CONFIG_FOLD_H_
