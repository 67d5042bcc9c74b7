#ifndef JASMINEHATCH_DETAIL_FORWARDING_PEER_CONFIGURATIONS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PEER_CONFIGURATIONS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Which versions of the configuration the other daemons have.
///
/// The platform's store may have come back from an older copy, so what a daemon
/// reads at its start may lack a revocation that its peers have read. It
/// therefore hears some of them before it trusts the store. Versions are
/// remembered for a short time only: operators write again what a restored
/// store lost, and a daemon whose peers are gone must not wait for them.
class PeerConfigurations {
 public:
  /// Number of peers to hear before the first configuration is trusted, if so
  /// many are listed. One peer may itself have started a moment ago.
  static constexpr std::size_t kEnoughPeers = 3;

  /// Maximum time that a daemon waits for its peers: listed ones may be gone.
  static constexpr std::chrono::milliseconds kMaxWait{1000};

  /// Time after a message for which the version that it names counts.
  static constexpr std::chrono::seconds kVersionLifetime{10};

  /// Makes the daemon wait for its peers.
  void Expect() { m_expected = true; }

  /// Records the number of other daemons in the list of addresses.
  void OnListed(std::size_t count) {
    // A restored store may list fewer.
    m_listed = std::max(m_listed.value_or(0), count);
  }

  /// Records a message of a peer.
  /// @param version of the peer's configuration; 0 if it has none
  void OnHeard(const std::string& peer,
               std::uint64_t version,
               MonotonicTime now);

  /// Records that this daemon has read its configuration.
  void OnRead(MonotonicTime now) { m_read_at = m_read_at.value_or(now); }

  /// @return whether the configuration that was read must not be trusted yet
  bool IsWaiting(MonotonicTime now) const;

  /// @return whether a peer was heard lately that has a version newer than
  /// `version`
  bool HasNewerThan(std::uint64_t version, MonotonicTime now) const {
    return version < m_newest && now - m_newest_heard_at <= kVersionLifetime;
  }

  /// @return the highest version that was heard; 0 for none
  std::uint64_t NewestVersion() const { return m_newest; }

 private:
  bool m_expected = false;
  std::optional<std::size_t> m_listed;  ///< Nothing until the list was read.
  std::optional<MonotonicTime> m_read_at;
  /// Peers with a configuration; at most `kEnoughPeers`.
  std::set<std::string> m_heard;
  std::uint64_t m_newest = 0;
  MonotonicTime m_newest_heard_at{};
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PEER_CONFIGURATIONS_H_
