#include "jasminehatch/detail/serving/booking_placement.h"

#include <vector>

#include "jasminehatch/detail/serving/cold_upstreams.h"
#include "jasminehatch/detail/serving/state.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {

std::optional<UpstreamId> PlaceBooking(State& state,
                                       const std::string& workspace,
                                       const std::string& service,
                                       std::uint64_t turn,
                                       MonotonicTime now) {
  StepContext context{state, now, {}, {}};
  ColdUpstreams cold_upstreams(context);
  const std::string model = "service:" + service;
  const AllowedZones zones =
      AllowedZonesOf(RegionsOf(state.residency, workspace, model),
                     state.residency.zone_regions);
  std::vector<const UpstreamView*> candidates;
  for (const UpstreamView& view : state.upstreams) {
    if (view.MayBeUsed() && view.spec.model == model &&
        zones.Contains(view.spec.zone) && cold_upstreams.MayStart(view)) {
      candidates.push_back(&view);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const UpstreamView& chosen = *candidates[turn % candidates.size()];
  cold_upstreams.RecordStart(chosen);
  return chosen.id;
}

}  // namespace jasminehatch::serving
