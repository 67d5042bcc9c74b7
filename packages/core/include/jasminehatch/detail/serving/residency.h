#ifndef JASMINEHATCH_DETAIL_SERVING_RESIDENCY_H_
#define JASMINEHATCH_DETAIL_SERVING_RESIDENCY_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/routing/allowed_zones.h"

namespace jasminehatch::serving {

/// Lists of allowed regions that apply to a request: it may use zones whose
/// region is in each of them.
using RegionLists = std::vector<std::vector<std::string>>;

/// @brief The part of the configuration that restricts requests to regions.
struct Residency {
  using ListByName =
      std::map<std::string, std::vector<std::string>, std::less<>>;

  ZoneRegions zone_regions;  ///< A zone without an entry is in no region.
  /// Allowed regions by workspace; without an entry, there is no restriction.
  ListByName workspaces;
  ListByName services;  ///< The same by model or `service:<name>`.

  bool operator==(const Residency&) const = default;
};

/// @return the lists that apply to requests of the workspace for the model or
/// plain service
RegionLists RegionsOf(const Residency& residency,
                      std::string_view workspace,
                      std::string_view model);

/// Adds those lists that are not in `lists` yet.
void AddRegions(const RegionLists& added, RegionLists& lists);

/// @return the zones that the lists allow; it must not outlive the regions
AllowedZones AllowedZonesOf(const RegionLists& lists,
                            const ZoneRegions& zone_regions);

/// @return the key of the group in which requests of a weight version wait to
/// which the lists apply; equal to the version without lists
std::string GroupKey(std::string_view version, const RegionLists& lists);

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_RESIDENCY_H_
