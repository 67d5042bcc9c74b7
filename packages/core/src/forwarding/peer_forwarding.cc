#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/forwarding/state.h"
#include "reducer.h"

namespace jasminehatch::forwarding {

std::vector<std::string> Reducer::ZonesWithUpstreams() const {
  std::vector<std::string> zones;
  for (const auto& [id, upstream] : m_state.upstreams.All()) {
    const std::string& zone = upstream->entry.zone;
    if (m_state.upstreams.IsUsable(*upstream, m_now) &&
        std::find(zones.begin(), zones.end(), zone) == zones.end()) {
      zones.push_back(zone);
    }
  }
  return zones;
}

void Reducer::RecordUnreachable(const Upstream& upstream) {
  m_state.reachability.OnConnectFailed(upstream.entry.id, upstream.entry.zone,
                                       m_now);
  const auto cut =
      m_state.reachability.BeginIfUnreachable(ZonesWithUpstreams(), m_now);
  if (!cut) {
    return;
  }
  // They may tell of the link of this daemon alone.
  m_state.failure_reports.Clear();
  m_effects.emplace_back(CountEvent{Counter::kUpstreamsUnreachable});
  LogStateChange("upstreams_unreachable",
                 {{"failures", std::to_string(cut->failures)}});
}

void Reducer::Apply(const UpstreamConnected& event) {
  const auto cut = m_state.reachability.OnConnected(event.opened_after);
  if (!cut) {
    return;
  }
  m_effects.emplace_back(CountEvent{Counter::kUpstreamsReachable});
  LogStateChange("upstreams_reachable",
                 {{"failures", std::to_string(cut->failures)},
                  {"unreachable_ms", Milliseconds(m_now - cut->since)}});
}

const std::string* Reducer::ChoosePeer(const Request& request) const {
  // A request is forwarded once, so that it cannot go in circles. The peer
  // does not know of attempts that may have run.
  if (request.arrival.forwarded || request.run_count > 0 ||
      !m_state.reachability.IsCut()) {
    return nullptr;
  }
  return m_state.peers.Choose(m_state.options.zone, request.tried_upstreams,
                              request.arrival.random, m_now);
}

bool Reducer::ForwardToPeer(Request& request) {
  const std::string* peer = ChoosePeer(request);
  if (peer == nullptr) {
    return false;
  }
  if (m_state.reachability.IsProbeDue(m_now)) {
    m_state.reachability.OnProbe(m_now);
    request.probes_upstreams = true;
    return false;
  }
  StartAtPeer(request, *peer);
  return true;
}

void Reducer::StartAtPeer(Request& request, const std::string& peer) {
  const AttemptId id{m_state.next_attempt++};
  ++request.send_count;
  request.attempt = Request::Attempt{id, peer, std::nullopt};
  request.attempt->at_peer = true;
  request.probes_upstreams = false;
  m_state.peers.OnAttemptStarted(peer);
  StartAttempt start;
  start.request = request.arrival.request;
  start.attempt = id;
  start.upstream = peer;
  start.address = m_state.peers.AddressOf(peer);
  start.deadline = request.deadline;
  start.route_kind = request.route->kind;
  start.resume_after = request.last_event;
  start.to_peer = true;
  SetTimer(request);
  m_effects.emplace_back(CountEvent{Counter::kForwardedToPeer});
  Log(request, "forwarded_to_peer",
      {{"peer", peer}, {"left_ms", Milliseconds(request.deadline - m_now)}});
  m_effects.emplace_back(std::move(start));
}

}  // namespace jasminehatch::forwarding
