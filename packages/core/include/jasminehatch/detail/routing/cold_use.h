#ifndef JASMINEHATCH_DETAIL_ROUTING_COLD_USE_H_
#define JASMINEHATCH_DETAIL_ROUTING_COLD_USE_H_

#include <optional>
#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/routing/warm_up_limiter.h"

namespace jasminehatch {

class FleetMembers;
class WarmUpState;
struct WarmUpSpec;

/// @brief How far this daemon may use a cold upstream.
struct ColdUse {
  MonotonicTime cold_until{};
  WarmUpShare share;
  /// When this daemon may send a request: the upstream has room, or is warm.
  MonotonicTime room_at{};
};

/// @param id name under which all daemons know the upstream
/// @return how far the upstream may be used, or nothing if it is not cold
std::optional<ColdUse> ColdUseOf(const std::string& id,
                                 const WarmUpState& warm_up,
                                 const WarmUpSpec& spec,
                                 WarmUpLimiter& limiter,
                                 FleetMembers& members,
                                 const WarmUpDivision& division,
                                 MonotonicTime now);

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_ROUTING_COLD_USE_H_
