#ifndef JASMINEHATCH_DETAIL_FORWARDING_FAILURE_REPORTS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_FAILURE_REPORTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/upstream_failure_report.h"

namespace jasminehatch::forwarding {

class UpstreamDirectory;
struct Upstream;

/// @brief The failures of upstreams that this daemon reports to others. Memory
/// is bounded; the oldest report is dropped first.
class FailureReports {
 public:
  /// Maximum number of reports, also in each message. A third of the upstreams
  /// of the largest deployment may fail together, and each daemon observes only
  /// some of them itself.
  static constexpr std::size_t kMaxReports = 32;

  /// Each report is in every message for this long. With seven recipients in
  /// ten rounds, most daemons of a zone of 37 get it, and their own messages
  /// reach the other zones.
  static constexpr std::chrono::milliseconds kRepeatTime{1000};

  /// Adds a failure; replaces earlier reports that it supersedes.
  /// @param forwarded whether another daemon reported it
  void Add(const Upstream& upstream,
           UpstreamFailure failure,
           MonotonicTime observed_at,
           bool forwarded,
           MonotonicTime now);

  /// @return the reports for a message that is sent at `now`, without those
  /// whose entry has changed or whose upstream has answered since
  std::vector<UpstreamFailureReport> ForMessage(
      const UpstreamDirectory& upstreams,
      MonotonicTime now) const;

  /// Drops all reports that are still to be sent.
  void Clear() { m_pending.clear(); }

 private:
  struct Pending {
    std::string upstream;
    std::uint64_t started_at = 0;
    std::string address;
    UpstreamFailure failure = UpstreamFailure::kReplaced;
    bool forwarded = false;
    MonotonicTime observed_at{};
    MonotonicTime until{};
  };

  std::deque<Pending> m_pending;  ///< In the order of their end.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_FAILURE_REPORTS_H_
