#ifndef JASMINEHATCH_DETAIL_CONFIG_STATE_H_
#define JASMINEHATCH_DETAIL_CONFIG_STATE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/random_sequence.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/config/config_reader.h"
#include "jasminehatch/detail/config/options.h"

namespace jasminehatch::config {

/// @brief A snapshot that this daemon is writing, part by part.
struct SnapshotWrite {
  std::vector<SnapshotPart> parts;
  std::size_t next = 0;
  std::optional<MonotonicTime> retry_at;
};

/// @brief An outstanding request to a peer for records.
struct Fetch {
  std::string peer;
  MonotonicTime expires{};
};

/// @brief State of the configuration reducer of one daemon process.
struct State {
  Options options;
  ConfigReader reader;
  Version applied = 0;  ///< Version in force; never decreases.
  std::optional<Version>
      invalid_version;  ///< Version accepted in the log whose configuration
                        ///< failed validation.
  std::string invalid_detail;
  bool stale = true;
  bool ready = false;            ///< Set by the readiness check; never reset.
  bool log_end_reached = false;  ///< A read has reached the end of the log.
  /// All peers of the zone were probed, so no reachable peer has an unknown
  /// offset.
  bool surveyed = false;
  bool survey_requested = false;
  std::uint64_t survey = 0;  ///< Number of the last survey requested.
  std::optional<MonotonicTime> started_at;
  std::optional<MonotonicTime> log_read_at;  ///< Last response of the log.
  std::optional<MonotonicTime> fresh_at;     ///< Last freshness proof.
  std::optional<MonotonicTime>
      complete_since;  ///< When the end of the log was first reached with no
                       ///< records missing.
  std::map<std::string, Version> peer_offsets;  ///< Last offsets read by peers.
  std::optional<Fetch> fetch;
  std::optional<SnapshotWrite> snapshot_write;
  /// When a due snapshot is written.
  std::optional<MonotonicTime> snapshot_at;
  WallTime wall_now{};  ///< Time of the last read of the log.
  RandomSequence random;

  /// @return the last offset that was read, which is shared with peers
  Version Offset() const { return reader.Fold().LastOffset(); }

  /// @return when the next `TimerFired` is due, if at all
  std::optional<MonotonicTime> NextTimer() const;
};

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_STATE_H_
