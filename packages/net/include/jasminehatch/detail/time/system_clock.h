#ifndef JASMINEHATCH_DETAIL_TIME_SYSTEM_CLOCK_H_
#define JASMINEHATCH_DETAIL_TIME_SYSTEM_CLOCK_H_

#include "jasminehatch/detail/base/clock.h"

namespace jasminehatch::net {

/// @brief The clocks of the operating system.
class SystemClock : public Clock {
 public:
  MonotonicTime Now() const override {
    return std::chrono::steady_clock::now();
  }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_TIME_SYSTEM_CLOCK_H_
