#ifndef JASMINEHATCH_DETAIL_FORWARDING_WARM_UP_H_
#define JASMINEHATCH_DETAIL_FORWARDING_WARM_UP_H_

#include <optional>
#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/routing/cold_use.h"

namespace jasminehatch {

struct WarmUpSpec;

}  // namespace jasminehatch

namespace jasminehatch::forwarding {

struct Options;
struct State;
struct Upstream;

/// @return the warm-up of the service in the newest configuration, or null if
/// its upstreams have none
const WarmUpSpec* FindWarmUp(const State& state, const std::string& service);

/// @return how the options divide the rate of a cold upstream
WarmUpDivision DivisionOf(const Options& options);

/// @return how far the upstream may be used, or nothing if it is not cold
std::optional<ColdUse> DescribeColdUse(State& state,
                                       const Upstream& upstream,
                                       const WarmUpSpec& spec,
                                       MonotonicTime now);

/// @return the load of a cold upstream relative to its capacity, which grows
/// with the part of the warm-up that has passed
/// @param load relative to the capacity of the warm upstream
double ColdLoad(double load,
                const ColdUse& use,
                const WarmUpSpec& spec,
                MonotonicTime now);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_WARM_UP_H_
