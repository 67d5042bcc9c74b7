#ifndef JASMINEHATCH_DETAIL_TIME_BOOT_CLOCK_H_
#define JASMINEHATCH_DETAIL_TIME_BOOT_CLOCK_H_

#include <ctime>

#include "jasminehatch/detail/base/clock.h"

namespace jasminehatch::net {

/// @brief The clocks of the operating system; monotonic time includes the time
/// in which the machine is suspended, so that leases and freshness proofs also
/// expire during a suspension.
class BootClock : public Clock {
 public:
  MonotonicTime Now() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec));
  }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_DETAIL_TIME_BOOT_CLOCK_H_
