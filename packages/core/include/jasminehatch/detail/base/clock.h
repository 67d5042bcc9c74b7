#ifndef JASMINEHATCH_DETAIL_BASE_CLOCK_H_
#define JASMINEHATCH_DETAIL_BASE_CLOCK_H_

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch {

/// @brief Source of time; tests and benchmarks replace it with simulated time.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @return monotonic time; never decreases
  virtual MonotonicTime Now() const = 0;

  /// @return wall-clock time; may jump
  virtual WallTime WallNow() const = 0;
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_CLOCK_H_
