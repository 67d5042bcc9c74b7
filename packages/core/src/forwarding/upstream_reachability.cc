#include "jasminehatch/detail/forwarding/upstream_reachability.h"

#include <algorithm>
#include <utility>

namespace jasminehatch::forwarding {

void UpstreamReachability::OnConnectFailed(const std::string& upstream,
                                           const std::string& zone,
                                           MonotonicTime now) {
  if (m_cut) {
    ++m_cut->failures;
    return;
  }
  std::erase_if(m_failures, [now](const auto& entry) {
    return now - entry.second.at > kWindow;
  });
  m_failures[upstream] = {zone, now};
}

std::optional<UpstreamReachability::Cut>
UpstreamReachability::BeginIfUnreachable(const std::vector<std::string>& zones,
                                         MonotonicTime now) {
  const auto has_failed = [this](const std::string& zone) {
    return std::any_of(
        m_failures.begin(), m_failures.end(),
        [&](const auto& entry) { return entry.second.zone == zone; });
  };
  if (m_cut || m_failures.size() < kMinUpstreams ||
      !std::all_of(zones.begin(), zones.end(), has_failed)) {
    return std::nullopt;
  }
  m_cut = Cut{now, m_failures.size()};
  m_failures.clear();
  m_probe_interval = kFirstProbeInterval;
  m_next_probe_at = now + m_probe_interval;
  return m_cut;
}

std::optional<UpstreamReachability::Cut> UpstreamReachability::OnConnected(
    MonotonicTime opened_after) {
  std::erase_if(m_failures, [opened_after](const auto& entry) {
    return entry.second.at <= opened_after;
  });
  if (!m_cut || opened_after < m_cut->since) {
    return std::nullopt;
  }
  return std::exchange(m_cut, std::nullopt);
}

void UpstreamReachability::OnProbe(MonotonicTime now) {
  m_probe_interval =
      std::min<Duration>(m_probe_interval * 2, kMaxProbeInterval);
  m_next_probe_at = now + m_probe_interval;
}

}  // namespace jasminehatch::forwarding
