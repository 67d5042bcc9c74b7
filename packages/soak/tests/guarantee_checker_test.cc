// Each test violates a guarantee on purpose and expects the checker to report
// it.

#include "jasminehatch/detail/soak/guarantee_checker.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::soak;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart{1h};
constexpr char kProcess[] = "entry-0 start 1";

/// @brief A checker that knows one key and one request of each kind.
struct Fixture {
  Fixture() : checker({}) {
    checker.OnConfiguration(1, {{"key", "w"}});
    checker.OnAcknowledged(1, kStart);
    checker.OnSent("once", RequestKind::kOnce, "key", kProcess, kStart);
    checker.OnSent("again", RequestKind::kIdempotent, "key", kProcess, kStart);
    checker.OnSent("stream", RequestKind::kStream, "key", kProcess, kStart);
  }

  void Run(const std::string& id, const std::string& signature = "s") {
    checker.OnArrived(id, kStart);
    checker.OnRan(id, signature, "w", "", kProcess);
  }

  bool HasOnlyViolation(const std::string& text) const {
    return checker.Violations().size() == 1 &&
           checker.Violations()[0].find(text) != std::string::npos;
  }

  GuaranteeChecker checker;
};

std::string Events(std::size_t from, std::size_t to) {
  std::string text;
  for (std::size_t i = from; i <= to; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: x\n\n";
  }
  return text;
}

}  // namespace

TEST_GROUP_BASE(GuaranteeChecker, jasminehatch::testing::LeakDetectorOff){};

TEST(GuaranteeChecker, AcceptsKeptGuarantees) {
  Fixture fixture;
  fixture.Run("once");
  fixture.checker.OnResponse("once", {200, "s", "answer to once", true});
  fixture.Run("again", "s1");
  fixture.Run("again", "s2");
  fixture.checker.OnResponse("again", {200, "s2", "answer to again", true});
  fixture.Run("stream");
  fixture.checker.OnResponse("stream", {200, "s", Events(1, 5), true});
  fixture.checker.OnNoResponse("again", true, false);
  // A request that was sent while a stopping daemon closed the connection.
  fixture.checker.OnSent("crossed", RequestKind::kOnce, "key", kProcess,
                         kStart);
  fixture.checker.OnNoResponse("crossed", false, true);
  fixture.checker.OnRecovered(10, 10);
  fixture.checker.Finish();
  CHECK(fixture.checker.Violations().empty());
}

TEST(GuaranteeChecker, ReportsASecondRun) {
  Fixture fixture;
  fixture.Run("once");
  fixture.Run("once");
  CHECK(fixture.HasOnlyViolation("ran twice"));
}

TEST(GuaranteeChecker, ReportsAFalseNotRunStatusInEitherOrder) {
  Fixture ran_before;
  ran_before.Run("once");
  ran_before.checker.OnResponse("once", {503, "", "", true});
  CHECK(ran_before.HasOnlyViolation("said not to have run"));
  Fixture ran_after;
  ran_after.checker.OnResponse("once", {429, "", "", true});
  ran_after.Run("once");
  CHECK(ran_after.HasOnlyViolation("after it was said not to run"));
}

TEST(GuaranteeChecker, ReportsForeignAndChangedResponses) {
  Fixture foreign;
  foreign.Run("once");
  foreign.checker.OnResponse("once", {200, "other", "answer to once", true});
  CHECK(foreign.HasOnlyViolation("signature"));
  Fixture changed;
  changed.Run("once");
  changed.checker.OnResponse("once", {200, "s", "answer to another", true});
  CHECK(changed.HasOnlyViolation("another body"));
}

TEST(GuaranteeChecker, ReportsMissingRepeatedAndTruncatedEvents) {
  for (const std::string& body : {Events(1, 2) + Events(4, 5),
                                  Events(1, 3) + Events(3, 5), Events(1, 3)}) {
    Fixture fixture;
    fixture.Run("stream");
    fixture.checker.OnResponse("stream", {200, "s", body, true});
    CHECK(fixture.HasOnlyViolation("events"));
  }
}

TEST(GuaranteeChecker, ReportsUseOfARevokedKey) {
  Fixture fixture;
  fixture.checker.OnConfiguration(2, {});
  fixture.checker.OnAcknowledged(2, kStart);
  fixture.checker.OnSent("late", RequestKind::kOnce, "key", kProcess,
                         kStart + 5s);
  fixture.checker.OnRan("late", "s", "w", "", kProcess);
  CHECK(fixture.HasOnlyViolation("with a revoked key"));
}

// Guards against a drill after which an acknowledgement is forgotten: the
// operator writes its newest configuration again, and that must not extend the
// time for which a revoked key may be used.
TEST(GuaranteeChecker,
     ReportsUseOfARevokedKeyAfterItsConfigurationWasRewritten) {
  Fixture fixture;
  fixture.checker.OnConfiguration(2, {});
  fixture.checker.OnAcknowledged(2, kStart);
  fixture.checker.OnAcknowledged(2, kStart + 4s);
  fixture.checker.OnSent("late", RequestKind::kOnce, "key", kProcess,
                         kStart + 5s);
  fixture.checker.OnRan("late", "s", "w", "", "entry-0 start 2");
  CHECK(fixture.HasOnlyViolation("with a revoked key"));
}

TEST(GuaranteeChecker, ReportsAConfigurationThatIsNotInForce) {
  for (const auto& [sent_after, is_late] :
       {std::pair{5s, false}, std::pair{6s, true}}) {
    Fixture fixture;
    fixture.checker.OnConfiguration(2, {{"key", "w"}, {"added", "w"}});
    fixture.checker.OnAcknowledged(2, kStart);
    fixture.checker.OnSent("late", RequestKind::kOnce, "added", kProcess,
                           kStart + sent_after);
    fixture.checker.OnKeyRefused("late", kProcess, std::nullopt);
    CHECK(fixture.checker.Violations().empty());
    fixture.checker.OnKeyRefused("late", kProcess, kStart);
    CHECK(fixture.checker.Violations().empty() != is_late);
    CHECK(!is_late || fixture.HasOnlyViolation("not in force"));
  }
}

// A key that a configuration has removed, and one that no acknowledged
// configuration has, may be refused.
TEST(GuaranteeChecker, AcceptsTheRefusalOfKeysThatNeedNotBeInForce) {
  Fixture fixture;
  fixture.checker.OnConfiguration(2, {{"added", "w"}});
  fixture.checker.OnSent("late", RequestKind::kOnce, "key", kProcess,
                         kStart + 1h);
  fixture.checker.OnSent("early", RequestKind::kOnce, "added", kProcess,
                         kStart + 1h);
  fixture.checker.OnKeyRefused("late", kProcess, kStart);
  fixture.checker.OnKeyRefused("early", kProcess, kStart);
  CHECK(fixture.checker.Violations().empty());
}

TEST(GuaranteeChecker, ReportsAConfigurationThatReverts) {
  Fixture refused;
  refused.checker.OnConfiguration(2, {{"key", "w"}, {"added", "w"}});
  refused.checker.OnSent("before", RequestKind::kOnce, "added", kProcess,
                         kStart);
  refused.checker.OnRan("before", "s", "w", "", kProcess);
  refused.checker.OnSent("after", RequestKind::kOnce, "added", kProcess,
                         kStart);
  refused.checker.OnKeyRefused("after", kProcess, std::nullopt);
  CHECK(refused.HasOnlyViolation("an added key was refused"));
  Fixture accepted;
  accepted.checker.OnConfiguration(2, {{"added", "w"}});
  accepted.checker.OnSent("before", RequestKind::kOnce, "added", kProcess,
                          kStart);
  accepted.checker.OnRan("before", "s", "w", "", kProcess);
  accepted.checker.OnSent("after", RequestKind::kOnce, "key", kProcess, kStart);
  accepted.checker.OnRan("after", "s", "w", "", kProcess);
  CHECK(accepted.HasOnlyViolation("a removed key was accepted"));
}

// Another process may have the older configuration, and a request that crossed
// the change may have been authorized before it.
TEST(GuaranteeChecker, AcceptsOlderConfigurationsOfOtherProcesses) {
  Fixture fixture;
  fixture.checker.OnConfiguration(2, {{"added", "w"}});
  fixture.checker.OnSent("added", RequestKind::kOnce, "added", kProcess,
                         kStart);
  fixture.checker.OnSent("crossing", RequestKind::kOnce, "key", kProcess,
                         kStart);
  fixture.checker.OnRan("added", "s", "w", "", kProcess);
  fixture.checker.OnRan("crossing", "s", "w", "", kProcess);
  fixture.checker.OnSent("other", RequestKind::kOnce, "key", "entry-0 start 2",
                         kStart);
  fixture.checker.OnRan("other", "s", "w", "", "entry-0 start 2");
  fixture.checker.OnSent("moved", RequestKind::kIdempotent, "key", kProcess,
                         kStart);
  fixture.checker.OnRan("moved", "s", "w", "", "entry-0 start 2");
  CHECK(fixture.checker.Violations().empty());
}

TEST(GuaranteeChecker, ReportsRequestsToUpstreamsThatLeft) {
  Fixture fixture;
  fixture.checker.OnUpstreamLeaving("upstream-0", kStart);
  fixture.checker.OnUpstreamLeaving("upstream-0", kStart + 3s);
  fixture.checker.OnForwarded("once", "upstream-0", kStart - 1h, kStart + 2s);
  fixture.checker.OnForwarded("once", "upstream-0", kStart, kStart + 5s);
  fixture.checker.OnForwarded("once", "upstream-0", std::nullopt, kStart + 9s);
  fixture.checker.OnForwarded("once", "upstream-1", kStart, kStart + 9s);
  CHECK(fixture.checker.Violations().empty());
  fixture.checker.OnForwarded("once", "upstream-0", kStart - 1h, kStart + 3s);
  CHECK(fixture.HasOnlyViolation("upstream that left"));
  fixture.checker.OnUpstreamReturned("upstream-0");
  fixture.checker.OnForwarded("once", "upstream-0", kStart, kStart + 9s);
  CHECK(fixture.HasOnlyViolation("upstream that left"));
}

TEST(GuaranteeChecker, ReportsAForgedWorkspaceAndAForwardedKey) {
  Fixture workspace;
  workspace.checker.OnRan("once", "s", "forged", "", kProcess);
  CHECK(workspace.HasOnlyViolation("another workspace"));
  Fixture key;
  key.checker.OnRan("once", "s", "w", "Token key", kProcess);
  CHECK(key.HasOnlyViolation("received the caller's key"));
}

TEST(GuaranteeChecker, ReportsRequestsThatNoCallerSent) {
  Fixture fixture;
  fixture.checker.OnArrived("smuggled", kStart);
  CHECK(fixture.HasOnlyViolation("no caller sent"));
}

TEST(GuaranteeChecker, ReportsTooManyRetries) {
  Fixture fixture;
  for (int i = 0; i < 60; ++i) {
    fixture.checker.OnArrived("again", kStart + i * 10ms);
  }
  fixture.checker.Finish();
  CHECK(fixture.HasOnlyViolation("more retries"));
}

TEST(GuaranteeChecker, ReportsLostAndOverdueRequests) {
  Fixture lost;
  lost.checker.OnNoResponse("once", false, false);
  CHECK(lost.HasOnlyViolation("without a response"));
  Fixture stopped;
  stopped.Run("once");
  stopped.checker.OnNoResponse("once", false, true);
  CHECK(stopped.HasOnlyViolation("without a response"));
  Fixture overdue;
  overdue.checker.OnOverdue("once", false);
  CHECK(overdue.HasOnlyViolation("by the deadline"));
}

TEST(GuaranteeChecker, ReportsFailedDaemons) {
  Fixture exit;
  exit.checker.OnExit("entry-0");
  CHECK(exit.HasOnlyViolation("exited unexpectedly"));
  Fixture memory;
  memory.checker.OnMemory("entry-0", 101, 100);
  memory.checker.OnMemory("entry-0", 102, 100);
  CHECK(memory.HasOnlyViolation("more memory"));
  Fixture recovery;
  recovery.checker.OnRecovered(8, 10);
  CHECK(recovery.HasOnlyViolation("not served again"));
  // An empty sample proves nothing.
  Fixture empty;
  empty.checker.OnRecovered(0, 0);
  CHECK(empty.HasOnlyViolation("not served again"));
}
