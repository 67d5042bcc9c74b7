#ifndef JASMINEHATCH_DETAIL_SERVING_BOOKING_PLACEMENT_H_
#define JASMINEHATCH_DETAIL_SERVING_BOOKING_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::serving {

struct State;

/// @brief Chooses the upstream of a booking, and counts the booking if the
/// upstream is cold.
/// @param turn number by which bookings are spread over the upstreams
/// @return the upstream, or nothing if none of the service may be used now
std::optional<UpstreamId> PlaceBooking(State& state,
                                       const std::string& workspace,
                                       const std::string& service,
                                       std::uint64_t turn,
                                       MonotonicTime now);

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_BOOKING_PLACEMENT_H_
