#include "jasminehatch/detail/routing/allowed_zones.h"

#include <utility>

namespace jasminehatch {

void AllowedZones::Restrict(std::span<const std::string> regions,
                            const ZoneRegions& zone_regions) {
  if (regions.empty()) {
    return;
  }
  std::vector<std::string_view> zones;
  for (const auto& [zone, region] : zone_regions) {
    if (Contains(zone) &&
        std::find(regions.begin(), regions.end(), region) != regions.end()) {
      zones.emplace_back(zone);
    }
  }
  m_zones = std::move(zones);
  m_restricted = true;
}

}  // namespace jasminehatch
