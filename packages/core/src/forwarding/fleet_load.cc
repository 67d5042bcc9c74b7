#include "jasminehatch/detail/forwarding/fleet_load.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch::forwarding {
namespace {

/// Reports that are older say nothing: their daemon is gone or cut off.
constexpr std::chrono::milliseconds kReportAge{900};

/// Old reports are looked for this often.
constexpr std::chrono::milliseconds kRefreshInterval{200};

}  // namespace

std::uint32_t FleetLoad::NameOf(const std::string& upstream) {
  return static_cast<std::uint32_t>(StableHash(upstream) >> 32U);
}

void FleetLoad::Apply(const PeerLoadReported& event, MonotonicTime now) {
  m_peers.insert_or_assign(event.peer, Peer{now, event.shares});
  m_changed = true;
}

void FleetLoad::Refresh(MonotonicTime now) {
  if (!m_changed && now - m_refreshed_at < kRefreshInterval) {
    return;
  }
  m_changed = false;
  m_refreshed_at = now;
  std::erase_if(m_peers, [now](const auto& entry) {
    return now - entry.second.at > kReportAge;
  });
  m_totals.clear();
  for (const auto& [name, peer] : m_peers) {
    for (const UpstreamShare& share : peer.shares) {
      UpstreamShare& total = m_totals[share.upstream];
      total.upstream = share.upstream;
      total.in_flight += share.in_flight;
      total.tokens += share.tokens;
    }
  }
  const auto heard = static_cast<double>(m_peers.size());
  m_scale = m_peers.empty()
                ? 1
                : std::max(1.0, static_cast<double>(m_peer_count) / heard);
}

UpstreamShare FleetLoad::Of(std::uint32_t upstream, MonotonicTime now) {
  Refresh(now);
  const auto found = m_totals.find(upstream);
  if (found == m_totals.end()) {
    return {upstream, 0, 0};
  }
  const UpstreamShare& total = found->second;
  return {
      upstream, static_cast<std::uint32_t>(m_scale * total.in_flight),
      static_cast<std::uint64_t>(m_scale * static_cast<double>(total.tokens))};
}

bool FleetLoad::Heard(MonotonicTime now) {
  Refresh(now);
  return !m_peers.empty();
}

}  // namespace jasminehatch::forwarding
