#ifndef JASMINEHATCH_DETAIL_BLOCKS_PLACEMENT_H_
#define JASMINEHATCH_DETAIL_BLOCKS_PLACEMENT_H_

#include <cstdint>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/blocks/options.h"
#include "jasminehatch/detail/blocks/state.h"

namespace jasminehatch::blocks {

/// @return the expected time until the context is used again; for a context
/// that is overdue, the time for which it has been idle
Duration ExpectedReuse(const ContextUse& use,
                       const Options& options,
                       MonotonicTime now);

/// @return whether the next use of the context is expected within
/// `Options::max_gap`
bool IsReuseExpected(const ContextUse& use,
                     const Options& options,
                     MonotonicTime now);

/// @return the recompute seconds that a stored byte saves in an hour; tiers
/// keep the entries with the highest value
double ValuePerByteHour(const ContextUse& use,
                        std::uint64_t bytes,
                        const Options& options,
                        MonotonicTime now);

/// Updates the expected gap and the cost after a use of the context.
void UpdateUse(ContextUse& use,
               double recompute_seconds_per_block,
               const Options& options,
               MonotonicTime now);

}  // namespace jasminehatch::blocks

#endif  // JASMINEHATCH_DETAIL_BLOCKS_PLACEMENT_H_
