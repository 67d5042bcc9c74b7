#include <algorithm>
#include <string>

#include "jasminehatch/detail/forwarding/state.h"
#include "reducer.h"

namespace jasminehatch::forwarding {

void Reducer::RecordUpstreamFailure(Upstream& upstream,
                                    UpstreamFailure failure) {
  // While no upstream can be reached, failures tell of this daemon's link.
  if (upstream.failures.OnOwnFailure(failure, m_now) &&
      !m_state.reachability.IsCut()) {
    m_state.failure_reports.Add(upstream, failure, m_now, /*forwarded=*/false,
                                m_now);
    if (failure == UpstreamFailure::kReplaced) {
      LogUpstreamFailure(upstream, failure, Duration::zero(),
                         m_state.options.daemon);
    }
  }
}

void Reducer::RecordConnectFailure(Upstream& upstream, ConnectFailure failure) {
  switch (failure) {
    case ConnectFailure::kRefused:
      RecordUpstreamFailure(upstream, UpstreamFailure::kRefused);
      return;
    case ConnectFailure::kTimedOut:
      RecordConnectTimeout(upstream);
      return;
    case ConnectFailure::kNone:
      return;
  }
}

void Reducer::Apply(const UpstreamFailuresReported& event) {
  for (const UpstreamFailureReport& report : event.reports) {
    ApplyFailureReport(report, event.reporter);
  }
}

void Reducer::LogUpstreamFailure(const Upstream& upstream,
                                 UpstreamFailure failure,
                                 Duration age,
                                 const std::string& reporter) {
  const bool replaced = failure == UpstreamFailure::kReplaced;
  m_effects.emplace_back(
      CountEvent{replaced ? Counter::kUpstreamReplaced
                          : Counter::kUpstreamReportedUnreachable});
  LogStateChange(
      replaced ? "upstream_replaced" : "upstream_reported_unreachable",
      {{"upstream", upstream.entry.id},
       {"failures", std::to_string(upstream.failures.Count())},
       {"age_ms", Milliseconds(age)},
       {"reporter", reporter}});
}

bool Reducer::IsExcludedAfterFailure(const Upstream& upstream) const {
  const auto suspended_until = upstream.SuspendedUntil();
  return upstream.replacement.HoldsAt(m_now) ||
         (suspended_until && m_now < *suspended_until);
}

void Reducer::ApplyFailureReport(const UpstreamFailureReport& report,
                                 const std::string& reporter) {
  Upstream* upstream = m_state.upstreams.Find(report.upstream);
  if (upstream == nullptr || upstream->entry.started_at != report.started_at) {
    return;
  }
  const MonotonicTime observed_at = m_now - report.age;
  const auto limit =
      upstream->failures.OnReport(report.failure, observed_at, m_now);
  if (!limit) {
    return;
  }
  const bool was_excluded = IsExcludedAfterFailure(*upstream);
  switch (report.failure) {
    case UpstreamFailure::kReplaced:
      if (!upstream->replacement.OnReported(observed_at, *limit, m_now)) {
        return;
      }
      break;
    case UpstreamFailure::kRefused:
      if (report.age >= m_state.options.suspend_time) {
        return;
      }
      upstream->failures.Suspend(
          std::min(observed_at + m_state.options.suspend_time, *limit));
      PresumeCold(*upstream);
      break;
  }
  if (!was_excluded) {
    LogUpstreamFailure(*upstream, report.failure, report.age, reporter);
  }
  if (!report.forwarded) {
    m_state.failure_reports.Add(*upstream, report.failure, observed_at,
                                /*forwarded=*/true, m_now);
  }
}

}  // namespace jasminehatch::forwarding
