#include "jasminehatch/detail/routing/fleet_members.h"

#include <algorithm>
#include <tuple>

#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch {
namespace {

constexpr std::chrono::seconds kRefreshInterval{1};

/// A zone that is silent for longer may be cut off. Even from the largest other
/// zone, a daemon hears several messages per second.
constexpr std::chrono::seconds kMaxZoneSilence{6};

}  // namespace

void FleetMembers::SetPresent(Member& member, bool present) {
  if (member.present == present) {
    return;
  }
  member.present = present;
  m_count = present ? m_count + 1 : m_count - 1;
  ++m_version;
}

void FleetMembers::OnListed(const std::string& daemon,
                            const std::string& zone,
                            MonotonicTime now) {
  const auto [entry, added] = m_members.try_emplace(daemon);
  if (added) {
    entry->second.zone = zone;
    entry->second.heard_at = now;
    SetPresent(entry->second, true);
  }
}

void FleetMembers::OnHeard(const std::string& daemon,
                           const std::string& zone,
                           bool stopping,
                           MonotonicTime now) {
  Zone& heard_zone = m_zones[zone];
  if (now - heard_zone.heard_at > kMaxZoneSilence) {
    heard_zone.heard_since = now;
  }
  heard_zone.heard_at = now;
  Member& member = m_members[daemon];
  member.zone = zone;
  member.heard_at = now;
  member.stopping = stopping;
  SetPresent(member, true);
}

bool FleetMembers::HasEnded(const Member& member, MonotonicTime now) const {
  const Duration silence = now - member.heard_at;
  if (member.stopping && silence >= kStoppedSilenceLimit) {
    return true;
  }
  const auto zone = m_zones.find(member.zone);
  return silence >= kSilenceLimit && zone != m_zones.end() &&
         now - zone->second.heard_at <= kMaxZoneSilence &&
         now - zone->second.heard_since >= kSilenceLimit;
}

void FleetMembers::Refresh(MonotonicTime now) {
  if (m_refreshed_at && now - *m_refreshed_at < kRefreshInterval) {
    return;
  }
  m_refreshed_at = now;
  for (auto& [name, member] : m_members) {
    if (member.present && HasEnded(member, now)) {
      SetPresent(member, false);
    }
  }
}

std::size_t FleetMembers::RankOf(std::string_view daemon,
                                 std::string_view upstream) const {
  const std::uint64_t seed = forwarding::StableHash(upstream);
  const auto own = std::tuple(forwarding::StableHash(daemon, seed), daemon);
  return static_cast<std::size_t>(
      std::count_if(m_members.begin(), m_members.end(), [&](const auto& entry) {
        const std::string_view name = entry.first;
        return entry.second.present &&
               std::tuple(forwarding::StableHash(name, seed), name) > own;
      }));
}

}  // namespace jasminehatch
