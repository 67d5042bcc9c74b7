#ifndef JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_SPEED_H_
#define JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_SPEED_H_

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief How much longer than usual work takes at an upstream that shares its
/// machine with others, as it reports with its responses.
class UpstreamSpeed {
 public:
  /// @param slowdown duration of work relative to the usual one, which is 1
  void OnReport(double slowdown, MonotonicTime now);

  /// @return the expected slowdown; returns to 1 as the last report ages
  double SlowdownAt(MonotonicTime now) const;

 private:
  double m_slowdown = 1;  ///< Moving average, at `m_reported_at`.
  MonotonicTime m_reported_at{};
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_SPEED_H_
