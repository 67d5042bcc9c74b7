#ifndef JASMINEHATCH_DETAIL_FORWARDER_GOSSIP_PEERS_H_
#define JASMINEHATCH_DETAIL_FORWARDER_GOSSIP_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "jasminehatch/detail/forwarder/gossip_peer.h"
#include "jasminehatch/detail/relay/reader_ranking.h"

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::daemon {

/// @brief The other daemons: which of them are live, and which get the next
/// messages.
class GossipPeers {
 public:
  /// @param daemon name of this daemon, which is none of its peers
  /// @param zone availability zone of this daemon
  GossipPeers(const Clock& clock, std::string daemon, std::string zone);

  /// Records an address of a daemon, from the store or from a message; ignored
  /// if it is not valid, or of an earlier incarnation of a daemon that is
  /// heard.
  void AddOrUpdate(const std::string& name,
                   const std::string& address,
                   const std::string& zone,
                   std::uint64_t incarnation);

  /// @return the peer, or null if it is not known
  GossipPeer* Find(const std::string& name);

  /// @return all known peers
  std::vector<const GossipPeer*> All() const;

  /// @return the number of live peers
  std::size_t LiveCount() const;

  /// @return the number of live peers whose name sorts before this daemon's
  std::size_t Rank() const;

  /// @return the live peers of this daemon's zone that relay feeds
  std::vector<relay::ReaderCandidate> LiveInZone() const;

  /// @return the number of daemons of this daemon's zone, with itself, that
  /// relay feeds and were heard of within the last minute
  std::size_t RecentDaemonsInZone() const;

  /// @return the number of zones with a known daemon whose name sorts before
  /// this daemon's zone
  std::size_t ZoneIndex() const;

  /// @brief The recipients of the next messages.
  struct Recipients {
    /// Receive this daemon's own load.
    std::vector<const GossipPeer*> own_load_peers;
    /// Receive the load of the whole zone.
    std::vector<const GossipPeer*> zone_load_peers;
    /// Number of peers that may be chosen for this daemon's own load.
    std::size_t own_load_candidates = 0;
    /// Number of peers seen recently, including dead ones.
    std::size_t recent = 0;
  };

  /// Chooses the recipients of the next messages; in a large fleet, they are a
  /// new random sample each time.
  Recipients ChooseRecipients();

 private:
  const Clock& m_clock;
  std::string m_daemon;
  std::string m_zone;
  std::map<std::string, GossipPeer> m_peers;
  std::uint64_t m_round = 0;
  std::mt19937_64 m_random{std::random_device{}()};
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_GOSSIP_PEERS_H_
