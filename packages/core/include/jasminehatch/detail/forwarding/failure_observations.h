#ifndef JASMINEHATCH_DETAIL_FORWARDING_FAILURE_OBSERVATIONS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_FAILURE_OBSERVATIONS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/upstream_failure_report.h"
#include "jasminehatch/detail/forwarding/upstream_replacement.h"

namespace jasminehatch::forwarding {

/// @brief What this daemon and others observed of the failures of one process
/// of an upstream, and which reports this daemon follows.
class FailureObservations {
 public:
  /// Failures of one kind within this time are one, since many daemons observe
  /// it and the transit time of their messages varies.
  static constexpr std::chrono::milliseconds kSameFailureTime{400};

  /// Time from the first report until which reports alone can exclude the
  /// upstream. For the same time afterwards, reports are ignored. An own failed
  /// attempt confirms the reports. Thus an upstream that answers returns even
  /// if a daemon goes on reporting it wrongly.
  static constexpr Duration kReportLimit = UpstreamReplacement::kTimeLimit;

  /// Records a failed attempt of this daemon.
  /// @return whether the failure was not known yet
  bool OnOwnFailure(UpstreamFailure failure, MonotonicTime now);

  /// Records a response of the process.
  void OnResponse(MonotonicTime now);

  /// Records a report.
  /// @return the latest time until which the report may exclude the upstream;
  /// nothing if it is ignored
  std::optional<MonotonicTime> OnReport(UpstreamFailure failure,
                                        MonotonicTime observed_at,
                                        MonotonicTime now);

  /// Excludes the upstream after a report that it refused a connection.
  void Suspend(MonotonicTime until);

  /// @return the number of known failures of the process
  std::uint32_t Count() const { return m_count; }

  /// @return the end of the latest such exclusion, if there was one
  std::optional<MonotonicTime> SuspendedUntil() const {
    return m_suspended_until;
  }

  /// @return whether the process answered at or after a time
  bool RespondedSince(MonotonicTime time) const {
    return m_responded_at && *m_responded_at >= time;
  }

 private:
  /// @return whether the failure was not known yet
  bool RecordNewest(UpstreamFailure failure, MonotonicTime observed_at);

  std::optional<MonotonicTime> m_responded_at;
  /// The newest known failure of each kind.
  std::array<std::optional<MonotonicTime>, 2> m_newest;
  /// First report since the last outcome of an own attempt, if any.
  std::optional<MonotonicTime> m_reported_since;
  std::optional<MonotonicTime> m_suspended_until;
  std::uint32_t m_count = 0;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_FAILURE_OBSERVATIONS_H_
