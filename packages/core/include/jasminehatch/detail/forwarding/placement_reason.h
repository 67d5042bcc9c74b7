#ifndef JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_REASON_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_REASON_H_

#include <string_view>

namespace jasminehatch::forwarding {

/// @brief Why an upstream was chosen.
enum class PlacementReason {
  kNone,          ///< No upstream was chosen.
  kLeastLoaded,   ///< It has the least load relative to its capacity.
  kPreferred,     ///< It is the preferred upstream of the prompt prefix.
  kNextByPrefix,  ///< The preferred one exceeds a limit on load or memory.
  kAllOverLimit,  ///< All exceed one; it has the least load.
};

/// @return the name in explanations, for example `least_loaded`
std::string_view ToString(PlacementReason reason);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_REASON_H_
