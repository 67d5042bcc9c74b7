#include "jasminehatch/detail/forwarding/fleet_load.h"

#include <chrono>
#include <cmath>
#include <utility>

#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch::forwarding {
namespace {

/// Older individual reports are dropped: their daemon is dead or unreachable.
constexpr std::chrono::milliseconds kReportAge{900};

/// Older zone reports are dropped. They arrive less often than individual ones,
/// and a zone without a report would appear to have no load.
constexpr std::chrono::milliseconds kZoneReportAge{2500};

/// Interval at which old reports are dropped.
constexpr std::chrono::milliseconds kRefreshInterval{200};

template <typename Number>
Number Scaled(Number value, double scale) {
  return static_cast<Number>(std::llround(static_cast<double>(value) * scale));
}

/// Adds the load of each upstream to the totals.
void Add(std::span<const UpstreamShare> shares,
         std::unordered_map<std::uint32_t, UpstreamShare>& totals) {
  for (const UpstreamShare& share : shares) {
    UpstreamShare& total = totals[share.upstream];
    total.upstream = share.upstream;
    total.in_flight += share.in_flight;
    total.tokens += share.tokens;
  }
}

}  // namespace

std::uint32_t FleetLoad::NameOf(const std::string& upstream) {
  return static_cast<std::uint32_t>(StableHash(upstream) >> 32U);
}

void FleetLoad::Apply(const PeerLoadReported& event, MonotonicTime now) {
  if (event.whole_zone.empty()) {
    m_peers.insert_or_assign(event.peer, Peer{now, event.shares});
  } else {
    m_zones.insert_or_assign(event.whole_zone, Peer{now, event.shares});
  }
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
  std::erase_if(m_zones, [now](const auto& entry) {
    return now - entry.second.at > kZoneReportAge;
  });
  m_near.clear();
  for (const auto& [name, peer] : m_peers) {
    Add(peer.shares, m_near);
  }
  if (!m_peers.empty() && m_peer_count > m_peers.size()) {
    const double scale =
        static_cast<double>(m_peer_count) / static_cast<double>(m_peers.size());
    for (auto& [upstream, share] : m_near) {
      share.in_flight = Scaled(share.in_flight, scale);
      share.tokens = Scaled(share.tokens, scale);
    }
  }
  m_total = m_near;
  for (const auto& [zone, report] : m_zones) {
    Add(report.shares, m_total);
  }
}

std::vector<UpstreamShare> FleetLoad::ZoneShares(
    std::span<const UpstreamShare> own,
    MonotonicTime now) {
  Refresh(now);
  Totals totals = m_near;
  Add(own, totals);
  std::vector<UpstreamShare> shares;
  shares.reserve(totals.size());
  for (const auto& [upstream, share] : totals) {
    shares.push_back(share);
  }
  return shares;
}

UpstreamShare FleetLoad::Of(std::uint32_t upstream, MonotonicTime now) {
  Refresh(now);
  const auto found = m_total.find(upstream);
  return found == m_total.end() ? UpstreamShare{upstream, 0, 0} : found->second;
}

bool FleetLoad::Heard(MonotonicTime now) {
  Refresh(now);
  return !m_peers.empty() || !m_zones.empty();
}

}  // namespace jasminehatch::forwarding
