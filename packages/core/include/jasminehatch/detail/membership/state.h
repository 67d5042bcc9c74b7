#ifndef JASMINEHATCH_DETAIL_MEMBERSHIP_STATE_H_
#define JASMINEHATCH_DETAIL_MEMBERSHIP_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/random_sequence.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/membership/message.h"
#include "jasminehatch/detail/membership/options.h"

namespace jasminehatch::membership {

/// @brief What this daemon knows of another daemon.
struct Peer {
  std::uint64_t incarnation = 0;
  /// From the last applied update, like `status`; see `MemberUpdate`.
  std::uint32_t refutation_count = 0;
  /// `kUnheard` until the first update about the peer is received.
  Status status = Status::kUnheard;
  /// When the last update was applied; the start of a suspicion's time-out.
  MonotonicTime status_since{};
  /// Number of further messages that may contain the last update.
  std::uint32_t sends_left = 0;
};

/// @brief Gossip state of a leaving upstream.
struct LeavingUpstream {
  MonotonicTime reported_at{};
  std::uint32_t sends_left = 0;
};

/// @brief Gossip state of a quarantined request.
struct QuarantineEntry {
  MonotonicTime expires{};
  std::uint32_t sends_left = 0;
};

/// @brief State of the membership reducer of one daemon process.
struct State {
  Options options;
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint32_t refutation_count = 0;
  bool stopping = false;
  std::uint64_t config_offset = 0;  ///< Copied from the configuration state.
  std::map<std::string, Peer> peers;
  std::set<std::string> probing;  ///< Peers with an outstanding probe.
  /// Peers that the survey in progress still waits for. A survey probes every
  /// peer at once and ends when each has replied or failed; see
  /// `SurveyRequested`.
  std::set<std::string> survey_pending;
  std::optional<std::uint64_t> survey;  ///< Number of the survey in progress.
  std::map<std::string, LeavingUpstream> leaving_upstreams;
  std::map<Fingerprint, QuarantineEntry> quarantined_requests;
  /// When the next probe interval begins; empty before the first one.
  std::optional<MonotonicTime> probe_at;
  RandomSequence random;

  /// @return when the next `TimerFired` is due, if at all
  std::optional<MonotonicTime> NextTimer() const;
};

}  // namespace jasminehatch::membership

#endif  // JASMINEHATCH_DETAIL_MEMBERSHIP_STATE_H_
