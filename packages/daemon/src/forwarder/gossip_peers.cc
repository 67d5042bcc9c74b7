#include "jasminehatch/detail/forwarder/gossip_peers.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/net.h"

namespace jasminehatch::daemon {
namespace {

using asio::ip::udp;
using std::chrono::milliseconds;

/// Maximum number of recipients of a message. In a larger fleet they are a new
/// random sample of the daemons in the same zone each time.
constexpr std::size_t kMaxRecipients = 8;

/// In a larger fleet, one round in this many also sends the load of the whole
/// zone to a daemon of another zone. Traffic between zones is expensive.
constexpr std::uint64_t kRoundsPerOtherZoneMessage = 2;

/// A daemon that was not heard of for this long gets no messages. Until then
/// it gets them even if it is no longer considered live.
constexpr milliseconds kPeerTimeout{6000};

/// A daemon that sent a message within this time is considered live, unless it
/// is stopping: it counts in `LiveCount` and `Rank`. Its incarnation cannot
/// decrease.
constexpr milliseconds kLivenessTimeout{2000};

/// The fleet's allowance of retries is divided by the number of daemons that
/// were heard of within this time, because each may have used its part of it.
constexpr std::chrono::seconds kRecentPeerAge{60};

}  // namespace

bool GossipPeer::IsHeard(MonotonicTime now) const {
  return message_received && now - last_seen_at <= kLivenessTimeout;
}

GossipPeers::GossipPeers(const Clock& clock,
                         std::string daemon,
                         std::string zone)
    : m_clock(clock), m_daemon(std::move(daemon)), m_zone(std::move(zone)) {}

void GossipPeers::AddOrUpdate(const std::string& name,
                              const std::string& address,
                              const std::string& zone,
                              std::uint64_t incarnation) {
  const auto parsed = net::ParseIpPort(address);
  if (name.empty() || name == m_daemon || !parsed) {
    return;
  }
  asio::error_code error;
  const udp::endpoint endpoint(asio::ip::make_address(parsed->ip, error),
                               parsed->port);
  const MonotonicTime now = m_clock.Now();
  GossipPeer& peer = m_peers[name];
  // A daemon whose wall clock was set back may restart with a lower
  // incarnation, which is accepted once the earlier process is no longer live.
  if (error || (incarnation < peer.incarnation && peer.IsHeard(now))) {
    return;
  }
  if (incarnation != peer.incarnation) {
    peer.incarnation_seen_at = now;
    peer.last_sequence = 0;
    peer.last_sent_ms = 0;
    peer.stopping = false;
    peer.answered = false;
  }
  peer.endpoint = endpoint;
  peer.zone = zone;
  peer.incarnation = incarnation;
  peer.last_seen_at = now;
}

GossipPeer* GossipPeers::Find(const std::string& name) {
  const auto found = m_peers.find(name);
  return found == m_peers.end() ? nullptr : &found->second;
}

std::vector<const GossipPeer*> GossipPeers::All() const {
  std::vector<const GossipPeer*> peers;
  for (const auto& [name, peer] : m_peers) {
    peers.push_back(&peer);
  }
  return peers;
}

std::size_t GossipPeers::LiveCount() const {
  const MonotonicTime now = m_clock.Now();
  return static_cast<std::size_t>(std::count_if(
      m_peers.begin(), m_peers.end(),
      [now](const auto& entry) { return entry.second.IsLive(now); }));
}

std::size_t GossipPeers::Rank() const {
  const MonotonicTime now = m_clock.Now();
  return static_cast<std::size_t>(std::count_if(
      m_peers.begin(), m_peers.lower_bound(m_daemon),
      [now](const auto& entry) { return entry.second.IsLive(now); }));
}

std::vector<relay::ReaderCandidate> GossipPeers::LiveInZone() const {
  const MonotonicTime now = m_clock.Now();
  std::vector<relay::ReaderCandidate> peers;
  for (const auto& [name, peer] : m_peers) {
    if (peer.zone == m_zone && peer.capacity && peer.IsLive(now)) {
      peers.push_back({name, *peer.capacity});
    }
  }
  return peers;
}

std::size_t GossipPeers::RecentDaemonsInZone() const {
  const MonotonicTime now = m_clock.Now();
  return 1 + static_cast<std::size_t>(std::count_if(
                 m_peers.begin(), m_peers.end(), [&](const auto& entry) {
                   const GossipPeer& peer = entry.second;
                   return peer.zone == m_zone && peer.capacity &&
                          now - peer.last_seen_at <= kRecentPeerAge;
                 }));
}

std::size_t GossipPeers::ZoneIndex() const {
  std::set<std::string_view> zones;
  for (const auto& [name, peer] : m_peers) {
    if (peer.zone < m_zone) {
      zones.insert(peer.zone);
    }
  }
  return zones.size();
}

GossipPeers::Recipients GossipPeers::ChooseRecipients() {
  const MonotonicTime now = m_clock.Now();
  std::vector<const GossipPeer*> same_zone;
  std::vector<const GossipPeer*> other_zones;
  std::size_t recent = 0;
  for (const auto& [name, peer] : m_peers) {
    recent += now - peer.last_seen_at <= kRecentPeerAge ? 1 : 0;
    if (now - peer.last_seen_at <= kPeerTimeout) {
      (peer.zone == m_zone ? same_zone : other_zones).push_back(&peer);
    }
  }
  const std::size_t all = same_zone.size() + other_zones.size();
  if (all <= kMaxRecipients) {
    same_zone.insert(same_zone.end(), other_zones.begin(), other_zones.end());
    return {std::move(same_zone), {}, all, recent};
  }
  // In a large fleet, only daemons of the same zone send individual reports of
  // their load.
  const std::size_t candidates = same_zone.size();
  std::shuffle(same_zone.begin(), same_zone.end(), m_random);
  std::shuffle(other_zones.begin(), other_zones.end(), m_random);
  same_zone.resize(std::min(same_zone.size(), kMaxRecipients - 1));
  const bool to_other_zone = ++m_round % kRoundsPerOtherZoneMessage == 0;
  other_zones.resize(
      std::min<std::size_t>(other_zones.size(), to_other_zone ? 1 : 0));
  return {std::move(same_zone), std::move(other_zones), candidates, recent};
}

}  // namespace jasminehatch::daemon
