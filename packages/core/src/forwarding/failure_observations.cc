#include "jasminehatch/detail/forwarding/failure_observations.h"

#include <algorithm>
#include <cstddef>

namespace jasminehatch::forwarding {

bool FailureObservations::RecordNewest(UpstreamFailure failure,
                                       MonotonicTime observed_at) {
  auto& newest = m_newest.at(static_cast<std::size_t>(failure));
  if (newest && observed_at - *newest <= kSameFailureTime) {
    return false;
  }
  newest = observed_at;
  ++m_count;
  return true;
}

bool FailureObservations::OnOwnFailure(UpstreamFailure failure,
                                       MonotonicTime now) {
  // The own failure counts as the first report, so that reports do not extend
  // the exclusion beyond `kReportLimit` after it.
  m_reported_since = now;
  return RecordNewest(failure, now);
}

void FailureObservations::OnResponse(MonotonicTime now) {
  m_responded_at = now;
  m_reported_since.reset();
  m_suspended_until.reset();
}

std::optional<MonotonicTime> FailureObservations::OnReport(
    UpstreamFailure failure,
    MonotonicTime observed_at,
    MonotonicTime now) {
  if (now - observed_at >= kReportLimit || RespondedSince(observed_at) ||
      !RecordNewest(failure, observed_at)) {
    return std::nullopt;
  }
  if (!m_reported_since || now - *m_reported_since >= 2 * kReportLimit) {
    m_reported_since = now;
  }
  const MonotonicTime limit = *m_reported_since + kReportLimit;
  return now < limit ? std::optional(limit) : std::nullopt;
}

void FailureObservations::Suspend(MonotonicTime until) {
  m_suspended_until = std::max(m_suspended_until.value_or(until), until);
}

}  // namespace jasminehatch::forwarding
