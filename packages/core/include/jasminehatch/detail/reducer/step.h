#ifndef JASMINEHATCH_DETAIL_REDUCER_STEP_H_
#define JASMINEHATCH_DETAIL_REDUCER_STEP_H_

#include "jasminehatch/detail/reducer/effect.h"
#include "jasminehatch/detail/reducer/event.h"

namespace jasminehatch {

struct State;

/// @brief The reducer: applies one event to the state of a daemon.
/// @param event what happened; times must not decrease from call to call
/// @param state changed in place
/// @return the effects to execute, in order
Effects Step(const Event& event, State& state);

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_REDUCER_STEP_H_
