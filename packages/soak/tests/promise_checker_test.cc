// Each promise is broken on purpose, and the checker has to see it.

#include "jasminehatch/detail/soak/promise_checker.h"

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
    checker.OnKeyGiven("key", "w");
    checker.OnSent("once", RequestKind::kOnce, "key", kStart);
    checker.OnSent("again", RequestKind::kIdempotent, "key", kStart);
    checker.OnSent("stream", RequestKind::kStream, "key", kStart);
  }

  void Run(const std::string& id, const std::string& signature = "s") {
    checker.OnArrived(id, kStart);
    checker.OnRan(id, signature, "w", "");
  }

  bool Broken(const std::string& text) const {
    return checker.Violations().size() == 1 &&
           checker.Violations()[0].find(text) != std::string::npos;
  }

  PromiseChecker checker;
};

std::string Events(std::size_t from, std::size_t to) {
  std::string text;
  for (std::size_t i = from; i <= to; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: x\n\n";
  }
  return text;
}

}  // namespace

TEST_GROUP_BASE(PromiseChecker, jasminehatch::testing::LeakDetectorOff){};

TEST(PromiseChecker, KeptPromisesAreNoViolations) {
  Scene scene;
  scene.Run("once");
  scene.checker.OnAnswered("once", {200, "s", "answer to once", true});
  scene.Run("again", "s1");
  scene.Run("again", "s2");
  scene.checker.OnAnswered("again", {200, "s2", "answer to again", true});
  scene.Run("stream");
  scene.checker.OnAnswered("stream", {200, "s", Events(1, 5), true});
  scene.checker.OnNoAnswer("again", true, false);
  // It crossed the close of a daemon that stops.
  scene.checker.OnSent("crossed", RequestKind::kOnce, "key", kStart);
  scene.checker.OnNoAnswer("crossed", false, true);
  scene.checker.OnRecovered(10, 10);
  scene.checker.Finish();
  CHECK(scene.checker.Violations().empty());
}

TEST(PromiseChecker, SeesASecondRun) {
  Scene scene;
  scene.Run("once");
  scene.Run("once");
  CHECK(scene.Broken("ran twice"));
}

TEST(PromiseChecker, SeesAFalsePromiseInEitherOrder) {
  Scene ran_before;
  ran_before.Run("once");
  ran_before.checker.OnAnswered("once", {503, "", "", true});
  CHECK(ran_before.Broken("said not to have run"));
  Scene ran_after;
  ran_after.checker.OnAnswered("once", {429, "", "", true});
  ran_after.Run("once");
  CHECK(ran_after.Broken("after it was said not to run"));
}

TEST(PromiseChecker, SeesForeignAndChangedAnswers) {
  Scene foreign;
  foreign.Run("once");
  foreign.checker.OnAnswered("once", {200, "other", "answer to once", true});
  CHECK(foreign.Broken("signature"));
  Scene changed;
  changed.Run("once");
  changed.checker.OnAnswered("once", {200, "s", "answer to another", true});
  CHECK(changed.Broken("another body"));
}

TEST(PromiseChecker, SeesMissingDoubledAndShortStreams) {
  for (const std::string& body : {Events(1, 2) + Events(4, 5),
                                  Events(1, 3) + Events(3, 5), Events(1, 3)}) {
    Scene scene;
    scene.Run("stream");
    scene.checker.OnAnswered("stream", {200, "s", body, true});
    CHECK(scene.Broken("events"));
  }
}

TEST(PromiseChecker, SeesKeysThatWereTakenAway) {
  Scene scene;
  scene.checker.OnKeyRevoked("key", kStart);
  scene.checker.OnSent("late", RequestKind::kOnce, "key", kStart + 5s);
  scene.checker.OnRan("late", "s", "w", "");
  CHECK(scene.Broken("taken away"));
}

TEST(PromiseChecker, SeesAForgedWorkspaceAndAShownKey) {
  Scene workspace;
  workspace.checker.OnRan("once", "s", "forged", "");
  CHECK(workspace.Broken("another workspace"));
  Scene key;
  key.checker.OnRan("once", "s", "w", "Token key");
  CHECK(key.Broken("shown a key"));
}

TEST(PromiseChecker, SeesRequestsThatNobodySent) {
  Scene scene;
  scene.checker.OnArrived("smuggled", kStart);
  CHECK(scene.Broken("no caller sent"));
}

TEST(PromiseChecker, SeesTooManyRetries) {
  Scene scene;
  for (int i = 0; i < 60; ++i) {
    scene.checker.OnArrived("again", kStart + i * 10ms);
  }
  scene.checker.Finish();
  CHECK(scene.Broken("more retries"));
}

TEST(PromiseChecker, SeesLostAndOverdueRequests) {
  Scene lost;
  lost.checker.OnNoAnswer("once", false, false);
  CHECK(lost.Broken("without an answer"));
  Scene stopped;
  stopped.Run("once");
  stopped.checker.OnNoAnswer("once", false, true);
  CHECK(stopped.Broken("without an answer"));
  Scene overdue;
  overdue.checker.OnOverdue("once", false);
  CHECK(overdue.Broken("by the deadline"));
}

TEST(PromiseChecker, SeesFailedDaemons) {
  Scene exit;
  exit.checker.OnExit("entry-0");
  CHECK(exit.Broken("ended by itself"));
  Scene memory;
  memory.checker.OnMemory("entry-0", 101, 100);
  memory.checker.OnMemory("entry-0", 102, 100);
  CHECK(memory.Broken("more memory"));
  Scene recovery;
  recovery.checker.OnRecovered(8, 10);
  CHECK(recovery.Broken("not served again"));
  // A sample of nothing shows nothing.
  Scene empty;
  empty.checker.OnRecovered(0, 0);
  CHECK(empty.Broken("not served again"));
}
