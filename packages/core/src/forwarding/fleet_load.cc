#include "jasminehatch/detail/forwarding/fleet_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch::forwarding {
namespace {

/// Older individual reports are dropped: their daemon is dead or unreachable.
constexpr std::chrono::milliseconds kMaxReportAge{900};

/// Older zone reports are dropped. They arrive less often than individual ones,
/// and a zone without a report would appear to have no load.
constexpr std::chrono::milliseconds kMaxZoneReportAge{2500};

/// Interval at which old reports are dropped.
constexpr std::chrono::milliseconds kRefreshInterval{200};

template <typename Number>
Number Scaled(Number value, double scale) {
  return static_cast<Number>(std::llround(static_cast<double>(value) * scale));
}

/// Adds the load of each upstream to the totals.
void Add(std::span<const UpstreamLoad> loads,
         std::unordered_map<std::uint32_t, UpstreamLoad>& totals) {
  for (const UpstreamLoad& load : loads) {
    UpstreamLoad& total = totals[load.upstream];
    total.upstream = load.upstream;
    total.in_flight += load.in_flight;
    total.tokens += load.tokens;
  }
}

}  // namespace

std::uint32_t FleetLoad::CompactId(const std::string& upstream) {
  return static_cast<std::uint32_t>(StableHash(upstream) >> 32U);
}

void FleetLoad::Apply(const PeerLoadReceived& event, MonotonicTime now) {
  if (event.zone.empty()) {
    m_peer_reports.insert_or_assign(event.peer, Report{now, event.loads});
  } else {
    m_zone_reports.insert_or_assign(event.zone, Report{now, event.loads});
  }
  m_changed = true;
}

void FleetLoad::Refresh(MonotonicTime now) {
  if (!m_changed && now - m_refreshed_at < kRefreshInterval) {
    return;
  }
  m_changed = false;
  m_refreshed_at = now;
  std::erase_if(m_peer_reports, [now](const auto& entry) {
    return now - entry.second.received_at > kMaxReportAge;
  });
  std::erase_if(m_zone_reports, [now](const auto& entry) {
    return now - entry.second.received_at > kMaxZoneReportAge;
  });
  m_individual.clear();
  for (const auto& [name, report] : m_peer_reports) {
    Add(report.loads, m_individual);
  }
  if (!m_peer_reports.empty() && m_peer_count > m_peer_reports.size()) {
    const double scale = static_cast<double>(m_peer_count) /
                         static_cast<double>(m_peer_reports.size());
    for (auto& [upstream, load] : m_individual) {
      load.in_flight = Scaled(load.in_flight, scale);
      load.tokens = Scaled(load.tokens, scale);
    }
  }
  m_total = m_individual;
  for (const auto& [zone, report] : m_zone_reports) {
    Add(report.loads, m_total);
  }
}

std::vector<UpstreamLoad> FleetLoad::ZoneLoads(
    std::span<const UpstreamLoad> own,
    MonotonicTime now) {
  Refresh(now);
  Totals totals = m_individual;
  Add(own, totals);
  std::vector<UpstreamLoad> loads;
  loads.reserve(totals.size());
  for (const auto& [upstream, load] : totals) {
    loads.push_back(load);
  }
  return loads;
}

UpstreamLoad FleetLoad::LoadOf(std::uint32_t upstream, MonotonicTime now) {
  Refresh(now);
  const auto found = m_total.find(upstream);
  return found == m_total.end() ? UpstreamLoad{upstream, 0, 0} : found->second;
}

bool FleetLoad::HasRecentReports(MonotonicTime now) {
  Refresh(now);
  return !m_peer_reports.empty() || !m_zone_reports.empty();
}

std::optional<Duration> FleetLoad::OldestReportAge(MonotonicTime now) const {
  std::optional<Duration> oldest;
  for (const auto* reports : {&m_peer_reports, &m_zone_reports}) {
    for (const auto& [name, report] : *reports) {
      oldest = std::max(oldest, std::optional(now - report.received_at));
    }
  }
  return oldest;
}

}  // namespace jasminehatch::forwarding
