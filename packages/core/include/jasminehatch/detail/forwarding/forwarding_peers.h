#ifndef JASMINEHATCH_DETAIL_FORWARDING_FORWARDING_PEERS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_FORWARDING_PEERS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief The other daemons that accept forwarded requests, and how many
/// requests of this daemon each of them has.
class ForwardingPeers {
 public:
  /// Time for which a daemon counts as reachable after its latest message. In a
  /// large fleet, daemons exchange messages with a sample of the others.
  static constexpr std::chrono::seconds kMaxSilence{6};

  /// A daemon of another zone gets a request only if the others have so many
  /// more in flight, since traffic between zones is expensive.
  static constexpr std::uint32_t kOtherZonePenalty = 8;

  /// A failing daemon has the fewest requests, and would be chosen again.
  static constexpr std::chrono::milliseconds kFailurePause{500};

  /// Records a message of a daemon.
  /// @param address where it accepts forwarded requests; empty if it does not,
  /// or if it reaches no upstream itself
  void OnHeard(const std::string& daemon,
               const std::string& zone,
               const std::string& address,
               MonotonicTime now);

  /// @param tried names of daemons that are not chosen
  /// @param random decides between daemons with as many requests
  /// @return the name of the daemon with the fewest requests, or null
  const std::string* Choose(std::string_view own_zone,
                            const std::vector<std::string>& tried,
                            std::uint64_t random,
                            MonotonicTime now) const;

  const std::string& AddressOf(const std::string& daemon) const {
    return m_peers.at(daemon).address;
  }

  void OnAttemptStarted(const std::string& daemon) {
    ++m_peers[daemon].in_flight;
  }
  void OnAttemptEnded(const std::string& daemon);

  /// Records that a daemon could not be reached, or refused a request; for
  /// `kFailurePause`, others are preferred.
  void OnFailed(const std::string& daemon, MonotonicTime now);

 private:
  struct Peer {
    std::string zone;
    std::string address;
    MonotonicTime heard_at{};
    std::uint32_t in_flight = 0;
    MonotonicTime paused_until{};
  };

  std::map<std::string, Peer> m_peers;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_FORWARDING_PEERS_H_
