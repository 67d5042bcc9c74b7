#ifndef JASMINEHATCH_DETAIL_BASE_EXPONENTIAL_DELAY_H_
#define JASMINEHATCH_DETAIL_BASE_EXPONENTIAL_DELAY_H_

#include <algorithm>
#include <cstdint>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch {

/// @param first delay after the first failure
/// @param failures number of failures before the latest one
/// @return the delay after the latest failure: `first`, doubled for each
/// earlier failure, and at most `max`
inline Duration ExponentialDelay(Duration first,
                                 std::uint32_t failures,
                                 Duration max) {
  // Keeps the product within the range of `Duration`.
  constexpr std::uint32_t kMaxDoublings = 10;
  return std::min(first * (1U << std::min(failures, kMaxDoublings)), max);
}

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_EXPONENTIAL_DELAY_H_
