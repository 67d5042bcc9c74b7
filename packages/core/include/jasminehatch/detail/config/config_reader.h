#ifndef JASMINEHATCH_DETAIL_CONFIG_CONFIG_READER_H_
#define JASMINEHATCH_DETAIL_CONFIG_CONFIG_READER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "jasminehatch/detail/config/config_fold.h"
#include "jasminehatch/detail/config/record.h"

namespace jasminehatch::config {

/// @brief Reads the configuration stream: folds contiguous records, and after a
/// gap loads a complete snapshot and the changes after it.
///
/// While records are missing the fold keeps its state, so the version never
/// decreases.
class ConfigReader {
 public:
  /// @brief The newest snapshot of which all parts were seen.
  struct Snapshot {
    Version covers = 0;  ///< Last offset that the snapshot contains.
    WallTime written{};
  };

  /// @brief Reply to a peer's request for records.
  struct PeerPage {
    std::vector<SnapshotPart> snapshot;  ///< Empty if the records suffice.
    Page page;
  };

  /// @brief Applies a page; records that were read before are skipped.
  /// @return whether the fold changed its version
  bool Read(const Page& page);

  /// @brief Loads a complete snapshot that a peer sent, if it is newer than the
  /// fold.
  /// @return whether the fold changed its version
  bool ReadSnapshot(std::span<const SnapshotPart> parts);

  /// @return at most `limit` records from offset `from` on, or the whole state
  /// if those records are no longer kept
  PeerPage PageFrom(Version from, std::size_t limit) const;

  const ConfigFold& Fold() const { return m_fold; }

  /// @return the offset to read next
  Version Next() const { return m_next; }

  /// @return false while records are missing and no usable snapshot was read
  bool Complete() const { return m_complete; }

  const std::optional<Snapshot>& LastSnapshot() const { return m_snapshot; }

  std::size_t HistorySize() const { return m_history.size(); }

 private:
  using PartSet = std::map<std::uint32_t, SnapshotPart>;

  void ApplyRecord(const Record& record);
  void AddPart(Version offset, const SnapshotPart& part);
  void LoadSnapshot(std::span<const SnapshotPart> parts);
  void AddToHistory(const Record& record);

  ConfigFold m_fold;
  Version m_first = 1;  ///< First offset of the contiguous records read.
  Version m_next = 1;
  bool m_complete = true;
  std::vector<Record> m_pending;  ///< Changes read while not complete.
  std::map<std::pair<Version, std::uint32_t>, PartSet> m_partial_snapshots;
  std::optional<Snapshot> m_snapshot;
  std::deque<Record> m_history;  ///< Changes for peers.
  Version m_history_from = 1;
};

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_CONFIG_READER_H_
