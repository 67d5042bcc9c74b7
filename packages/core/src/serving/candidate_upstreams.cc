#include "jasminehatch/detail/serving/candidate_upstreams.h"

#include <algorithm>

#include "jasminehatch/detail/serving/cold_upstreams.h"
#include "jasminehatch/detail/serving/residency.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {

std::span<const UpstreamId> CandidateUpstreams::Serving(ModelGroup& model,
                                                        VersionGroup& group) {
  if (group.serving_as_of != model.changes) {
    group.serving_as_of = model.changes;
    group.serving.clear();
    const AllowedZones zones =
        AllowedZonesOf(group.regions, m_context.state.residency.zone_regions);
    for (const UpstreamId id : model.upstreams) {
      const UpstreamView& view = m_context.state.View(id);
      if (view.Serves(view.spec.model, group.version, m_context.now) &&
          zones.Contains(view.spec.zone)) {
        group.serving.push_back(id);
      }
    }
  }
  return group.serving;
}

std::span<const UpstreamId> CandidateUpstreams::Find(ModelGroup& model,
                                                     const Request& request) {
  auto& candidates = m_context.state.candidates;
  candidates.clear();
  bool other_serves = false;
  bool last_failed_has_room = false;
  for (const UpstreamId id : Serving(model, model.GroupOf(request))) {
    if (id == request.last_failed) {
      last_failed_has_room = HasRoom(id);
      continue;
    }
    other_serves = true;
    if (HasRoom(id)) {
      candidates.push_back(id);
    }
  }
  if (last_failed_has_room &&
      (request.resume_on == request.last_failed || !other_serves)) {
    candidates.assign(1, *request.last_failed);
  }
  return candidates;
}

bool CandidateUpstreams::HasRoom(UpstreamId upstream) const {
  const State& state = m_context.state;
  return state.has_room[upstream.value] &&
         (!state.has_warm_ups ||
          m_cold_upstreams.MayStart(state.View(upstream)));
}

bool CandidateUpstreams::AnyHasRoom(ModelGroup& model, VersionGroup& group) {
  const auto serving = Serving(model, group);
  return std::any_of(serving.begin(), serving.end(),
                     [this](UpstreamId id) { return HasRoom(id); });
}

void CandidateUpstreams::SetRoomTimers(ModelGroup& model, VersionGroup& group) {
  State& state = m_context.state;
  if (!state.has_warm_ups) {
    return;
  }
  for (const UpstreamId id : Serving(model, group)) {
    m_cold_upstreams.SetRoomTimer(state.View(id));
  }
}

}  // namespace jasminehatch::serving
