#include "jasminehatch/detail/forwarding/forwarding_peers.h"

#include <algorithm>
#include <tuple>

#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch::forwarding {

void ForwardingPeers::OnHeard(const std::string& daemon,
                              const std::string& zone,
                              const std::string& address,
                              MonotonicTime now) {
  const auto found = m_peers.find(daemon);
  if (address.empty()) {
    // A daemon that still has requests keeps its entry.
    if (found != m_peers.end() && found->second.in_flight == 0) {
      m_peers.erase(found);
    } else if (found != m_peers.end()) {
      found->second.address.clear();
    }
    return;
  }
  Peer& peer = m_peers[daemon];
  peer.zone = zone;
  peer.address = address;
  peer.heard_at = now;
}

const std::string* ForwardingPeers::Choose(
    std::string_view own_zone,
    const std::vector<std::string>& tried,
    std::uint64_t random,
    MonotonicTime now) const {
  const std::string* best = nullptr;
  std::tuple<bool, std::uint32_t, std::uint64_t> best_cost;
  for (const auto& [name, peer] : m_peers) {
    if (peer.address.empty() || now - peer.heard_at > kMaxSilence ||
        std::find(tried.begin(), tried.end(), name) != tried.end()) {
      continue;
    }
    const std::uint32_t penalty = peer.zone == own_zone ? 0 : kOtherZonePenalty;
    const std::tuple cost{now < peer.paused_until, peer.in_flight + penalty,
                          StableHash(name, random)};
    if (best == nullptr || cost < best_cost) {
      best = &name;
      best_cost = cost;
    }
  }
  return best;
}

void ForwardingPeers::OnFailed(const std::string& daemon, MonotonicTime now) {
  const auto found = m_peers.find(daemon);
  if (found != m_peers.end()) {
    found->second.paused_until = now + kFailurePause;
  }
}

void ForwardingPeers::OnAttemptEnded(const std::string& daemon) {
  const auto found = m_peers.find(daemon);
  if (found != m_peers.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

}  // namespace jasminehatch::forwarding
