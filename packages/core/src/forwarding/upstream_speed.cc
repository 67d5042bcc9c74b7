#include "jasminehatch/detail/forwarding/upstream_speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jasminehatch::forwarding {
namespace {

/// Weight of a report in the moving average. The reported figure changes many
/// times a second, so a single one says little.
constexpr double kReportWeight = 0.3;

/// Time in which what is known of a slowdown loses half of its weight. Slow
/// phases last for some seconds.
constexpr std::chrono::duration<double> kHalfLife{2};

/// Reports are limited to this range, so that one wrong figure neither hides an
/// upstream nor attracts all requests to it.
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 10;

}  // namespace

void UpstreamSpeed::OnReport(double slowdown, MonotonicTime now) {
  const double known = SlowdownAt(now);
  const double reported = std::clamp(slowdown, kMinSlowdown, kMaxSlowdown);
  m_slowdown = known + (reported - known) * kReportWeight;
  m_reported_at = now;
}

double UpstreamSpeed::SlowdownAt(MonotonicTime now) const {
  const std::chrono::duration<double> age = now - m_reported_at;
  return 1 + (m_slowdown - 1) * std::exp2(-(age / kHalfLife));
}

}  // namespace jasminehatch::forwarding
