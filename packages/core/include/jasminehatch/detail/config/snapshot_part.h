#ifndef JASMINEHATCH_DETAIL_CONFIG_SNAPSHOT_PART_H_
#define JASMINEHATCH_DETAIL_CONFIG_SNAPSHOT_PART_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/config/config_change.h"

namespace jasminehatch::config {

/// Number of entries in one part: about 64 KB at 250 bytes an entry. Equal in
/// all daemons, so that parts of different writers form one snapshot.
inline constexpr std::size_t kSnapshotPartEntries = 256;

/// @brief Whether the change with an id was accepted.
struct ChangeOutcome {
  std::string change_id;
  Version offset = 0;
  bool accepted = false;
};

/// @brief One part of the whole state after the record at `covers`.
///
/// The parts depend only on the records up to `covers`, so parts with equal
/// `covers` and `count` are interchangeable, whichever daemon wrote them.
/// Changes after `covers` are not included, at whatever offset the parts are.
struct SnapshotPart {
  Version version = 0;  ///< Current version after `covers`.
  Version covers = 0;   ///< Last offset that is included.
  std::uint32_t part = 0;
  std::uint32_t count = 1;
  WallTime written{};  ///< When the write began; not part of the identity.
  std::vector<std::pair<EntryId, Fields>> entries;
  std::vector<ChangeOutcome> outcomes;
};

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_SNAPSHOT_PART_H_
