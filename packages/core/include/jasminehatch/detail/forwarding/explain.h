#ifndef JASMINEHATCH_DETAIL_FORWARDING_EXPLAIN_H_
#define JASMINEHATCH_DETAIL_FORWARDING_EXPLAIN_H_

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/explanation.h"

namespace jasminehatch::forwarding {

struct State;

/// @brief Explains what would happen to a request that arrives now.
///
/// Runs the decisions of `Step` on the arrival, but executes none. Requests
/// that crashed upstreams are known by their whole body, so that only their
/// prompt parts are checked unless `arrival.fingerprint` is set. Linear in the
/// number of the service's upstreams times that of the prompt parts.
/// @param state not changed, except that caches of it are refreshed: the sums
/// of the load reports, the ended members of the fleet, and the ranks for
/// cold upstreams
/// @param arrival `request` and `random` are ignored
/// @param now the time of the decision
Explanation Explain(State& state,
                    const RequestReceived& arrival,
                    MonotonicTime now);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_EXPLAIN_H_
