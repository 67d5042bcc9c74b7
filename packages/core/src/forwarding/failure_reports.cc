#include "jasminehatch/detail/forwarding/failure_reports.h"

#include "jasminehatch/detail/forwarding/upstream_directory.h"

namespace jasminehatch::forwarding {

void FailureReports::Add(const Upstream& upstream,
                         UpstreamFailure failure,
                         MonotonicTime observed_at,
                         bool forwarded,
                         MonotonicTime now) {
  const UpstreamEntry& entry = upstream.entry;
  std::erase_if(m_pending, [&](const Pending& pending) {
    const bool superseded =
        pending.upstream == entry.id &&
        (pending.failure == failure || failure == UpstreamFailure::kReplaced);
    return superseded || pending.until <= now;
  });
  if (m_pending.size() == kMaxReports) {
    m_pending.pop_front();
  }
  m_pending.push_back({entry.id, entry.started_at, entry.address, failure,
                       forwarded, observed_at, now + kRepeatTime});
}

std::vector<UpstreamFailureReport> FailureReports::ForMessage(
    const UpstreamDirectory& upstreams,
    MonotonicTime now) const {
  std::vector<UpstreamFailureReport> reports;
  for (const Pending& pending : m_pending) {
    if (pending.until <= now) {
      continue;
    }
    const Upstream* upstream = upstreams.Find(pending.upstream);
    if (upstream == nullptr ||
        upstream->entry.started_at != pending.started_at ||
        upstream->entry.address != pending.address ||
        upstream->failures.RespondedSince(pending.observed_at)) {
      continue;
    }
    reports.push_back({pending.upstream, pending.started_at, pending.failure,
                       now - pending.observed_at, pending.forwarded});
  }
  return reports;
}

}  // namespace jasminehatch::forwarding
