#include <jasminehatch/core.h>

#include <chrono>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::MonotonicTime;
using jasminehatch::RefusalCode;
using jasminehatch::Verdict;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kDeadly = 100;
constexpr std::uint64_t kCommon = 200;
constexpr std::uint64_t kOther = 300;

CrashReport Report(std::uint64_t upstream, std::vector<std::uint64_t> parts) {
  CrashReport report;
  report.upstream = upstream;
  report.own_part = 1000 + upstream;
  report.parts = std::move(parts);
  return report;
}

/// @brief The part suspects of one daemon, with a clock.
struct Daemon {
  bool Crash(std::uint64_t upstream, std::vector<std::uint64_t> parts) {
    now += 1s;
    return !suspects.RecordCrash(Report(upstream, std::move(parts)), now)
                .empty();
  }
  /// Records crashes of as many upstreams as suffice for a quarantine.
  void CrashThrice(const std::vector<std::uint64_t>& parts) {
    for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
      Crash(upstream, parts);
    }
  }
  void Answer(std::vector<std::uint64_t> parts) {
    now += 1ms;
    suspects.RecordAnswer(parts, now);
  }
  bool Refuses(std::uint64_t part) const {
    const std::vector<std::uint64_t> parts{part};
    return suspects.RefusalTimeLeft(parts, now).has_value();
  }
  void Learn(const Daemon& other) {
    for (const PartVerdict& verdict : other.suspects.Verdicts(other.now)) {
      suspects.Merge(verdict, now);
    }
  }

  PartSuspects suspects;
  MonotonicTime now{1h};
};

bool IsRefusedAsSuspect(const Effects& effects) {
  const auto refusals = EffectsOf<RefuseRequest>(effects);
  return refusals.size() == 1 &&
         refusals.front().code == RefusalCode::kCrashSuspect &&
         refusals.front().verdict == Verdict::kNotRun;
}

bool Starts(const Effects& effects) {
  return EffectsOf<StartAttempt>(effects).size() == 1;
}

/// Lets `count` requests with the part "deadly" crash an upstream each.
void CrashUpstreams(ForwardingFixture& fixture, int count) {
  for (int crash = 0; crash < count; ++crash) {
    CHECK(Starts(fixture.SendParts({"common", "deadly"})));
    fixture.Crash();
    fixture.Wait(400ms);
    CHECK(Starts(fixture.SendParts({"common", "document"})));
    fixture.Answer();
    fixture.Wait(400ms);
    fixture.Confirm();
  }
}

void AddEngines(ForwardingFixture& fixture) {
  for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
    fixture.AddUpstream(id, "engine", 1);
  }
}

}  // namespace

TEST_GROUP_BASE(PartSuspects, jasminehatch::testing::LeakDetectorOff){};

// Guards against requests with one part that crash upstream after upstream
// because no two of them are equal, and against refusing sound requests that
// share the first part and the caller.
TEST(PartSuspects, APartThatCrashedThreeUpstreamsIsRefused) {
  ForwardingFixture fixture;
  AddEngines(fixture);
  CrashUpstreams(fixture, 3);
  fixture.Wait(1s);
  fixture.Confirm();
  CHECK(IsRefusedAsSuspect(fixture.SendParts({"common", "deadly"})));
  CHECK(IsRefusedAsSuspect(fixture.SendParts({"deadly", "document"})));
  CHECK(Starts(fixture.SendParts({"common", "document"})));
  CHECK(Starts(fixture.SendParts({"common", "never seen"})));
}

// Guards against a retry that crashes one more upstream with a part that was in
// an earlier crash, and against requests that are never retried because their
// upstream crashed.
TEST(PartSuspects, ARequestWithASuspectedPartIsNotRetried) {
  ForwardingFixture fixture;
  AddEngines(fixture);
  CHECK(Starts(fixture.SendParts({"common", "document"}, "/resume/")));
  CHECK(Starts(fixture.Crash()));
  fixture.Answer();
  CHECK(Starts(fixture.SendParts({"common", "deadly"})));
  fixture.Crash();
  fixture.Wait(400ms);
  CHECK(Starts(fixture.SendParts({"common", "deadly"}, "/resume/")));
  const auto effects = fixture.Crash();
  CHECK(EffectsOf<StartAttempt>(effects).empty());
  CHECK(EffectsOf<RefuseRequest>(effects).at(0).code ==
        RefusalCode::kUpstreamFailed);
}

// Guards against breaking off the streams that run beside a request that
// crashes their upstream: they were answered, so they may be resumed.
TEST(PartSuspects, AnAnsweredStreamIsResumedAfterACrash) {
  ForwardingFixture fixture;
  AddEngines(fixture);
  CHECK(Starts(fixture.SendParts({"common", "document"}, "/resume/")));
  fixture.Answer();
  for (std::uint64_t upstream = 1; upstream <= 2; ++upstream) {
    fixture.Wait(600ms);
    fixture.Apply(
        CrashReportReceived{Report(upstream, {StableHash("document")})});
  }
  CHECK(Starts(fixture.Crash()));
}

// Guards against probes that are counted, and delay the next one, although no
// upstream could run them.
TEST(PartSuspects, AProbeThatCannotBeSentIsNotCounted) {
  ForwardingFixture fixture;
  AddEngines(fixture);
  CrashUpstreams(fixture, 3);
  fixture.Wait(30s);
  fixture.Confirm();
  fixture.Apply(UpstreamsListed{});
  CHECK(IsRefusedAsSuspect(fixture.SendParts({"common", "deadly"})));
  AddEngines(fixture);
  CHECK(Starts(fixture.SendParts({"common", "deadly"})));
}

// Guards against a request that is sent to another upstream after its part was
// quarantined.
TEST(PartSuspects, ARejectedRequestWithAQuarantinedPartIsNotSentAgain) {
  ForwardingFixture fixture;
  AddEngines(fixture);
  CrashUpstreams(fixture, 2);
  CHECK(Starts(fixture.SendParts({"common", "deadly"})));
  for (std::uint64_t upstream = 1; upstream <= 2; ++upstream) {
    CrashReport report = Report(upstream, {StableHash("deadly")});
    fixture.Apply(CrashReportReceived{report});
    fixture.Wait(400ms);
  }
  fixture.Wait(1s);
  const auto effects = fixture.End(AttemptOutcome::kNotRun);
  CHECK(EffectsOf<StartAttempt>(effects).empty());
  CHECK(EffectsOf<RefuseRequest>(effects).at(0).verdict == Verdict::kNotRun);
}

// Guards against suspecting the parts of requests that were broken off without
// a crash of their own: reset or lost connections, time-outs, garbled responses
// and streams that had begun.
TEST(PartSuspects, OtherFailuresAreNoEvidence) {
  ForwardingFixture fixture;
  AddEngines(fixture);
  const auto fail = [&](AttemptOutcome outcome, bool answered) {
    CHECK(Starts(fixture.SendParts({"common", "rare"})));
    if (answered) {
      fixture.Answer();
    }
    fixture.End(outcome);
    fixture.Wait(1s);
    fixture.Confirm();
  };
  for (int i = 0; i < 3; ++i) {
    fail(AttemptOutcome::kBroken, false);
    fail(AttemptOutcome::kTimedOut, false);
    fail(AttemptOutcome::kInvalidResponse, false);
    fail(AttemptOutcome::kBroken, true);
  }
  UNSIGNED_LONGS_EQUAL(0,
                       fixture.CurrentState().part_suspects.Evidence().Size());
}

// Guards against convicting a part that was in use when several upstreams of a
// rack failed at once.
TEST(PartSuspects, CrashesAtOneMomentCountLess) {
  Daemon daemon;
  for (std::uint64_t upstream = 0; upstream < 12; ++upstream) {
    daemon.suspects.RecordCrash(Report(upstream, {kOther}), daemon.now);
    daemon.now += 40ms;
  }
  daemon.now += 1s;
  CHECK_FALSE(daemon.Refuses(kOther));
}

// Guards against convicting the sound parts of a single request that crashes
// upstreams and is sent again.
TEST(PartSuspects, CrashesOfOneRequestCountLess) {
  Daemon daemon;
  for (std::uint64_t upstream = 0; upstream < 4; ++upstream) {
    CrashReport report = Report(upstream, {kOther});
    report.own_part = 7;
    daemon.now += 1s;
    daemon.suspects.RecordCrash(report, daemon.now);
  }
  daemon.now += 1s;
  CHECK_FALSE(daemon.Refuses(kOther));
}

// Guards against counting a crash twice when several daemons report it, and
// against reports that are broadcast forever.
TEST(PartSuspects, ACrashCountsOnce) {
  Daemon daemon;
  for (int i = 0; i < 5; ++i) {
    LONGS_EQUAL(i == 0, daemon.Crash(1, {kDeadly}));
  }
  daemon.now += 1s;
  CHECK_FALSE(daemon.Refuses(kDeadly));
}

// Guards against a part that crashes an upstream after each quarantine, and is
// not quarantined again once the crashes of many hours fill its evidence.
TEST(PartSuspects, ExpiredCrashesMakeRoomForLaterOnes) {
  Daemon daemon;
  daemon.CrashThrice({kDeadly});
  for (std::uint64_t upstream = 10; upstream < 50; ++upstream) {
    daemon.now += 11min;
    CHECK_FALSE(daemon.Refuses(kDeadly));
    daemon.Crash(upstream, {kDeadly});
    daemon.now += 1s;
    CHECK(daemon.Refuses(kDeadly));
  }
}

// Guards against a daemon that refuses sound requests because it has seen only
// the crashes, and another one the answers.
TEST(PartSuspects, AnAnswerAtAnotherDaemonReleasesThePart) {
  Daemon victim;
  Daemon witness;
  for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
    victim.Crash(upstream, {kDeadly, kCommon});
    witness.now = victim.now;
  }
  witness.Answer({kCommon});
  witness.Learn(victim);
  victim.Learn(witness);
  victim.now += 1s;
  witness.now += 1s;
  for (const Daemon* daemon : {&victim, &witness}) {
    CHECK_FALSE(daemon->Refuses(kCommon));
    CHECK(daemon->Refuses(kDeadly));
  }
}

// Guards against an answer from before the first crash that releases a part.
TEST(PartSuspects, AnAnswerBeforeTheCrashesIsNoObjection) {
  Daemon daemon;
  daemon.Answer({kDeadly});
  Daemon other;
  other.CrashThrice({kDeadly});
  daemon.now = other.now;
  daemon.Learn(other);
  daemon.now += 1s;
  CHECK(daemon.Refuses(kDeadly));
}

// Guards against a daemon that restarts and sends requests with a quarantined
// part to upstreams.
TEST(PartSuspects, ADaemonThatRestartedLearnsAVerdictAtOnce) {
  Daemon daemon;
  daemon.CrashThrice({kDeadly});
  daemon.now += 1min;
  Daemon restarted;
  restarted.Learn(daemon);
  CHECK(restarted.Refuses(kDeadly));
}

// Guards against a quarantine that never ends because daemons repeat it to each
// other, and against three more crashes after it has ended.
TEST(PartSuspects, AQuarantineEndsAndOneMoreCrashRenewsIt) {
  Daemon daemon;
  daemon.CrashThrice({kDeadly});
  Daemon other;
  for (int minute = 0; minute < 9; ++minute) {
    daemon.now += 1min;
    other.now += 1min;
    other.Learn(daemon);
    daemon.Learn(other);
    CHECK(other.Refuses(kDeadly));
  }
  daemon.now += 61s;
  other.now += 61s;
  CHECK_FALSE(daemon.Refuses(kDeadly));
  CHECK_FALSE(other.Refuses(kDeadly));
  other.Crash(9, {kDeadly});
  daemon.Learn(other);
  daemon.now += 1s;
  CHECK(daemon.Refuses(kDeadly));
}

// Guards against a part that is quarantined after one crash although requests
// with it were answered since its quarantine ended.
TEST(PartSuspects, AnAnswerAfterAQuarantineEndsTheSuspicion) {
  Daemon daemon;
  daemon.CrashThrice({kOther});
  daemon.now += 11min;
  CHECK_FALSE(daemon.Refuses(kOther));
  daemon.Answer({kOther});
  daemon.Crash(9, {kOther});
  daemon.now += 1s;
  CHECK_FALSE(daemon.Refuses(kOther));
}

// Guards against a sound part that stays refused because it was only ever seen
// beside the part that crashes upstreams.
TEST(PartSuspects, ACompanionOfThePartIsReleasedByAProbe) {
  Daemon daemon;
  daemon.CrashThrice({kOther, kDeadly});
  daemon.now += 5s;
  CHECK(daemon.Refuses(kOther));
  const std::vector<std::uint64_t> both{kOther, kDeadly};
  const std::vector<std::uint64_t> one{kOther};
  CHECK_FALSE(daemon.suspects.TryProbe(both, 0, daemon.now));
  CHECK(daemon.suspects.TryProbe(one, 0, daemon.now));
  // The next probe waits for the result of this one.
  CHECK_FALSE(daemon.suspects.TryProbe(one, 0, daemon.now));
  daemon.Answer(one);
  CHECK_FALSE(daemon.Refuses(kOther));
  CHECK(daemon.Refuses(kDeadly));
}

// Guards against refusing a part whose crashes are all explained by another
// one.
TEST(PartSuspects, ThePartThatWasInAllCrashesIsQuarantinedAlone) {
  Daemon daemon;
  daemon.Crash(1, {kDeadly, kOther});
  daemon.Crash(2, {kDeadly, kOther});
  daemon.Crash(3, {kDeadly, kCommon});
  daemon.Crash(4, {kDeadly, kOther});
  daemon.now += 1s;
  CHECK(daemon.Refuses(kDeadly));
  CHECK_FALSE(daemon.Refuses(kOther));
  CHECK_FALSE(daemon.Refuses(kCommon));
}

// Guards against a companion that stays quarantined after a crash without it.
TEST(PartSuspects, ALaterCrashReleasesACompanion) {
  Daemon daemon;
  daemon.CrashThrice({kDeadly, kOther});
  daemon.Crash(3, {kDeadly, kCommon});
  daemon.now += 1s;
  CHECK(daemon.Refuses(kDeadly));
  CHECK_FALSE(daemon.Refuses(kOther));
}

// Guards against daemons that all probe a part at the same time.
TEST(PartSuspects, AProbeOfAnotherDaemonDelaysTheNext) {
  Daemon daemon;
  Daemon other;
  for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
    daemon.Crash(upstream, {kDeadly});
    other.Crash(upstream, {kDeadly});
  }
  daemon.now += 1min;
  other.now += 1min;
  const std::vector<std::uint64_t> parts{kDeadly};
  CHECK(daemon.suspects.TryProbe(parts, 0, daemon.now));
  other.Learn(daemon);
  CHECK_FALSE(other.suspects.TryProbe(parts, 0, other.now));
}

// Guards against a part that crashes one upstream after the other since they
// crash before the head of the response has left them (review/10).
TEST(PartSuspects, CrashesBeforeTheHeadAreEvidence) {
  ForwardingFixture fixture;
  AddEngines(fixture);
  for (int crash = 0; crash < 4; ++crash) {
    CHECK(Starts(fixture.SendParts({"common", "deadly"})));
    fixture.Crash(/*response_begun=*/false);
    fixture.Wait(400ms);
    CHECK(Starts(fixture.SendParts({"common", "document"})));
    fixture.Answer();
    fixture.Wait(400ms);
    fixture.Confirm();
  }
  fixture.Wait(1s);
  fixture.Confirm();
  CHECK(IsRefusedAsSuspect(fixture.SendParts({"common", "deadly"})));
  CHECK(Starts(fixture.SendParts({"common", "document"})));
}

// Guards against convicting a part of requests that wait for their heads when
// upstreams crash for another reason: it takes more such crashes.
TEST(PartSuspects, CrashesBeforeTheHeadCountLess) {
  Daemon daemon;
  for (std::uint64_t upstream = 0; upstream < 4; ++upstream) {
    daemon.now += 1s;
    CHECK_FALSE(daemon.Refuses(kOther));
    CrashReport report = Report(upstream, {kOther});
    report.response_begun = false;
    daemon.suspects.RecordCrash(report, daemon.now);
  }
  daemon.now += 1s;
  CHECK(daemon.Refuses(kOther));
}

// Guards against convicting a part that waiting requests share when all
// connections are reset at once, as by a network device that restarts.
TEST(PartSuspects, ResetsOfAllConnectionsAreNoSufficientEvidence) {
  Daemon daemon;
  for (std::uint64_t upstream = 0; upstream < 12; ++upstream) {
    CrashReport report = Report(upstream, {kOther});
    report.response_begun = false;
    daemon.suspects.RecordCrash(report, daemon.now);
    daemon.now += 20ms;
  }
  daemon.now += 1s;
  CHECK_FALSE(daemon.Refuses(kOther));
}

// Guards against taking a connection that was lost on the way to an upstream
// for a crash of the upstream.
TEST(PartSuspects, ALostConnectionIsNoCrash) {
  ForwardingFixture fixture;
  AddEngines(fixture);
  CHECK(Starts(fixture.SendParts({"common", "document"})));
  fixture.End(AttemptOutcome::kBroken);
  UNSIGNED_LONGS_EQUAL(0,
                       fixture.CurrentState().part_suspects.Evidence().Size());
}

// Guards against a part that is not suspected since other shared parts follow
// or precede it in a long prompt (review/9).
TEST(PartSuspects, APartIsFoundWhereverItStandsInALongPrompt) {
  constexpr std::size_t kParts = 100;
  for (const std::size_t place : {std::size_t{0}, kParts / 2, kParts - 1}) {
    ForwardingFixture fixture;
    AddEngines(fixture);
    std::vector<std::string> sound;
    for (std::size_t part = 0; part < kParts; ++part) {
      sound.push_back("common" + std::to_string(part));
    }
    std::vector<std::string> deadly = sound;
    deadly.at(place) = "deadly";
    for (int crash = 0; crash < 3; ++crash) {
      CHECK(Starts(fixture.SendParts(deadly)));
      fixture.Crash();
      fixture.Wait(400ms);
      CHECK(Starts(fixture.SendParts(sound)));
      fixture.Answer();
      fixture.Wait(400ms);
      fixture.Confirm();
    }
    fixture.Wait(1s);
    fixture.Confirm();
    CHECK(IsRefusedAsSuspect(fixture.SendParts(deadly)));
    CHECK(Starts(fixture.SendParts(sound)));
  }
}

// Guards against forgetting a part that causes crashes for the many other parts
// of long prompts that break beside it.
TEST(PartSuspects, TheMostCrashesAreRememberedLongest) {
  Daemon daemon;
  daemon.Crash(1, {kDeadly});
  daemon.Crash(2, {kDeadly});
  std::uint64_t next_part = 1000;
  for (std::uint64_t upstream = 10; upstream < 20; ++upstream) {
    std::vector<std::uint64_t> parts(4000);
    std::iota(parts.begin(), parts.end(), next_part);
    next_part += parts.size();
    daemon.Crash(upstream, parts);
  }
  CHECK(daemon.suspects.Evidence().Bytes() <= CrashEvidence::kMaxBytes);
  daemon.Crash(3, {kDeadly});
  daemon.now += 1s;
  CHECK(daemon.Refuses(kDeadly));
}

// Guards against verdicts on all parts of a long prompt, which would push out
// all others and each other.
TEST(PartSuspects, PartsThatAreAlwaysTogetherTakeFewVerdicts) {
  Daemon daemon;
  daemon.CrashThrice({kDeadly});
  std::vector<std::uint64_t> parts(200);
  std::iota(parts.begin(), parts.end(), 1000);
  for (std::uint64_t upstream = 10; upstream < 13; ++upstream) {
    daemon.Crash(upstream, parts);
  }
  daemon.now += 1s;
  CHECK(daemon.Refuses(kDeadly));
  CHECK(daemon.suspects.RefusalTimeLeft(parts, daemon.now).has_value());
  CHECK(daemon.suspects.Verdicts(daemon.now).size() <= 1 + 16);
  // A request without the quarantined ones finds the part at fault.
  daemon.Crash(13, {parts.back()});
  daemon.now += 1s;
  CHECK(daemon.Refuses(parts.back()));
}

// Guards against unbounded memory for suspected parts, answers and verdicts.
TEST(PartSuspects, MemoryIsBounded) {
  Daemon daemon;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    daemon.suspects.RecordCrash(Report(i, {i}), daemon.now);
    daemon.suspects.Merge({i, 1, 0, 0s, 0s}, daemon.now);
    daemon.now += 1ms;
  }
  CHECK(daemon.suspects.Evidence().Bytes() <= CrashEvidence::kMaxBytes);
  CHECK(daemon.suspects.Verdicts(daemon.now).size() <= 64);
  AnsweredParts answered;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    answered.Record(i, daemon.now);
  }
  CHECK(answered.Size() <= 4096);
  CHECK(answered.LastAnswer(9'999).has_value());
}
