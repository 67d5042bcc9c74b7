// Upstreams that were replaced or that refuse connections: which of them get
// requests, and when they return.

#include <jasminehatch/core.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "failure_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::Duration;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(ReplacedUpstream, jasminehatch::testing::LeakDetectorOff) {
  FailureFixture fixture;

  void setup() override {
    fixture.Add("u1");
    fixture.Add("u2");
    fixture.Fail("u1", AttemptOutcome::kWrongUpstream);
  }
};

// Guards against further requests to the address of an entry whose process has
// ended, up to the time limit, and against an exclusion without an end.
TEST(ReplacedUpstream, IsNotUsedUntilTheTimeLimit) {
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Pass(UpstreamReplacement::kTimeLimit - 1ms);
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Pass(1ms);
  CHECK(fixture.Uses("u1"));
}

// Guards against a return with a record that was written before the response,
// or that a snapshot contains.
TEST(ReplacedUpstream, ReturnsOnlyWithALaterRecord) {
  const UpstreamEntry entry = FailureFixture::MakeEntry("u1");
  fixture.Pass(UpstreamReplacement::kMaxRecordDelay);
  fixture.Apply(UpstreamRegistered{entry});
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Pass(1ms);
  fixture.Apply(UpstreamsListed{{entry, FailureFixture::MakeEntry("u2")}});
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Apply(UpstreamRegistered{entry});
  CHECK(fixture.Uses("u1"));
}

// Guards against a restarted or moved upstream that stays excluded because it
// has the id of the replaced one.
TEST(ReplacedUpstream, ReturnsWithAnotherStartOrAddress) {
  UpstreamEntry moved = FailureFixture::MakeEntry("u1");
  moved.address = "elsewhere:80";
  fixture.Apply(UpstreamRegistered{moved});
  CHECK(fixture.Uses("u1"));
  fixture.Fail("u1", AttemptOutcome::kWrongUpstream);
  CHECK_FALSE(fixture.Uses("u1"));
  moved.started_at = 8;
  fixture.Apply(UpstreamRegistered{moved});
  CHECK(fixture.Uses("u1"));
}

// Guards against excluding an upstream that has restarted under its id because
// of an attempt at the earlier process.
TEST(ReplacedUpstream, AttemptsAtAnEarlierProcessDoNotCount) {
  for (const auto outcome :
       {AttemptOutcome::kWrongUpstream, AttemptOutcome::kNotSent}) {
    const StartAttempt start = fixture.StartAt("u2");
    UpstreamEntry restarted = FailureFixture::MakeEntry("u2");
    restarted.started_at = start.started_at + 1;
    fixture.Apply(UpstreamRegistered{restarted});
    fixture.Apply(
        AttemptEnded{start.request, start.attempt, outcome, "", "test"});
    CHECK(fixture.Uses("u2"));
  }
}

// Guards against an exclusion that outlasts an answer of the excluded process
// to a request that was sent to it before.
TEST(ReplacedUpstream, ReturnsWithAResponse) {
  FailureFixture busy;
  busy.Add("u1");
  const StartAttempt first = OnlyStart(busy.Send("/once/"));
  busy.Fail("u1", AttemptOutcome::kWrongUpstream);
  busy.Add("u2");
  CHECK_FALSE(busy.Uses("u1"));
  busy.Apply(AttemptEnded{first.request, first.attempt,
                          AttemptOutcome::kCompleted, "", ""});
  CHECK(busy.Uses("u1"));
}

// Guards against responses of an earlier process, or of another one at the
// address, that end the exclusion of an upstream that was replaced.
TEST(ReplacedUpstream, OtherResponsesDoNotEndTheExclusion) {
  for (const auto outcome :
       {AttemptOutcome::kCompleted, AttemptOutcome::kInvalidResponse}) {
    FailureFixture busy;
    busy.Add("u1");
    const StartAttempt first = OnlyStart(busy.Send("/once/"));
    if (outcome == AttemptOutcome::kCompleted) {
      UpstreamEntry restarted = FailureFixture::MakeEntry("u1");
      restarted.started_at = first.started_at + 1;
      busy.Apply(UpstreamRegistered{restarted});
    }
    busy.Fail("u1", AttemptOutcome::kWrongUpstream);
    busy.Add("u2");
    busy.Apply(AttemptEnded{first.request, first.attempt, outcome, "", ""});
    CHECK_FALSE(busy.Uses("u1"));
  }
}

// Guards against a service that is refused although its only upstream may have
// been excluded wrongly, and against a use of replaced upstreams while others
// only need a pause.
TEST(ReplacedUpstream, IsTheLastResort) {
  fixture.Fail("u2", AttemptOutcome::kNotRun);
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Apply(UpstreamRemoved{"u2"});
  CHECK(fixture.Uses("u1"));
}

TEST_GROUP_BASE(ReportedUpstream, jasminehatch::testing::LeakDetectorOff) {
  const Duration suspend_time = Options{}.suspend_time;

  FailureFixture fixture;

  void setup() override {
    fixture.Add("u1");
    fixture.Add("u2");
  }

  void Report(UpstreamFailure failure, Duration age, bool forwarded = false) {
    fixture.Apply(
        UpstreamFailuresReported{"peer", {{"u1", 7, failure, age, forwarded}}});
  }

  std::vector<UpstreamFailureReport> Reports() {
    State& state = fixture.CurrentState();
    return state.failure_reports.ForMessage(state.upstreams, fixture.Now());
  }
};

// Guards against each daemon finding out for itself that an upstream refuses
// connections, and against a suspension that counts from the receipt.
TEST(ReportedUpstream, RefusalSuspendsFromTheObservation) {
  Report(UpstreamFailure::kRefused, 200ms);
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Pass(suspend_time - 201ms);
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Pass(1ms);
  CHECK(fixture.Uses("u1"));
}

// Guards against requests to a replaced upstream that another daemon found, and
// against an exclusion for longer than that daemon's own.
TEST(ReportedUpstream, ReplacementExcludesUntilTheTimeLimit) {
  Report(UpstreamFailure::kReplaced, 1s);
  fixture.Pass(UpstreamReplacement::kTimeLimit - 1001ms);
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Pass(1ms);
  CHECK(fixture.Uses("u1"));
}

// Guards against reports that extend an exclusion after this daemon's own
// failed attempt beyond the time limit.
TEST(ReportedUpstream, ReportsDoNotOutlastAnOwnFailure) {
  fixture.Fail("u1", AttemptOutcome::kWrongUpstream);
  fixture.Pass(UpstreamReplacement::kTimeLimit - 100ms);
  Report(UpstreamFailure::kReplaced, 0ms);
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Pass(100ms);
  CHECK(fixture.Uses("u1"));
}

// Guards against a report that excludes an upstream again after a later record
// of it was read.
TEST(ReportedUpstream, ReplacementBeforeTheLastRecordIsIgnored) {
  fixture.Pass(2s);
  fixture.Add("u1");
  Report(UpstreamFailure::kReplaced,
         UpstreamReplacement::kMaxRecordDelay + 1ms);
  CHECK(fixture.Uses("u1"));
  Report(UpstreamFailure::kReplaced, 0ms);
  CHECK_FALSE(fixture.Uses("u1"));
}

// Guards against following a report, also of a daemon that is cut off itself,
// although the upstream has answered since, or answers now.
TEST(ReportedUpstream, ResponsesAreStrongerThanOlderReports) {
  fixture.Fail("u1", AttemptOutcome::kCompleted);
  fixture.Pass(100ms);
  for (const auto failure :
       {UpstreamFailure::kReplaced, UpstreamFailure::kRefused}) {
    Report(failure, 100ms);
    CHECK(fixture.Uses("u1"));
  }
  const StartAttempt running = fixture.StartAt("u1");
  Report(UpstreamFailure::kReplaced, 0ms);
  Report(UpstreamFailure::kRefused, 0ms);
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Apply(ResponseStarted{running.request, running.attempt});
  CHECK(fixture.Uses("u1"));
  CHECK(Reports().empty());
}

// Guards against applying a report on an earlier process to the one that
// restarted under the same id.
TEST(ReportedUpstream, ReportsOfAnotherStartAreIgnored) {
  UpstreamEntry restarted = FailureFixture::MakeEntry("u1");
  restarted.started_at = 8;
  fixture.Apply(UpstreamRegistered{restarted});
  Report(UpstreamFailure::kReplaced, 0ms);
  Report(UpstreamFailure::kRefused, 0ms);
  CHECK(fixture.Uses("u1"));
  fixture.Apply(UpstreamFailuresReported{
      "peer", {{"unknown", 7, UpstreamFailure::kReplaced, 0ms, false}}});
  CHECK(Reports().empty());
}

// Guards against a reporter that is wrong all the time and keeps an upstream
// excluded, which answers.
TEST(ReportedUpstream, FalseReportsDoNotExcludeForever) {
  for (const auto failure :
       {UpstreamFailure::kReplaced, UpstreamFailure::kRefused}) {
    FailureFixture misled;
    misled.Add("u1");
    misled.Add("u2");
    const auto report = [&] {
      misled.Apply(
          UpstreamFailuresReported{"peer", {{"u1", 7, failure, 0ms, false}}});
    };
    report();
    CHECK_FALSE(misled.Uses("u1"));
    for (Duration time{}; time < FailureObservations::kReportLimit;
         time += 500ms) {
      misled.Pass(500ms);
      report();
    }
    CHECK(misled.Uses("u1"));
  }
}

// Guards against failures that other daemons do not learn of, against reports
// that circulate, and against reports of failures that the own links may cause.
TEST(ReportedUpstream, OwnFailuresAreReportedAndForwardedOnce) {
  fixture.Fail("u1", AttemptOutcome::kNotSent);
  fixture.Fail("u2", AttemptOutcome::kTimedOut);
  CHECK(Reports().empty());
  fixture.FailToConnect("u2", ConnectFailure::kTimedOut);
  CHECK(Reports().empty());
  fixture.FailToConnect("u2", ConnectFailure::kRefused);
  UNSIGNED_LONGS_EQUAL(1, Reports().size());
  CHECK(
      (Reports().front() ==
       UpstreamFailureReport{"u2", 7, UpstreamFailure::kRefused, 0ms, false}));
  Report(UpstreamFailure::kReplaced, 50ms, /*forwarded=*/true);
  UNSIGNED_LONGS_EQUAL(1, Reports().size());
  fixture.Pass(FailureObservations::kSameFailureTime + 1ms);
  Report(UpstreamFailure::kReplaced, 0ms);
  fixture.Pass(20ms);
  UNSIGNED_LONGS_EQUAL(2, Reports().size());
  CHECK(
      (Reports().back() ==
       UpstreamFailureReport{"u1", 7, UpstreamFailure::kReplaced, 20ms, true}));
  // Repetitions of a report are not sent on again.
  fixture.Pass(FailureReports::kRepeatTime);
  Report(UpstreamFailure::kReplaced, FailureReports::kRepeatTime + 20ms);
  CHECK(Reports().empty());
}

// Guards against reports of a process that has ended, and against messages of
// any size.
TEST(ReportedUpstream, ReportsAreBoundedAndDroppedWithTheirEntry) {
  Report(UpstreamFailure::kReplaced, 0ms);
  UNSIGNED_LONGS_EQUAL(1, Reports().size());
  UpstreamEntry moved = FailureFixture::MakeEntry("u1");
  moved.address = "elsewhere:80";
  fixture.Apply(UpstreamRegistered{moved});
  CHECK(Reports().empty());
  for (std::size_t i = 0; i < 2 * FailureReports::kMaxReports; ++i) {
    const std::string id = "n" + std::to_string(i);
    fixture.Add(id);
    fixture.Apply(UpstreamFailuresReported{
        "peer", {{id, 7, UpstreamFailure::kRefused, 0ms, false}}});
  }
  UNSIGNED_LONGS_EQUAL(FailureReports::kMaxReports, Reports().size());
}

// Guards against a report that extends the suspension after this daemon's own
// failures.
TEST(ReportedUpstream, ReportsDoNotAddToOwnFailures) {
  fixture.FailToConnect("u1", ConnectFailure::kRefused);
  fixture.Pass(suspend_time);
  Report(UpstreamFailure::kRefused, 200ms);
  fixture.Pass(suspend_time - 201ms);
  CHECK_FALSE(fixture.Uses("u1"));
  fixture.Pass(1ms);
  CHECK(fixture.Uses("u1"));
  UNSIGNED_LONGS_EQUAL(
      1, fixture.CurrentState().upstreams.Find("u1")->consecutive_failures);
}
