#ifndef JASMINEHATCH_DETAIL_FORWARDER_CRASH_REPORT_QUEUE_H_
#define JASMINEHATCH_DETAIL_FORWARDER_CRASH_REPORT_QUEUE_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/crash_suspects.h"

namespace jasminehatch::daemon {

/// @brief Crash reports that wait to be sent to other daemons.
///
/// A report may have thousands of prompt parts, all of which are sent: it is
/// divided into several, and a message takes as many as fit. Each is in several
/// messages, because messages may be lost.
class CrashReportQueue {
 public:
  /// Maximum number of parts in a report. Builds that know no queue repeat up
  /// to 64 reports in one datagram.
  static constexpr std::size_t kMaxPartsPerReport = 32;

  /// Maximum size of the reports in a message. The whole datagram must not
  /// exceed 64 KiB.
  static constexpr std::size_t kMaxMessageBytes = 6000;

  /// Number of messages in which each report is sent.
  static constexpr int kMessages = 5;

  /// Maximum size of all reports that wait. Reports without parts are dropped
  /// first: a crash has many victims, and the few reports with parts tell its
  /// cause. Among others, the oldest are dropped.
  static constexpr std::size_t kMaxPendingBytes = 256UL * 1024;

  /// Adds a report.
  void Add(const forwarding::CrashReport& report, MonotonicTime now);

  /// @return the reports of the next message, with their ages
  std::vector<forwarding::CrashReport> Take(MonotonicTime now);

  /// @return the size of the reports that wait
  std::size_t PendingBytes() const { return m_bytes; }

 private:
  struct Pending {
    forwarding::CrashReport report;
    MonotonicTime added_at{};
    int messages_left = kMessages;
  };

  void Push(forwarding::CrashReport report, MonotonicTime now);
  void DropOne();

  std::deque<Pending> m_pending;  ///< In the order of sending.
  std::size_t m_bytes = 0;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_CRASH_REPORT_QUEUE_H_
