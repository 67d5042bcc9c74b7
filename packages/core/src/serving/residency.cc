#include "jasminehatch/detail/serving/residency.h"

#include <algorithm>

namespace jasminehatch::serving {

RegionLists RegionsOf(const Residency& residency,
                      std::string_view workspace,
                      std::string_view model) {
  RegionLists lists;
  if (const auto found = residency.workspaces.find(workspace);
      found != residency.workspaces.end()) {
    lists.push_back(found->second);
  }
  if (const auto found = residency.services.find(model);
      found != residency.services.end()) {
    lists.push_back(found->second);
  }
  return lists;
}

void AddRegions(const RegionLists& added, RegionLists& lists) {
  for (const auto& list : added) {
    if (std::find(lists.begin(), lists.end(), list) == lists.end()) {
      lists.push_back(list);
    }
  }
}

AllowedZones AllowedZonesOf(const RegionLists& lists,
                            const ZoneRegions& zone_regions) {
  AllowedZones zones;
  for (const auto& list : lists) {
    zones.Restrict(list, zone_regions);
  }
  return zones;
}

std::string GroupKey(std::string_view version, const RegionLists& lists) {
  // Neither weight versions nor regions contain line breaks, since the
  // configuration has them in single lines.
  std::string key(version);
  for (const auto& list : lists) {
    key += "\n\n";
    for (const std::string& region : list) {
      key += region + "\n";
    }
  }
  return key;
}

}  // namespace jasminehatch::serving
