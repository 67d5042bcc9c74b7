#include <array>
#include <cstddef>
#include <string_view>

#include "jasminehatch/detail/forwarding/exclusion.h"
#include "jasminehatch/detail/forwarding/placement_reason.h"

namespace jasminehatch::forwarding {

std::string_view ToString(PlacementReason reason) {
  static constexpr std::array<std::string_view, 5> kNames{
      "none", "least_loaded", "preferred", "next_by_prefix", "all_over_limit"};
  return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view ToString(Exclusion exclusion) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(Exclusion::kCount)>
      kNames{"region",
             "evacuated",
             "draining",
             "loading",
             "weights_unknown",
             "weights_outdated",
             "other_software",
             "pause_requested",
             "new_software",
             "already_tried",
             "cold",
             "suspended",
             "paused",
             "replaced",
             "zone_unreachable"};
  return kNames.at(static_cast<std::size_t>(exclusion));
}

}  // namespace jasminehatch::forwarding
