#ifndef JASMINEHATCH_DETAIL_ROLLOUT_STEP_H_
#define JASMINEHATCH_DETAIL_ROLLOUT_STEP_H_

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/rollout/effect.h"
#include "jasminehatch/detail/rollout/event.h"

namespace jasminehatch::rollout {

struct State;

/// @brief Applies one event.
///
/// Orders loads so that each upstream reaches its wanted weight version. The
/// number of concurrent loads is bounded, the last upstream that serves a
/// version in use is never ordered to load other weights, and after a failure
/// no load is ordered until a new configuration is in force.
/// @param event what happened
/// @param now monotonic time of the event; must not decrease from call to call
/// @param state changed in place
/// @return the effects to execute, in order
Effects Step(const Event& event, MonotonicTime now, State& state);

}  // namespace jasminehatch::rollout

#endif  // JASMINEHATCH_DETAIL_ROLLOUT_STEP_H_
