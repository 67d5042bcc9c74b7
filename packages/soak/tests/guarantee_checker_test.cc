// Each test violates a guarantee on purpose and expects the checker to report
// it.

#include "jasminehatch/detail/soak/guarantee_checker.h"

#include <chrono>
#include <string>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::soak;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kStart{1h};

/// @brief A checker that knows one key and one request of each kind.
struct Fixture {
  Fixture() : checker({}) {
    checker.OnKeyAdded("key", "w");
    checker.OnSent("once", RequestKind::kOnce, "key", kStart);
    checker.OnSent("again", RequestKind::kIdempotent, "key", kStart);
    checker.OnSent("stream", RequestKind::kStream, "key", kStart);
  }

  void Run(const std::string& id, const std::string& signature = "s") {
    checker.OnArrived(id, kStart);
    checker.OnRan(id, signature, "w", "");
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
  fixture.checker.OnSent("crossed", RequestKind::kOnce, "key", kStart);
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
  fixture.checker.OnKeyRevoked("key", kStart);
  fixture.checker.OnSent("late", RequestKind::kOnce, "key", kStart + 5s);
  fixture.checker.OnRan("late", "s", "w", "");
  CHECK(fixture.HasOnlyViolation("with a revoked key"));
}

TEST(GuaranteeChecker, ReportsAForgedWorkspaceAndAForwardedKey) {
  Fixture workspace;
  workspace.checker.OnRan("once", "s", "forged", "");
  CHECK(workspace.HasOnlyViolation("another workspace"));
  Fixture key;
  key.checker.OnRan("once", "s", "w", "Token key");
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
