#include "jasminehatch/detail/forwarding/unreachable_zones.h"

#include <algorithm>

namespace jasminehatch::forwarding {

std::optional<UnreachableZones::Outage> UnreachableZones::OnConnectTimeout(
    std::string_view zone,
    std::string_view upstream,
    MonotonicTime now) {
  Zone& known = m_zones[std::string(zone)];
  if (known.outage) {
    ++known.outage->failures;
    return std::nullopt;
  }
  std::erase_if(known.timeouts, [&](const Timeout& timeout) {
    return timeout.upstream == upstream || now - timeout.at > kWindow;
  });
  known.timeouts.push_back({std::string(upstream), now});
  if (known.timeouts.size() < kMinUpstreams) {
    return std::nullopt;
  }
  known.outage = Outage{now, known.timeouts.size()};
  known.next_probe_at = now + known.probe_interval;
  return known.outage;
}

std::optional<UnreachableZones::Outage> UnreachableZones::OnContact(
    std::string_view zone) {
  const auto found = m_zones.find(zone);
  if (found == m_zones.end()) {
    return std::nullopt;
  }
  const auto outage = found->second.outage;
  m_zones.erase(found);
  return outage;
}

void UnreachableZones::OnAttemptStarted(std::string_view zone,
                                        AttemptId attempt,
                                        MonotonicTime now) {
  const auto found = m_zones.find(zone);
  if (found == m_zones.end() || !found->second.outage ||
      ExcludesKnown(zone, now)) {
    return;
  }
  Zone& known = found->second;
  known.probe = attempt;
  known.probe_started_at = now;
  known.probe_interval =
      std::min<Duration>(known.probe_interval * 2, kMaxProbeInterval);
  known.next_probe_at = now + known.probe_interval;
}

void UnreachableZones::OnAttemptEnded(std::string_view zone,
                                      AttemptId attempt) {
  const auto found = m_zones.find(zone);
  if (found != m_zones.end() && found->second.probe == attempt) {
    found->second.probe.reset();
  }
}

bool UnreachableZones::ExcludesKnown(std::string_view zone,
                                     MonotonicTime now) const {
  const auto found = m_zones.find(zone);
  if (found == m_zones.end() || !found->second.outage) {
    return false;
  }
  const Zone& known = found->second;
  const bool is_probing =
      known.probe && now - known.probe_started_at < kMaxProbeTime;
  return is_probing || now < known.next_probe_at;
}

}  // namespace jasminehatch::forwarding
