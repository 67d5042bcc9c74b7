#include "jasminehatch/detail/forwarding/residency.h"

#include <string>
#include <vector>

#include "jasminehatch/detail/forwarding/state.h"
#include "jasminehatch/detail/routing/allowed_zones.h"

namespace jasminehatch::forwarding {

AllowedZones AllowedZonesOf(const State& state, const Request& request) {
  AllowedZones zones;
  const ZoneRegions& regions = state.options.zone_regions;
  const auto restrict_by = [&](const RouteTable& table, const Route* route) {
    if (route != nullptr) {
      zones.Restrict(route->allowed_regions, regions);
    }
    for (const std::vector<std::string>& allowed :
         table.WorkspaceRegions(request.workspace)) {
      zones.Restrict(allowed, regions);
    }
  };
  if (request.table) {
    restrict_by(*request.table, request.route);
  }
  if (state.table && state.table != request.table) {
    restrict_by(*state.table, state.table->FindRoute(request.arrival.host,
                                                     request.arrival.path));
  }
  return zones;
}

}  // namespace jasminehatch::forwarding
