#ifndef JASMINEHATCH_DETAIL_FORWARDING_STEP_H_
#define JASMINEHATCH_DETAIL_FORWARDING_STEP_H_

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/effect.h"
#include "jasminehatch/detail/forwarding/event.h"

namespace jasminehatch::forwarding {

struct State;

/// @brief Applies one event.
///
/// Decides for each request where it goes, whether it is sent again, and which
/// final answer its caller gets.
/// @param event what happened
/// @param now time of the event, on a clock that counts suspension
/// @param state changed in place
/// @return what is to be done, in order
Effects Step(const Event& event, MonotonicTime now, State& state);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_STEP_H_
