#include "jasminehatch/detail/blocks/placement.h"

#include <algorithm>

namespace jasminehatch::blocks {

Duration ExpectedReuse(const ContextUse& use,
                       const Options& options,
                       MonotonicTime now) {
  const Duration idle = now - use.last_used;
  const Duration gap = use.gap.value_or(options.default_gap);
  return idle < gap ? gap - idle : idle;
}

bool IsReuseExpected(const ContextUse& use,
                     const Options& options,
                     MonotonicTime now) {
  return ExpectedReuse(use, options, now) <= options.max_gap;
}

double ValuePerByteHour(const ContextUse& use,
                        std::uint64_t bytes,
                        const Options& options,
                        MonotonicTime now) {
  const double hours = std::chrono::duration<double, std::ratio<3600>>(
                           ExpectedReuse(use, options, now))
                           .count();
  // Times below 36 s count as equal.
  return use.recompute_seconds_per_block /
         (static_cast<double>(std::max<std::uint64_t>(1, bytes)) *
          std::max(0.01, hours));
}

void UpdateUse(ContextUse& use,
               double recompute_seconds_per_block,
               const Options& options,
               MonotonicTime now) {
  if (use.last_used != MonotonicTime{}) {
    const Duration gap = now - use.last_used;
    use.gap = use.gap ? std::chrono::duration_cast<Duration>(
                            *use.gap * (1 - options.gap_weight) +
                            gap * options.gap_weight)
                      : gap;
  }
  use.last_used = now;
  use.recompute_seconds_per_block = recompute_seconds_per_block;
}

}  // namespace jasminehatch::blocks
