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
struct Scene {
  Scene() : checker({}) {
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
  Scene scene;
  scene.Run("once");
  scene.checker.OnResponse("once", {200, "s", "answer to once", true});
  scene.Run("again", "s1");
  scene.Run("again", "s2");
  scene.checker.OnResponse("again", {200, "s2", "answer to again", true});
  scene.Run("stream");
  scene.checker.OnResponse("stream", {200, "s", Events(1, 5), true});
  scene.checker.OnNoResponse("again", true, false);
  // A request that crossed the close of the connection by a stopping daemon.
  scene.checker.OnSent("crossed", RequestKind::kOnce, "key", kStart);
  scene.checker.OnNoResponse("crossed", false, true);
  scene.checker.OnRecovered(10, 10);
  scene.checker.Finish();
  CHECK(scene.checker.Violations().empty());
}

TEST(GuaranteeChecker, SeesASecondRun) {
  Scene scene;
  scene.Run("once");
  scene.Run("once");
  CHECK(scene.HasOnlyViolation("ran twice"));
}

TEST(GuaranteeChecker, SeesAFalseNotRunStatusInEitherOrder) {
  Scene ran_before;
  ran_before.Run("once");
  ran_before.checker.OnResponse("once", {503, "", "", true});
  CHECK(ran_before.HasOnlyViolation("said not to have run"));
  Scene ran_after;
  ran_after.checker.OnResponse("once", {429, "", "", true});
  ran_after.Run("once");
  CHECK(ran_after.HasOnlyViolation("after it was said not to run"));
}

TEST(GuaranteeChecker, SeesForeignAndChangedResponses) {
  Scene foreign;
  foreign.Run("once");
  foreign.checker.OnResponse("once", {200, "other", "answer to once", true});
  CHECK(foreign.HasOnlyViolation("signature"));
  Scene changed;
  changed.Run("once");
  changed.checker.OnResponse("once", {200, "s", "answer to another", true});
  CHECK(changed.HasOnlyViolation("another body"));
}

TEST(GuaranteeChecker, SeesMissingRepeatedAndTruncatedEvents) {
  for (const std::string& body : {Events(1, 2) + Events(4, 5),
                                  Events(1, 3) + Events(3, 5), Events(1, 3)}) {
    Scene scene;
    scene.Run("stream");
    scene.checker.OnResponse("stream", {200, "s", body, true});
    CHECK(scene.HasOnlyViolation("events"));
  }
}

TEST(GuaranteeChecker, SeesUseOfARevokedKey) {
  Scene scene;
  scene.checker.OnKeyRevoked("key", kStart);
  scene.checker.OnSent("late", RequestKind::kOnce, "key", kStart + 5s);
  scene.checker.OnRan("late", "s", "w", "");
  CHECK(scene.HasOnlyViolation("with a revoked key"));
}

TEST(GuaranteeChecker, SeesAForgedWorkspaceAndAForwardedKey) {
  Scene workspace;
  workspace.checker.OnRan("once", "s", "forged", "");
  CHECK(workspace.HasOnlyViolation("another workspace"));
  Scene key;
  key.checker.OnRan("once", "s", "w", "Token key");
  CHECK(key.HasOnlyViolation("received the caller's key"));
}

TEST(GuaranteeChecker, SeesRequestsThatNoCallerSent) {
  Scene scene;
  scene.checker.OnArrived("smuggled", kStart);
  CHECK(scene.HasOnlyViolation("no caller sent"));
}

TEST(GuaranteeChecker, SeesTooManyRetries) {
  Scene scene;
  for (int i = 0; i < 60; ++i) {
    scene.checker.OnArrived("again", kStart + i * 10ms);
  }
  scene.checker.Finish();
  CHECK(scene.HasOnlyViolation("more retries"));
}

TEST(GuaranteeChecker, SeesLostAndOverdueRequests) {
  Scene lost;
  lost.checker.OnNoResponse("once", false, false);
  CHECK(lost.HasOnlyViolation("without a response"));
  Scene stopped;
  stopped.Run("once");
  stopped.checker.OnNoResponse("once", false, true);
  CHECK(stopped.HasOnlyViolation("without a response"));
  Scene overdue;
  overdue.checker.OnOverdue("once", false);
  CHECK(overdue.HasOnlyViolation("by the deadline"));
}

TEST(GuaranteeChecker, SeesFailedDaemons) {
  Scene exit;
  exit.checker.OnExit("entry-0");
  CHECK(exit.HasOnlyViolation("exited unexpectedly"));
  Scene memory;
  memory.checker.OnMemory("entry-0", 101, 100);
  memory.checker.OnMemory("entry-0", 102, 100);
  CHECK(memory.HasOnlyViolation("more memory"));
  Scene recovery;
  recovery.checker.OnRecovered(8, 10);
  CHECK(recovery.HasOnlyViolation("not served again"));
  // An empty sample proves nothing.
  Scene empty;
  empty.checker.OnRecovered(0, 0);
  CHECK(empty.HasOnlyViolation("not served again"));
}
