#include "jasminehatch/detail/serving/version_group.h"

#include <chrono>

namespace jasminehatch::serving {
namespace {

/// Weight of the latest gap in the moving average of the time between
/// dispatches.
constexpr double kGapWeight = 0.1;

}  // namespace

void VersionGroup::RecordDispatch(MonotonicTime now) {
  const double gap = std::chrono::duration<double>(now - last_dispatch).count();
  dispatch_gap_seconds =
      dispatch_gap_seconds == 0
          ? gap
          : (1 - kGapWeight) * dispatch_gap_seconds + kGapWeight * gap;
  last_dispatch = now;
}

}  // namespace jasminehatch::serving
