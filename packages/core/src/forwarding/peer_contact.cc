#include "jasminehatch/detail/forwarding/peer_contact.h"

#include <cstddef>

namespace jasminehatch::forwarding {

void PeerContact::OnHeard(const std::string& zone, MonotonicTime now) {
  const auto [entry, added] = m_zones.try_emplace(zone, Zone{now, now});
  if (!added && now - entry->second.heard_at > kMaxSilence) {
    entry->second.heard_since = now;
  }
  entry->second.heard_at = now;
}

bool PeerContact::HasHeldSince(MonotonicTime since, MonotonicTime now) const {
  std::size_t counted = 0;
  std::size_t held = 0;
  for (const auto& [name, zone] : m_zones) {
    const Duration silence = now - zone.heard_at;
    counted += silence <= kMemory ? 1 : 0;
    held += silence <= kMaxSilence && zone.heard_since <= since ? 1 : 0;
  }
  return 2 * held > counted;
}

}  // namespace jasminehatch::forwarding
