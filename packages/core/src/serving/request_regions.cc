#include "jasminehatch/detail/serving/request_regions.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/residency.h"
#include "jasminehatch/detail/serving/step_context.h"
#include "jasminehatch/detail/serving/waiting_requests.h"

namespace jasminehatch::serving {
namespace {

using Phase = Request::Phase;

void SetRegions(Request& request, RegionLists regions) {
  request.regions = std::move(regions);
  request.group = GroupKey(request.arrival.weight_version, request.regions);
}

/// @return the regions that applied when the request was admitted, and those of
/// the newest configuration
RegionLists CurrentRegions(const Request& request, const Residency& residency) {
  RegionLists regions = request.admitted_regions;
  AddRegions(
      RegionsOf(residency, request.arrival.workspace, request.arrival.model),
      regions);
  return regions;
}

}  // namespace

void RequestRegions::OnAdmission(Request& request) {
  request.admitted_regions =
      RegionsOf(m_context.state.residency, request.arrival.workspace,
                request.arrival.model);
  SetRegions(request, request.admitted_regions);
}

void RequestRegions::OnResidencyChanged() {
  std::vector<RequestId> changed;
  for (const auto& [id, request] : m_context.state.requests) {
    if (CurrentRegions(request, m_context.state.residency) != request.regions) {
      changed.push_back(id);
    }
  }
  // The order must not depend on the hash table.
  std::sort(changed.begin(), changed.end());
  for (const RequestId id : changed) {
    // A request may have been displaced from a full queue meanwhile.
    if (Request* request = m_requests.Find(id)) {
      Update(*request);
    }
  }
}

void RequestRegions::Update(Request& request) {
  const Phase phase = request.phase;
  const bool waits = phase == Phase::kQueued || phase == Phase::kRetry ||
                     phase == Phase::kSuspect;
  if (waits) {
    m_requests.StopWaiting(request);
  }
  SetRegions(request, CurrentRegions(request, m_context.state.residency));
  ModelGroup& model = m_context.state.models[request.arrival.model];
  if (phase == Phase::kQueued) {
    m_waiting.Add(request, model, model.GroupOf(request));
  } else if (waits) {
    m_waiting.Requeue(request);
  }
}

}  // namespace jasminehatch::serving
