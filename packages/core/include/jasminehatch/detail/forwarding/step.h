#ifndef JASMINEHATCH_DETAIL_FORWARDING_STEP_H_
#define JASMINEHATCH_DETAIL_FORWARDING_STEP_H_

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/effect.h"
#include "jasminehatch/detail/forwarding/event.h"

namespace jasminehatch::forwarding {

struct State;

/// @brief Applies one event.
///
/// Decides to which upstream each request is sent, whether it is retried, and
/// what its caller receives. Used by `daemon::Forwarder`, which forwards
/// requests on the platform of its users; `daemon::Daemon` uses `serving::Step`
/// instead.
/// @param event what happened
/// @param now time of the event, on a monotonic clock that also advances while
/// the machine is suspended
/// @param state changed in place
/// @return the effects to execute, in order
Effects Step(const Event& event, MonotonicTime now, State& state);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_STEP_H_
