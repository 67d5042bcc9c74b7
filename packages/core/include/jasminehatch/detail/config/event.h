#ifndef JASMINEHATCH_DETAIL_CONFIG_EVENT_H_
#define JASMINEHATCH_DETAIL_CONFIG_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/config/record.h"

namespace jasminehatch::config {

/// The process has started.
struct Started {
  std::uint64_t random = 0;  ///< Seed for the random delay of snapshots.
  bool has_peers = false;
};

/// The log responded to a read.
struct LogRead {
  Page page;
  bool end_reached = false;  ///< The log had no later record.
  WallTime wall_now{};
};

/// A peer replied to a request for records.
struct PeerPageReceived {
  std::string peer;
  std::vector<SnapshotPart> snapshot;
  Page page;
};

/// A peer did not reply to a request for records.
struct PeerFetchFailed {
  std::string peer;
};

/// A membership message contained the last offset that a peer has read.
struct PeerOffsetReceived {
  std::string peer;
  Version offset = 0;
};

/// The process of a peer left, was declared dead or was replaced by one of a
/// higher incarnation; no records are requested from it.
struct ProcessGone {
  std::string peer;
};

/// Every peer of the zone replied to a probe or is unreachable.
struct PeersSurveyed {
  std::uint64_t survey = 0;  ///< Number from `SurveyPeers`.
};

/// The configuration of `version` is in force, or was found invalid.
struct ApplyEnded {
  Version version = 0;
  bool valid = false;
  std::string detail;
};

/// The append of a snapshot part ended; a lost response counts as not appended.
struct PartAppended {
  Version covers = 0;
  std::uint32_t part = 0;
  bool appended = false;
};

/// The time returned by `State::NextTimer` was reached.
struct TimerFired {};

using Event = std::variant<Started,
                           LogRead,
                           PeerPageReceived,
                           PeerFetchFailed,
                           PeerOffsetReceived,
                           ProcessGone,
                           PeersSurveyed,
                           ApplyEnded,
                           PartAppended,
                           TimerFired>;

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_EVENT_H_
