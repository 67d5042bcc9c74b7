#include "jasminehatch/detail/serving/unserved_requests.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/residency.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {
namespace {

/// @return whether an upstream in a zone that the regions allow fulfils the
/// condition
template <typename Condition>
bool AnyInRegions(const State& state,
                  const ModelGroup& model,
                  const RegionLists& regions,
                  Condition condition) {
  const AllowedZones zones =
      AllowedZonesOf(regions, state.residency.zone_regions);
  return std::any_of(model.upstreams.begin(), model.upstreams.end(),
                     [&](UpstreamId id) {
                       const UpstreamView& view = state.View(id);
                       return condition(view) && zones.Contains(view.spec.zone);
                     });
}

/// @return whether an upstream in the regions serves the version, or will once
/// it is reachable and not paused
bool AnyCanServe(const State& state,
                 const ModelGroup& model,
                 const std::string& version,
                 const RegionLists& regions) {
  return AnyInRegions(state, model, regions, [&](const UpstreamView& view) {
    return view.MayBeUsed() && view.HoldsVersion(version);
  });
}

/// @return whether an upstream serves the version in an evacuated zone of the
/// regions
bool IsEvacuated(const State& state,
                 const ModelGroup& model,
                 const std::string& version,
                 const RegionLists& regions) {
  return AnyInRegions(state, model, regions, [&](const UpstreamView& view) {
    return view.spec.evacuated && view.configured && !view.leaving &&
           view.HoldsVersion(version);
  });
}

/// Empties the queue of the group.
/// @return all of its requests, in the order in which they are refused
std::vector<RequestId> TakeWaiting(VersionGroup& group) {
  std::vector<RequestId> waiting{group.retries.begin(), group.retries.end()};
  waiting.insert(waiting.end(), group.suspects.begin(), group.suspects.end());
  while (const auto next = group.queue.Pop()) {
    waiting.push_back(*next);
  }
  return waiting;
}

}  // namespace

bool UnservedRequests::IsServed(const Request& request) const {
  const State& state = m_context.state;
  const auto model = state.models.find(request.arrival.model);
  return model != state.models.end() &&
         AnyCanServe(state, model->second, request.arrival.weight_version,
                     request.regions);
}

void UnservedRequests::Refuse(Request& request, std::string detail) {
  const State& state = m_context.state;
  const std::string& version = request.arrival.weight_version;
  const auto model = state.models.find(request.arrival.model);
  if (model == state.models.end()) {
    // Neither zones nor regions are the cause.
  } else if (IsEvacuated(state, model->second, version, request.regions)) {
    m_context.Count(Counter::kRefusedInEvacuatedZone);
    detail += " outside the evacuated zones";
  } else if (!request.regions.empty() &&
             AnyCanServe(state, model->second, version, {})) {
    m_context.Count(Counter::kRefusedOutsideRegions);
    detail += " in the regions that the request may use";
  }
  m_requests.Refuse(request, RefusalCode::kNoUpstream, std::move(detail));
}

void UnservedRequests::RefuseWaiting(const std::string& model) {
  State& state = m_context.state;
  const auto found = state.models.find(model);
  if (found == state.models.end()) {
    return;
  }
  for (auto& [version, group] : found->second.versions) {
    if (group.Waiting() == 0 ||
        AnyCanServe(state, found->second, group.version, group.regions)) {
      continue;
    }
    for (const RequestId id : TakeWaiting(group)) {
      Refuse(*m_requests.Find(id),
             "no upstream serves the weight version any more");
    }
  }
}

}  // namespace jasminehatch::serving
