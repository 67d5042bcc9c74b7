#include <string>

#include "jasminehatch/detail/forwarding/state.h"
#include "jasminehatch/detail/forwarding/warm_up.h"
#include "reducer.h"

namespace jasminehatch::forwarding {

Denial Reducer::MakeWarmUpDenial(const Request& request) {
  return {RefusalCode::kOverloaded,
          "all upstreams of service " + request.service +
              " that can run the request are cold or paused, and this daemon "
              "may send them no more requests for now",
          Counter::kWarmUpRefused};
}

void Reducer::RecordColdSend(const Upstream& upstream) {
  const WarmUpSpec* warm_up = FindWarmUp(m_state, upstream.entry.service);
  if (warm_up == nullptr) {
    return;
  }
  if (const auto use = DescribeColdUse(m_state, upstream, *warm_up, m_now)) {
    m_state.warm_ups.RecordSend(upstream.entry.id, use->share, m_now);
  }
}

void Reducer::PresumeCold(Upstream& upstream) {
  if (const WarmUpSpec* warm_up = FindWarmUp(m_state, upstream.entry.service)) {
    upstream.warm_up.OnUnreachable(warm_up->time, m_now);
    ReportIfCold(upstream);
  }
}

void Reducer::ReportIfCold(Upstream& upstream) {
  const WarmUpSpec* warm_up = FindWarmUp(m_state, upstream.entry.service);
  if (warm_up == nullptr || !upstream.warm_up.TakeColdStart(m_now)) {
    return;
  }
  const auto use = DescribeColdUse(m_state, upstream, *warm_up, m_now);
  if (!use) {
    return;
  }
  m_effects.emplace_back(CountEvent{Counter::kUpstreamCold});
  Log("upstream_cold",
      {{"upstream", upstream.entry.id},
       {"cause",
        upstream.warm_up.IsPresumedCold(m_now) ? "unreachable" : "registry"},
       {"left_ms", Milliseconds(use->cold_until - m_now)},
       {"share", std::to_string(use->share.requests)},
       {"window_ms", Milliseconds(use->share.window)},
       {"daemons", std::to_string(m_state.members.Count() + 1)}});
}

void Reducer::ReportColdUpstreams() {
  for (const auto& [id, upstream] : m_state.upstreams.All()) {
    ReportIfCold(*upstream);
  }
}

}  // namespace jasminehatch::forwarding
