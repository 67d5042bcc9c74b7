#include <jasminehatch/core.h>

#include <chrono>
#include <string>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::AttemptId;
using jasminehatch::Duration;
using jasminehatch::MonotonicTime;
using jasminehatch::RefusalCode;
using jasminehatch::RequestId;
using jasminehatch::Verdict;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(ForwardingStep, jasminehatch::testing::LeakDetectorOff){};

// Guards against a 404 response before a configuration was read.
TEST(ForwardingStep, RefusesWithoutConfigurationAsNotRun) {
  ForwardingFixture fixture;
  State state;
  RequestReceived received;
  received.request = RequestId{1};
  received.path = "/once/";
  const auto effects = Step(received, fixture.Now(), state);
  const RefuseRequest refusal = OnlyRefusal(effects);
  CHECK(Is(RefusalCode::kConfigurationStale, refusal));
  CHECK(refusal.verdict == Verdict::kNotRun);
  CHECK(refusal.retry_after.has_value());
}

// Guards against accepting a revoked key while the platform's store is
// unreachable.
TEST(ForwardingStep, RefusesKeysWhenTheProofIsTooOld) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.Wait(fixture.CurrentState().options.max_proof_age + 1ms);
  CHECK(Is(RefusalCode::kConfigurationStale,
           OnlyRefusal(fixture.Send("/once/"))));
  OnlyStart(fixture.Send("/open/", ""));
  fixture.Confirm();
  OnlyStart(fixture.Send("/once/"));
}

// Guards against an older confirmation that replaces the freshness proof.
TEST(ForwardingStep, KeepsTheNewestProof) {
  ForwardingFixture fixture;
  const MonotonicTime before = *fixture.CurrentState().confirmed_at;
  fixture.Apply(ConfigurationConfirmed{before - 1s});
  CHECK(*fixture.CurrentState().confirmed_at == before);
}

// Guards against a proof of the future, which would count as recent until its
// time has passed: revoked keys would be accepted meanwhile.
TEST(ForwardingStep, IgnoresProofsOfTheFuture) {
  ForwardingFixture fixture;
  fixture.Apply(ConfigurationConfirmed{fixture.Now() + 1h});
  fixture.Wait(fixture.CurrentState().options.max_proof_age + 1ms);
  CHECK(Is(RefusalCode::kConfigurationStale,
           OnlyRefusal(fixture.Send("/once/"))));
}

// Guards against a revoked key that is accepted because the store came back
// without the configuration that revoked it, which a peer has read: for good,
// and at a daemon that has just started.
TEST(ForwardingStep, RefusesKeysWhilePeersHaveANewerConfiguration) {
  for (const Duration age : {Duration(0s), Duration(10s)}) {
    ForwardingFixture fixture;
    fixture.AddUpstream("u1", "desk");
    fixture.Wait(age);
    fixture.Confirm();
    OnlyStart(fixture.Send("/once/"));
    fixture.Apply(PeerConfigurationHeard{"peer", 1000});
    if (age == 0s) {
      CHECK(Is(RefusalCode::kConfigurationStale,
               OnlyRefusal(fixture.Send("/once/"))));
    }
    fixture.Wait(fixture.CurrentState().options.max_proof_age + 1ms);
    fixture.Confirm();
    CHECK(Is(RefusalCode::kConfigurationStale,
             OnlyRefusal(fixture.Send("/once/"))));
    fixture.Apply(ConfigurationRead{fixture.MakeConfiguration(1000)});
    fixture.Confirm();
    OnlyStart(fixture.Send("/once/"));
  }
}

// Guards against 404 and 401 responses based on an outdated configuration.
TEST(ForwardingStep, RefusesOnlyWithACurrentConfiguration) {
  ForwardingFixture fixture;
  CHECK(Is(RefusalCode::kUnknownRoute, OnlyRefusal(fixture.Send("/none/"))));
  CHECK(Is(RefusalCode::kUnauthorized,
           OnlyRefusal(fixture.Send("/once/", "nobody"))));
  fixture.Wait(10s);
  CHECK(Is(RefusalCode::kConfigurationStale,
           OnlyRefusal(fixture.Send("/none/"))));
  CHECK(Is(RefusalCode::kConfigurationStale,
           OnlyRefusal(fixture.Send("/once/", "nobody"))));
}

// Guards against replacing the configuration with an older version.
TEST(ForwardingStep, IgnoresOlderConfigurations) {
  ForwardingFixture fixture;
  fixture.Apply(ConfigurationRead{fixture.MakeConfiguration(5)});
  Configuration old = fixture.MakeConfiguration(4);
  old.routes.clear();
  fixture.Apply(ConfigurationRead{old});
  UNSIGNED_LONGS_EQUAL(
      5, fixture.CurrentState().table->SourceConfiguration().version);
}

// Guards against a second run of a non-idempotent request.
TEST(ForwardingStep, RetriesANonIdempotentRequestOnlyIfItDidNotRun) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("u2", "desk");
  const std::string first = OnlyStart(fixture.Send("/once/")).upstream;
  const StartAttempt second = OnlyStart(fixture.End(AttemptOutcome::kNotRun));
  CHECK(second.upstream != first);
  const RefuseRequest refusal =
      OnlyRefusal(fixture.End(AttemptOutcome::kBroken));
  CHECK(Is(RefusalCode::kUpstreamFailed, refusal));
  CHECK(refusal.verdict == Verdict::kMayHaveRun);
  CHECK_FALSE(refusal.retry_after.has_value());
}

// Guards against a 503, which promises "not run", after the connection of an
// attempt was lost.
TEST(ForwardingStep, NeverPromisesNotRunAfterABreak) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("u2", "desk");
  fixture.Send("/again/");
  OnlyStart(fixture.End(AttemptOutcome::kBroken));
  const RefuseRequest refusal =
      OnlyRefusal(fixture.End(AttemptOutcome::kNotRun));
  CHECK(refusal.verdict == Verdict::kMayHaveRun);
  CHECK(Describe(refusal.code).http_status == 502);
}

// Guards against more runs of a request than its route allows.
TEST(ForwardingStep, LimitsAttemptsToThoseOfTheRoute) {
  ForwardingFixture fixture;
  for (const char* id : {"u1", "u2", "u3", "u4"}) {
    fixture.AddUpstream(id, "desk");
  }
  fixture.Send("/again/");
  OnlyStart(fixture.End(AttemptOutcome::kErrorResponse));
  const auto effects = fixture.End(AttemptOutcome::kErrorResponse);
  CHECK(EffectsOf<StartAttempt>(effects).empty());
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<DeliverResponse>(effects).size());
}

// Guards against a resumed stream that starts from the beginning.
TEST(ForwardingStep, ResumesAStreamAfterTheLastEvent) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.AddUpstream("e2", "engine", 1);
  fixture.Send("/resume/");
  const StartAttempt again =
      OnlyStart(fixture.End(AttemptOutcome::kBroken, "17"));
  STRCMP_EQUAL("17", again.resume_after.c_str());
}

// Guards against resuming a stream whose route does not allow it.
TEST(ForwardingStep, DoesNotResumeOtherStreams) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.AddUpstream("e2", "engine", 1);
  fixture.Send("/prompt/");
  const auto effects = fixture.End(AttemptOutcome::kBroken, "17");
  CHECK(EffectsOf<StartAttempt>(effects).empty());
  CHECK(OnlyRefusal(effects).verdict == Verdict::kMayHaveRun);
}

// Guards against an idempotent request that waits for an unresponsive upstream
// until its deadline.
TEST(ForwardingStep, TimesOutAnUnresponsiveUpstream) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("u2", "desk");
  const std::string first = OnlyStart(fixture.Send("/again/")).upstream;
  fixture.Wait(1s);
  const auto effects = fixture.Apply(TimerFired{});
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<CancelAttempt>(effects).size());
  CHECK(OnlyStart(effects).upstream != first);
}

// Guards against a sound upstream that is suspended, or is said to have
// crashed, because short attempts timed out while it was silent for a second.
TEST(ForwardingStep, ASilentSecondSuspendsNoUpstream) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  const auto time_out_four_attempts = [&] {
    fixture.Confirm();
    for (int i = 0; i < 4; ++i) {
      OnlyStart(fixture.Send("/again/"));
    }
    fixture.Wait(800ms);
    const auto effects = fixture.Apply(TimerFired{});
    UNSIGNED_LONGS_EQUAL(4, EffectsOf<CancelAttempt>(effects).size());
    CHECK(EffectsOf<ShareCrashReport>(effects).empty());
  };
  const auto is_suspended = [&] {
    const auto until =
        fixture.CurrentState().upstreams.Find("u1")->suspended_until;
    return until && fixture.Now() < *until;
  };
  time_out_four_attempts();
  CHECK_FALSE(is_suspended());
  OnlyStart(fixture.Send("/once/"));
  fixture.End(AttemptOutcome::kCompleted);
  time_out_four_attempts();
  CHECK_FALSE(is_suspended());
  // One that stays silent is suspended.
  time_out_four_attempts();
  CHECK(is_suspended());
}

// Guards against giving up or resuming a stream, or a request that may run only
// once, because the upstream is silent for a second.
TEST(ForwardingStep, ASilentSecondEndsNoStreamAndNoSingleAttempt) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("e1", "engine", 1);
  fixture.AddUpstream("e2", "engine", 1);
  fixture.Send("/once/", "key-a", 4s);
  const StartAttempt stream = OnlyStart(fixture.Send("/resume/", "key-a", 5s));
  fixture.Wait(1400ms);
  CHECK(fixture.Apply(TimerFired{}).empty());
  fixture.Apply(ResponseStarted{fixture.NewestRequest(), stream.attempt});
  fixture.Wait(2s);
  CHECK(fixture.Apply(TimerFired{}).empty());
}

// Guards against a response after the deadline of the caller or the route.
TEST(ForwardingStep, EndsARequestAtItsDeadline) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.Send("/once/", "key-a", 700ms);
  fixture.Wait(701ms);
  const auto effects = fixture.Apply(TimerFired{});
  CHECK(Is(RefusalCode::kDeadlineExceeded, OnlyRefusal(effects)));
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<CancelAttempt>(effects).size());
  CHECK(fixture.CurrentState().requests.empty());
  CHECK(fixture.CurrentState().timers.empty());
}

// Guards against an upstream that keeps running a request whose caller has
// disconnected.
TEST(ForwardingStep, CancelsTheAttemptOfACallerThatDisconnected) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.Send("/once/");
  const auto effects =
      fixture.Apply(CallerDisconnected{fixture.NewestRequest()});
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<CancelAttempt>(effects).size());
  UNSIGNED_LONGS_EQUAL(0,
                       fixture.CurrentState().upstreams.Find("u1")->in_flight);
}

// Guards against using the response of an attempt that is no longer current.
TEST(ForwardingStep, IgnoresEndsOfEarlierAttempts) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.Send("/once/");
  const auto effects =
      fixture.Apply(AttemptEnded{fixture.NewestRequest(), AttemptId{999},
                                 AttemptOutcome::kCompleted, "", ""});
  CHECK(effects.empty());
}

// Guards against sending requests to draining upstreams.
TEST(ForwardingStep, SendsNothingToDrainingUpstreams) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  UpstreamEntry leaving = fixture.CurrentState().upstreams.Find("u1")->entry;
  leaving.draining = true;
  fixture.Apply(UpstreamRegistered{leaving});
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/once/"))));
}

// Guards against a registry outage that removes all upstreams, and against
// removed upstreams that stay in use after the grace period.
TEST(ForwardingStep, KeepsRemovedUpstreamsForAGracePeriodAfterAnOutage) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("u2", "desk");
  fixture.Apply(RegistryRecovered{});
  fixture.Apply(UpstreamRemoved{"u1"});
  fixture.Apply(UpstreamRemoved{"u2"});
  OnlyStart(fixture.Send("/once/"));
  fixture.AddUpstream("u2", "desk");
  fixture.Wait(fixture.CurrentState().options.removal_grace_period);
  STRCMP_EQUAL("u2", OnlyStart(fixture.Send("/once/")).upstream.c_str());
  fixture.Apply(UpstreamRemoved{"u2"});
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/once/"))));
}

// Guards against requests to an upstream that left long ago, because the
// registry had another outage since (DRAIN).
TEST(ForwardingStep, RemovedUpstreamsDoNotReturnAfterAnotherOutage) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.Apply(RegistryRecovered{});
  fixture.Apply(UpstreamRemoved{"u1"});
  OnlyStart(fixture.Send("/once/"));
  fixture.Wait(fixture.CurrentState().options.removal_grace_period);
  fixture.Apply(RegistryRecovered{});
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/once/"))));
  fixture.AddUpstream("u1", "desk");
  OnlyStart(fixture.Send("/once/"));
}

// Guards against sharing cached parts between weight versions or with a
// workspace that has a private cache.
TEST(ForwardingStep, SaltsByWeightVersionAndPrivateCache) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  const std::string shared =
      OnlyStart(fixture.Send("/prompt/")).cache_plan->salt;
  const std::string own =
      OnlyStart(fixture.Send("/prompt/", "key-b")).cache_plan->salt;
  CHECK(shared != own);
  fixture.Apply(WeightsObserved{"e1", "m", 2});
  const StartAttempt newer = OnlyStart(fixture.Send("/prompt/"));
  CHECK(newer.cache_plan->salt != shared);
  UNSIGNED_LONGS_EQUAL(2, newer.cache_plan->expected_version);
}

// Guards against large prompts that fill the memory of all engines, so that
// running requests are preempted (simulated site fontaines-qc, day quiet-1, 8 s
// into a burst).
TEST(ForwardingStep, RefusesPromptsThatNoEngineHasMemoryFor) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  std::size_t started = 0;
  Effects effects = fixture.Send("/prompt/");
  while (!EffectsOf<StartAttempt>(effects).empty() && started < 50) {
    ++started;
    effects = fixture.Send("/prompt/");
  }
  // 10,000 tokens of memory, about 1,030 per request, and no limit above 105%.
  CHECK(started >= 8);
  CHECK(started <= 11);
  const RefuseRequest refusal = OnlyRefusal(effects);
  CHECK(Is(RefusalCode::kOverloaded, refusal));
  CHECK(refusal.verdict == Verdict::kNotRun);
  CHECK(refusal.retry_after.has_value());
}

// Guards against ignoring the requests of other daemons.
TEST(ForwardingStep, CountsTheMemoryThatOtherDaemonsUse) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.AddUpstream("e2", "engine", 1);
  const std::string chosen = OnlyStart(fixture.Send("/prompt/")).upstream;
  fixture.Apply(PeerCountsChanged{1});
  fixture.Apply(
      PeerLoadReceived{"peer", {{FleetLoad::CompactId(chosen), 7, 9'000}}, ""});
  CHECK(OnlyStart(fixture.Send("/prompt/")).upstream != chosen);
  fixture.Wait(2s);
  fixture.Confirm();
  STRCMP_EQUAL(chosen.c_str(),
               OnlyStart(fixture.Send("/prompt/")).upstream.c_str());
}

// Guards against daemons that send prompts with the same parts to different
// engines, each of which would compute them again.
TEST(ForwardingStep, PromptsWithTheSamePartsShareAnUpstream) {
  ForwardingFixture fixture;
  ForwardingFixture other;
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    fixture.AddUpstream(id, "engine", 1);
  }
  for (const char* id : {"e4", "e2", "e3", "e1"}) {
    other.AddUpstream(id, "engine", 1);
  }
  STRCMP_EQUAL(OnlyStart(fixture.Send("/prompt/")).upstream.c_str(),
               OnlyStart(other.Send("/prompt/")).upstream.c_str());
}

// Guards against a request that crashes one upstream after another because it
// is retried at different daemons.
TEST(ForwardingStep, ARequestThatCrashedThreeUpstreamsIsRefused) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("u2", "desk");
  fixture.AddUpstream("u3", "desk");
  for (int crash = 0; crash < 2; ++crash) {
    fixture.Send("/once/");
    const auto shared =
        EffectsOf<ShareCrashReport>(fixture.End(AttemptOutcome::kBroken));
    UNSIGNED_LONGS_EQUAL(1, shared.size());
    UNSIGNED_LONGS_EQUAL(0, shared[0].report.fingerprint);
    fixture.Apply(UpstreamRemoved{crash == 0 ? "u1" : "u2"});
    fixture.Wait(6s);
    fixture.Confirm();
  }
  // Another daemon reports the third crash.
  const CrashReport report{0, 77};
  UNSIGNED_LONGS_EQUAL(
      1, EffectsOf<ShareCrashReport>(fixture.Apply(CrashReportReceived{report}))
             .size());
  const RefuseRequest refusal = OnlyRefusal(fixture.Send("/once/"));
  CHECK(Is(RefusalCode::kCrashSuspect, refusal));
  CHECK(refusal.verdict == Verdict::kNotRun);
  CHECK(refusal.retry_after.has_value() && *refusal.retry_after > 1min);
  // Known reports are not broadcast again, or messages would never end.
  CHECK(EffectsOf<ShareCrashReport>(fixture.Apply(CrashReportReceived{report}))
            .empty());
}

// Guards against a retry of an idempotent request that has just crashed its
// third upstream, and against a status that promises that it did not run.
TEST(ForwardingStep, ACrashSuspectIsNotRetried) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("u2", "desk");
  fixture.Apply(CrashReportReceived{{0, 77}});
  fixture.Apply(CrashReportReceived{{0, 78}});
  OnlyStart(fixture.Send("/again/"));
  const RefuseRequest refusal =
      OnlyRefusal(fixture.End(AttemptOutcome::kBroken));
  CHECK(Is(RefusalCode::kUpstreamFailed, refusal));
  CHECK(refusal.verdict == Verdict::kMayHaveRun);
}

// Guards against reloaded settings that have no effect.
TEST(ForwardingStep, ChangedOptionsApplyToTheNextRequest) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.Wait(2s);
  OnlyStart(fixture.Send("/once/"));
  Options options = fixture.CurrentState().options;
  options.max_proof_age = 1s;
  fixture.Apply(OptionsChanged{options});
  CHECK(Is(RefusalCode::kConfigurationStale,
           OnlyRefusal(fixture.Send("/once/"))));
}

// Guards against recomputing parts when the preferred engine is overloaded and
// no store has them.
TEST(ForwardingStep, PartsAreFetchedFromThePreferredEngine) {
  ForwardingFixture fixture;
  for (const char* id : {"e1", "e2"}) {
    fixture.AddUpstream(id, "engine", 1);
  }
  const StartAttempt first = OnlyStart(fixture.Send("/prompt/"));
  for (const std::string& source : first.cache_plan->fetch) {
    CHECK(source.empty());
  }
  fixture.Apply(PeerCountsChanged{1});
  fixture.Apply(PeerLoadReceived{
      "peer", {{FleetLoad::CompactId(first.upstream), 7, 9'000}}, ""});
  const StartAttempt second = OnlyStart(fixture.Send("/prompt/"));
  CHECK(second.upstream != first.upstream);
  STRCMP_EQUAL("10.0.0.1:80", second.cache_plan->fetch.at(1).c_str());
  // The last part belongs to this request only.
  CHECK(second.cache_plan->fetch.back().empty());
  // During a rollout, parts may have been computed with both versions.
  fixture.Apply(WeightsPublished{"m", 2});
  const StartAttempt old = OnlyStart(fixture.Send("/prompt/"));
  STRCMP_EQUAL(second.upstream.c_str(), old.upstream.c_str());
  CHECK(old.cache_plan->fetch.at(1).empty());
  // An engine with other weights has no usable parts.
  fixture.Apply(WeightsObserved{first.upstream, "m", 2});
  const StartAttempt third = OnlyStart(fixture.Send("/prompt/"));
  STRCMP_EQUAL(second.upstream.c_str(), third.upstream.c_str());
  CHECK(third.cache_plan->fetch.at(1).empty());
}

// Guards against baseline policies that use the features they are to exclude.
TEST(ForwardingStep, BaselinePoliciesExcludeTheirFeatures) {
  ForwardingFixture fixture;
  for (const char* id : {"e1", "e2"}) {
    fixture.AddUpstream(id, "engine", 1);
  }
  fixture.CurrentState().options.prompt_placement =
      PromptPlacement::kPrefixAlone;
  fixture.CurrentState().options.limit_admission = false;
  const std::string preferred = OnlyStart(fixture.Send("/prompt/")).upstream;
  for (int i = 0; i < 30; ++i) {
    STRCMP_EQUAL(preferred.c_str(),
                 OnlyStart(fixture.Send("/prompt/")).upstream.c_str());
  }
  fixture.CurrentState().options.prompt_placement =
      PromptPlacement::kLeastLoaded;
  CHECK(OnlyStart(fixture.Send("/prompt/")).upstream != preferred);
  fixture.CurrentState().options.use_cache_stores = false;
  const StartAttempt start = OnlyStart(fixture.Send("/prompt/"));
  for (std::size_t i = 0; i < start.cache_plan->fetch.size(); ++i) {
    CHECK(start.cache_plan->fetch[i].empty() &&
          start.cache_plan->save[i].empty());
  }
}
