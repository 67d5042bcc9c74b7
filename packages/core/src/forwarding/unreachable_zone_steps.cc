#include <string>
#include <string_view>

#include "jasminehatch/detail/forwarding/state.h"
#include "reducer.h"

namespace jasminehatch::forwarding {

void Reducer::RecordConnectTimeout(const Upstream& upstream) {
  // The daemon's own zone is never excluded, since nothing else may be left.
  if (upstream.entry.zone == m_state.options.zone) {
    return;
  }
  const std::string& zone = upstream.entry.zone;
  const auto outage = m_state.unreachable_zones.OnConnectTimeout(
      zone, upstream.entry.id, m_now);
  if (!outage) {
    return;
  }
  m_effects.emplace_back(CountEvent{Counter::kZoneUnreachable});
  LogStateChange("zone_unreachable",
                 {{"zone", zone},
                  {"failures", std::to_string(outage->failures)},
                  {"reporter", m_state.options.daemon}});
}

void Reducer::Apply(const LoadObserved& event) {
  m_state.upstreams.OnLoad(event, m_now);
  if (const Upstream* upstream = m_state.upstreams.Find(event.upstream)) {
    RecordZoneContact(upstream->entry.zone);
  }
}

void Reducer::RecordZoneContact(std::string_view zone) {
  const auto outage = m_state.unreachable_zones.OnContact(zone);
  if (!outage) {
    return;
  }
  m_effects.emplace_back(CountEvent{Counter::kZoneReachable});
  LogStateChange("zone_reachable",
                 {{"zone", std::string(zone)},
                  {"failures", std::to_string(outage->failures)},
                  {"unreachable_ms", Milliseconds(m_now - outage->since)},
                  {"reporter", m_state.options.daemon}});
}

}  // namespace jasminehatch::forwarding
