#ifndef JASMINEHATCH_DETAIL_FORWARDING_EXCLUSION_H_
#define JASMINEHATCH_DETAIL_FORWARDING_EXCLUSION_H_

#include <string_view>

namespace jasminehatch::forwarding {

/// @brief Why an upstream of the service does not get a request.
enum class Exclusion {
  kRegion,           ///< Its zone is in no region that the request may use.
  kEvacuated,        ///< The operators evacuate its zone.
  kDraining,         ///< Draining, leaving, or removed from the registry.
  kLoading,          ///< It is loading weights.
  kWeightsUnknown,   ///< The version of its weights is not known.
  kWeightsOutdated,  ///< Its weights are older than the required ones.
  kOtherSoftware,    ///< It has another software version than the stream.
  kPauseRequested,   ///< It asked for no requests for some time.
  kNewSoftware,      ///< Its software version is too new to begin a stream.
  kAlreadyTried,     ///< An earlier attempt at the request used it.
  kCold,             ///< Cold, and this daemon may send it none for now.
  kSuspended,        ///< After failures.
  kPaused,           ///< For a short time after it rejected a request.
  kReplaced,         ///< Another process has its address.
  kZoneUnreachable,  ///< This daemon cannot reach its zone.
  kCount,
};

/// @return the name in explanations, for example `weights_outdated`
std::string_view ToString(Exclusion exclusion);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_EXCLUSION_H_
