#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
#include <vector>

#include "jasminehatch/detail/forwarder/crash_report_queue.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::MonotonicTime;
using jasminehatch::daemon::CrashReportQueue;
using jasminehatch::forwarding::CrashReport;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{1h};

CrashReport ReportWithParts(std::uint64_t upstream, std::size_t parts) {
  CrashReport report{1, upstream, {}, 3, 0s};
  for (std::uint64_t part = 1; part <= parts; ++part) {
    report.parts.push_back(part);
  }
  return report;
}

}  // namespace

TEST_GROUP_BASE(CrashReportQueue, jasminehatch::testing::LeakDetectorOff){};

// Guards against parts of a long prompt that are never sent, or are sent in one
// message that is too large for a datagram.
TEST(CrashReportQueue, AllPartsAreSentInMessagesOfABoundedSize) {
  constexpr std::size_t kParts = 3900;
  CrashReportQueue queue;
  queue.Add(ReportWithParts(2, kParts), kNow);
  std::multiset<std::uint64_t> sent;
  while (queue.PendingBytes() > 0) {
    std::size_t in_message = 0;
    for (const CrashReport& report : queue.Take(kNow)) {
      CHECK(report.parts.size() <= CrashReportQueue::kMaxPartsPerReport);
      UNSIGNED_LONGS_EQUAL(2, report.upstream);
      sent.insert(report.parts.begin(), report.parts.end());
      in_message += report.parts.size();
    }
    CHECK(in_message > 0);
    CHECK(in_message * sizeof(std::uint64_t) <=
          CrashReportQueue::kMaxMessageBytes);
  }
  for (std::uint64_t part = 1; part <= kParts; ++part) {
    UNSIGNED_LONGS_EQUAL(CrashReportQueue::kMessages, sent.count(part));
  }
}

// Guards against a report whose age is that at the first message.
TEST(CrashReportQueue, ReportsAge) {
  CrashReportQueue queue;
  CrashReport report{1, 2, {4}, 3, 10ms};
  queue.Add(report, kNow);
  queue.Take(kNow);
  report.age = 60ms;
  CHECK(queue.Take(kNow + 50ms) == std::vector{report});
}

// Guards against unbounded memory, and against dropping the few reports that
// tell the cause of a crash for those of its many victims.
TEST(CrashReportQueue, ReportsWithoutPartsAreDroppedFirst) {
  CrashReportQueue queue;
  queue.Add(ReportWithParts(2, 1), kNow);
  for (std::uint64_t victim = 0; victim < 20'000; ++victim) {
    queue.Add(CrashReport{victim, 2}, kNow);
    CHECK(queue.PendingBytes() <= CrashReportQueue::kMaxPendingBytes);
  }
  const auto reports = queue.Take(kNow);
  CHECK(std::any_of(reports.begin(), reports.end(),
                    [](const CrashReport& r) { return !r.parts.empty(); }));
}
