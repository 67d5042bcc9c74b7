#ifndef JASMINEHATCH_DETAIL_BASE_PERMILLE_H_
#define JASMINEHATCH_DETAIL_BASE_PERMILLE_H_

#include <cstdint>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch {

/// @return this many thousandths of a duration, which is first rounded down to
/// a multiple of 1,000 ticks
inline Duration PermilleOf(Duration duration, std::uint64_t permille) {
  return duration / 1000 * static_cast<Duration::rep>(permille);
}

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_PERMILLE_H_
