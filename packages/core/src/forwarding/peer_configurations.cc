#include "jasminehatch/detail/forwarding/peer_configurations.h"

#include <algorithm>

namespace jasminehatch::forwarding {

void PeerConfigurations::OnHeard(const std::string& peer,
                                 std::uint64_t version,
                                 MonotonicTime now) {
  if (version > 0 && m_heard.size() < kEnoughPeers) {
    m_heard.insert(peer);
  }
  if (version >= m_newest) {
    m_newest = version;
    m_newest_heard_at = now;
  }
}

bool PeerConfigurations::IsWaiting(MonotonicTime now) const {
  if (!m_expected || (m_read_at && now - *m_read_at >= kMaxWait)) {
    return false;
  }
  return !m_listed || m_heard.size() < std::min(*m_listed, kEnoughPeers);
}

}  // namespace jasminehatch::forwarding
