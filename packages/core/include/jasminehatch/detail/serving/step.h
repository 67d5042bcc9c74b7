#ifndef JASMINEHATCH_DETAIL_SERVING_STEP_H_
#define JASMINEHATCH_DETAIL_SERVING_STEP_H_

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/effect.h"
#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch::serving {

struct State;

/// @brief Applies one event.
///
/// Decides to which upstream each prompt or idempotent call of a plain service
/// is sent, whether it is retried, and what its caller receives. Used by
/// `daemon::Daemon`, which has its own HTTP interface; on the platform of its
/// users, `daemon::Forwarder` uses `forwarding::Step` instead.
/// @param event what happened
/// @param now monotonic time of the event; must not decrease from call to call
/// @param state changed in place
/// @return the effects to execute, in order
Effects Step(const Event& event, MonotonicTime now, State& state);

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_STEP_H_
