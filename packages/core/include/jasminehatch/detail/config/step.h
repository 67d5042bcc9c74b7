#ifndef JASMINEHATCH_DETAIL_CONFIG_STEP_H_
#define JASMINEHATCH_DETAIL_CONFIG_STEP_H_

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/config/effect.h"
#include "jasminehatch/detail/config/event.h"

namespace jasminehatch::config {

struct State;

/// @brief Applies one event.
/// @param event what happened
/// @param now monotonic time of the event; must not decrease from call to call
/// @param state changed in place
/// @return the effects to execute, in order
Effects Step(const Event& event, MonotonicTime now, State& state);

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_STEP_H_
