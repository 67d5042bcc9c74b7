#ifndef JASMINEHATCH_DETAIL_BASE_TIME_H_
#define JASMINEHATCH_DETAIL_BASE_TIME_H_

#include <chrono>

namespace jasminehatch {

/// Monotonic time, used for all timeouts, claims and leases. It is never
/// compared across processes.
using MonotonicTime = std::chrono::steady_clock::time_point;

/// Wall-clock time, used only where a duration spans processes, such as the age
/// of an idempotency key.
using WallTime = std::chrono::system_clock::time_point;

using Duration = std::chrono::steady_clock::duration;

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_TIME_H_
