#include "jasminehatch/detail/routing/cold_use.h"

#include <algorithm>

#include "jasminehatch/detail/routing/fleet_members.h"
#include "jasminehatch/detail/routing/warm_up_state.h"

namespace jasminehatch {

std::optional<ColdUse> ColdUseOf(const std::string& id,
                                 const WarmUpState& warm_up,
                                 const WarmUpSpec& spec,
                                 WarmUpLimiter& limiter,
                                 FleetMembers& members,
                                 const WarmUpDivision& division,
                                 MonotonicTime now) {
  const auto cold_until = warm_up.ColdUntil(now);
  if (!cold_until) {
    return std::nullopt;
  }
  ColdUse use;
  use.cold_until = *cold_until;
  use.share = limiter.ShareOf(id, spec, members, division, now);
  // Until the fleet is known, the share is none and says nothing of later.
  const auto room_at = members.IsSettled(now)
                           ? limiter.RoomAt(id, use.share, now)
                           : members.SettledAt();
  use.room_at = std::min(*cold_until, room_at.value_or(*cold_until));
  return use;
}

}  // namespace jasminehatch
