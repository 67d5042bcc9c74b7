#ifndef JASMINEHATCH_DETAIL_REDUCER_STATE_H_
#define JASMINEHATCH_DETAIL_REDUCER_STATE_H_

#include <optional>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/booking/state.h"
#include "jasminehatch/detail/config/state.h"
#include "jasminehatch/detail/membership/state.h"
#include "jasminehatch/detail/serving/state.h"

namespace jasminehatch {

/// @brief State of one daemon: the states of all its reducers.
struct State {
  serving::State serving;
  booking::State booking;
  config::State config;
  membership::State membership;

  /// @return when the next `TimerFired` is due, if at all
  std::optional<MonotonicTime> NextTimer() const;
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_REDUCER_STATE_H_
