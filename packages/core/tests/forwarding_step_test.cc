#include <jasminehatch/core.h>

#include <chrono>
#include <string>

#include "forwarding_world.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::AttemptId;
using jasminehatch::MonotonicTime;
using jasminehatch::RefusalCode;
using jasminehatch::RequestId;
using jasminehatch::Verdict;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

namespace {

StartAttempt OnlyStart(const Effects& effects) {
  const auto starts = EffectsOf<StartAttempt>(effects);
  UNSIGNED_LONGS_EQUAL(1, starts.size());
  return starts.front();
}

RefuseRequest OnlyRefusal(const Effects& effects) {
  const auto refusals = EffectsOf<RefuseRequest>(effects);
  UNSIGNED_LONGS_EQUAL(1, refusals.size());
  return refusals.front();
}

bool Is(RefusalCode code, const RefuseRequest& refusal) {
  return refusal.code == code;
}

}  // namespace

TEST_GROUP_BASE(ForwardingStep, jasminehatch::testing::LeakDetectorOff){};

// Guards against a 404 response before a configuration was read.
TEST(ForwardingStep, RefusesWithoutConfigurationAsNotRun) {
  World world;
  State state;
  RequestReceived received;
  received.request = RequestId{1};
  received.path = "/once/";
  const auto effects = Step(received, world.Now(), state);
  const RefuseRequest refusal = OnlyRefusal(effects);
  CHECK(Is(RefusalCode::kConfigurationStale, refusal));
  CHECK(refusal.verdict == Verdict::kNotRun);
  CHECK(refusal.retry_after.has_value());
}

// Guards against accepting a revoked key while the platform's store is
// unreachable.
TEST(ForwardingStep, RefusesKeysWhenTheProofIsTooOld) {
  World world;
  world.AddUpstream("u1", "desk");
  world.Wait(world.Current().options.proof_limit + 1ms);
  CHECK(
      Is(RefusalCode::kConfigurationStale, OnlyRefusal(world.Send("/once/"))));
  OnlyStart(world.Send("/open/", ""));
  world.Confirm();
  OnlyStart(world.Send("/once/"));
}

// Guards against an older confirmation that replaces the freshness proof.
TEST(ForwardingStep, KeepsTheNewestProof) {
  World world;
  const MonotonicTime before = *world.Current().confirmed_at;
  world.Apply(ConfigurationConfirmed{before - 1s});
  CHECK(*world.Current().confirmed_at == before);
}

// Guards against 404 and 401 responses based on an outdated configuration.
TEST(ForwardingStep, RejectsOnlyByACurrentConfiguration) {
  World world;
  CHECK(Is(RefusalCode::kUnknownRoute, OnlyRefusal(world.Send("/none/"))));
  CHECK(Is(RefusalCode::kUnauthorized,
           OnlyRefusal(world.Send("/once/", "nobody"))));
  world.Wait(10s);
  CHECK(
      Is(RefusalCode::kConfigurationStale, OnlyRefusal(world.Send("/none/"))));
  CHECK(Is(RefusalCode::kConfigurationStale,
           OnlyRefusal(world.Send("/once/", "nobody"))));
}

// Guards against replacing the configuration with an older version.
TEST(ForwardingStep, IgnoresOlderConfigurations) {
  World world;
  world.Apply(ConfigurationRead{world.MakeConfiguration(5)});
  Configuration old = world.MakeConfiguration(4);
  old.routes.clear();
  world.Apply(ConfigurationRead{old});
  UNSIGNED_LONGS_EQUAL(5, world.Current().table->Current().version);
}

// Guards against a second run of a non-idempotent request.
TEST(ForwardingStep, SendsAOnceRequestAgainOnlyWhenItDidNotRun) {
  World world;
  world.AddUpstream("u1", "desk");
  world.AddUpstream("u2", "desk");
  const std::string first = OnlyStart(world.Send("/once/")).upstream;
  const StartAttempt second = OnlyStart(world.End(AttemptOutcome::kNotRun));
  CHECK(second.upstream != first);
  const RefuseRequest refusal = OnlyRefusal(world.End(AttemptOutcome::kBroken));
  CHECK(Is(RefusalCode::kUpstreamFailed, refusal));
  CHECK(refusal.verdict == Verdict::kMayHaveRun);
  CHECK_FALSE(refusal.retry_after.has_value());
}

// Guards against a 503, which promises "not run", after the connection of an
// attempt was lost.
TEST(ForwardingStep, NeverPromisesNotRunAfterABreak) {
  World world;
  world.AddUpstream("u1", "desk");
  world.AddUpstream("u2", "desk");
  world.Send("/again/");
  OnlyStart(world.End(AttemptOutcome::kBroken));
  const RefuseRequest refusal = OnlyRefusal(world.End(AttemptOutcome::kNotRun));
  CHECK(refusal.verdict == Verdict::kMayHaveRun);
  CHECK(Describe(refusal.code).http_status == 502);
}

// Guards against more runs of a request than its route allows.
TEST(ForwardingStep, KeepsTheAttemptsOfTheRoute) {
  World world;
  for (const char* id : {"u1", "u2", "u3", "u4"}) {
    world.AddUpstream(id, "desk");
  }
  world.Send("/again/");
  OnlyStart(world.End(AttemptOutcome::kFailedAnswer));
  const auto effects = world.End(AttemptOutcome::kFailedAnswer);
  CHECK(EffectsOf<StartAttempt>(effects).empty());
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<DeliverAnswer>(effects).size());
}

// Guards against a resumed stream that starts from the beginning.
TEST(ForwardingStep, ResumesAStreamAfterTheLastEvent) {
  World world;
  world.AddUpstream("e1", "engine", 1);
  world.AddUpstream("e2", "engine", 1);
  world.Send("/resume/");
  const StartAttempt again =
      OnlyStart(world.End(AttemptOutcome::kBroken, "17"));
  STRCMP_EQUAL("17", again.resume_after.c_str());
}

// Guards against resuming a stream whose route does not allow it.
TEST(ForwardingStep, DoesNotResumeOtherStreams) {
  World world;
  world.AddUpstream("e1", "engine", 1);
  world.AddUpstream("e2", "engine", 1);
  world.Send("/prompt/");
  const auto effects = world.End(AttemptOutcome::kBroken, "17");
  CHECK(EffectsOf<StartAttempt>(effects).empty());
  CHECK(OnlyRefusal(effects).verdict == Verdict::kMayHaveRun);
}

// Guards against an idempotent request that waits for an unresponsive upstream
// until its deadline.
TEST(ForwardingStep, GivesUpASilentUpstreamInTime) {
  World world;
  world.AddUpstream("u1", "desk");
  world.AddUpstream("u2", "desk");
  const std::string first = OnlyStart(world.Send("/again/")).upstream;
  world.Wait(1s);
  const auto effects = world.Apply(TimerFired{});
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<CancelAttempt>(effects).size());
  CHECK(OnlyStart(effects).upstream != first);
}

// Guards against a response after the deadline of the caller or the route.
TEST(ForwardingStep, EndsARequestAtItsDeadline) {
  World world;
  world.AddUpstream("u1", "desk");
  world.Send("/once/", "key-a", 700ms);
  world.Wait(701ms);
  const auto effects = world.Apply(TimerFired{});
  CHECK(Is(RefusalCode::kDeadlineExceeded, OnlyRefusal(effects)));
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<CancelAttempt>(effects).size());
  CHECK(world.Current().requests.empty());
  CHECK(world.Current().timers.empty());
}

// Guards against an upstream that keeps running a request whose caller has
// disconnected.
TEST(ForwardingStep, CancelsTheAttemptOfACallerThatLeft) {
  World world;
  world.AddUpstream("u1", "desk");
  world.Send("/once/");
  const auto effects = world.Apply(CallerLeft{world.Newest()});
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<CancelAttempt>(effects).size());
  UNSIGNED_LONGS_EQUAL(0, world.Current().upstreams.Find("u1")->in_flight);
}

// Guards against using the response of an attempt that is no longer current.
TEST(ForwardingStep, IgnoresEndsOfEarlierAttempts) {
  World world;
  world.AddUpstream("u1", "desk");
  world.Send("/once/");
  const auto effects = world.Apply(AttemptEnded{
      world.Newest(), AttemptId{999}, AttemptOutcome::kAnswered, "", ""});
  CHECK(effects.empty());
}

// Guards against sending requests to draining upstreams.
TEST(ForwardingStep, SendsNothingToLeavingUpstreams) {
  World world;
  world.AddUpstream("u1", "desk");
  UpstreamEntry leaving = world.Current().upstreams.Find("u1")->entry;
  leaving.draining = true;
  world.Apply(UpstreamRegistered{leaving});
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(world.Send("/once/"))));
}

// Guards against a registry outage that removes all upstreams, and against
// removed upstreams that stay in use after the grace period.
TEST(ForwardingStep, WaitsForLapsedEntriesAfterAnOutage) {
  World world;
  world.AddUpstream("u1", "desk");
  world.AddUpstream("u2", "desk");
  world.Apply(RegistryRegained{});
  world.Apply(UpstreamRemoved{"u1"});
  world.Apply(UpstreamRemoved{"u2"});
  OnlyStart(world.Send("/once/"));
  world.AddUpstream("u2", "desk");
  world.Wait(world.Current().options.lapse_grace);
  STRCMP_EQUAL("u2", OnlyStart(world.Send("/once/")).upstream.c_str());
  world.Apply(UpstreamRemoved{"u2"});
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(world.Send("/once/"))));
}

// Guards against sharing cached parts between weight versions or with a
// dedicated workspace.
TEST(ForwardingStep, SaltsByWeightsAndDedicatedWorkspace) {
  World world;
  world.AddUpstream("e1", "engine", 1);
  const std::string shared = OnlyStart(world.Send("/prompt/")).prompt->salt;
  const std::string own =
      OnlyStart(world.Send("/prompt/", "key-b")).prompt->salt;
  CHECK(shared != own);
  world.Apply(WeightsObserved{"e1", "m", 2});
  const StartAttempt newer = OnlyStart(world.Send("/prompt/"));
  CHECK(newer.prompt->salt != shared);
  UNSIGNED_LONGS_EQUAL(2, newer.prompt->expected_version);
}

// Guards against requests on old weights after a second version was published
// (fpeca-ops trouble-2, seed 131217745487).
TEST(ForwardingStep, ANewerVersionDoesNotExtendTheLimitOfTheOneBefore) {
  World world;
  world.AddUpstream("e1", "engine", 1);
  world.Apply(WeightsNamed{"m", 2});
  world.Wait(world.Current().options.version_hard_limit);
  world.Apply(WeightsNamed{"m", 3});
  world.Confirm();
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(world.Send("/prompt/"))));
  world.AddUpstream("e2", "engine", 2);
  STRCMP_EQUAL("e2", OnlyStart(world.Send("/prompt/")).upstream.c_str());
}

// Guards against a daemon that starts during a rollout and treats the published
// version as new.
TEST(ForwardingStep, AVersionFoundAtAStartMayBeOld) {
  World world;
  world.AddUpstream("e1", "engine", 1);
  world.Apply(WeightsNamed{"m", 2, false});
  OnlyStart(world.Send("/prompt/"));
  world.AddUpstream("e2", "engine", 2);
  for (int i = 0; i < 5; ++i) {
    STRCMP_EQUAL("e2", OnlyStart(world.Send("/prompt/")).upstream.c_str());
  }
}

// Guards against sending the same weight version again to an upstream that
// rejected it.
TEST(ForwardingStep, LearnsFromRejectedWeights) {
  World world;
  world.AddUpstream("e1", "engine", 1);
  world.Apply(WeightsNamed{"m", 2});
  world.Send("/prompt/");
  world.End(AttemptOutcome::kWrongWeights);
  UNSIGNED_LONGS_EQUAL(2, world.Current().upstreams.Find("e1")->Weights("m"));
}

// Guards against large prompts that fill the memory of all engines, so that
// running requests are preempted (fontaines-qc quiet-1, burst at 8 s).
TEST(ForwardingStep, RefusesWhatNoEngineHasMemoryFor) {
  World world;
  world.AddUpstream("e1", "engine", 1);
  std::size_t started = 0;
  Effects effects = world.Send("/prompt/");
  while (!EffectsOf<StartAttempt>(effects).empty() && started < 50) {
    ++started;
    effects = world.Send("/prompt/");
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
  World world;
  world.AddUpstream("e1", "engine", 1);
  world.AddUpstream("e2", "engine", 1);
  const std::string chosen = OnlyStart(world.Send("/prompt/")).upstream;
  world.Apply(PeersKnown{1});
  world.Apply(
      PeerLoadReported{"peer", {{FleetLoad::NameOf(chosen), 7, 9'000}}, ""});
  CHECK(OnlyStart(world.Send("/prompt/")).upstream != chosen);
  world.Wait(2s);
  world.Confirm();
  STRCMP_EQUAL(chosen.c_str(),
               OnlyStart(world.Send("/prompt/")).upstream.c_str());
}

// Guards against daemons that send prompts with the same parts to different
// engines, each of which would compute them again.
TEST(ForwardingStep, PromptsWithTheSamePartsMeet) {
  World world;
  World other;
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    world.AddUpstream(id, "engine", 1);
  }
  for (const char* id : {"e4", "e2", "e3", "e1"}) {
    other.AddUpstream(id, "engine", 1);
  }
  STRCMP_EQUAL(OnlyStart(world.Send("/prompt/")).upstream.c_str(),
               OnlyStart(other.Send("/prompt/")).upstream.c_str());
}

// Guards against a request that crashes one upstream after another because it
// is retried at different daemons.
TEST(ForwardingStep, ARequestThatCrashedThreeUpstreamsIsRefused) {
  World world;
  world.AddUpstream("u1", "desk");
  world.AddUpstream("u2", "desk");
  world.AddUpstream("u3", "desk");
  for (int crash = 0; crash < 2; ++crash) {
    world.Send("/once/");
    const auto shared =
        EffectsOf<ShareCrash>(world.End(AttemptOutcome::kBroken));
    UNSIGNED_LONGS_EQUAL(1, shared.size());
    UNSIGNED_LONGS_EQUAL(0, shared[0].report.fingerprint);
    world.Apply(UpstreamRemoved{crash == 0 ? "u1" : "u2"});
    world.Wait(6s);
    world.Confirm();
  }
  // Another daemon reports the third crash.
  const CrashReport report{0, 77};
  UNSIGNED_LONGS_EQUAL(
      1, EffectsOf<ShareCrash>(world.Apply(CrashReported{report})).size());
  const RefuseRequest refusal = OnlyRefusal(world.Send("/once/"));
  CHECK(Is(RefusalCode::kCrashSuspect, refusal));
  CHECK(refusal.verdict == Verdict::kNotRun);
  CHECK(refusal.retry_after.has_value() && *refusal.retry_after > 1min);
  // Known reports are not broadcast again, or messages would never end.
  CHECK(EffectsOf<ShareCrash>(world.Apply(CrashReported{report})).empty());
}

// Guards against a retry of an idempotent request that has just crashed its
// third upstream, and against a status that promises that it did not run.
TEST(ForwardingStep, ACrashSuspectIsNotRetried) {
  World world;
  world.AddUpstream("u1", "desk");
  world.AddUpstream("u2", "desk");
  world.Apply(CrashReported{{0, 77}});
  world.Apply(CrashReported{{0, 78}});
  OnlyStart(world.Send("/again/"));
  const RefuseRequest refusal = OnlyRefusal(world.End(AttemptOutcome::kBroken));
  CHECK(Is(RefusalCode::kUpstreamFailed, refusal));
  CHECK(refusal.verdict == Verdict::kMayHaveRun);
}

// Guards against reloaded settings that have no effect.
TEST(ForwardingStep, ChangedOptionsHoldForTheNextRequest) {
  World world;
  world.AddUpstream("u1", "desk");
  world.Wait(2s);
  OnlyStart(world.Send("/once/"));
  Options options = world.Current().options;
  options.proof_limit = 1s;
  world.Apply(OptionsChanged{options});
  CHECK(
      Is(RefusalCode::kConfigurationStale, OnlyRefusal(world.Send("/once/"))));
}

// Guards against recomputing parts when the preferred engine is overloaded and
// no store has them.
TEST(ForwardingStep, PartsAreFetchedFromTheEngineThatUsuallyServesThePrompt) {
  World world;
  for (const char* id : {"e1", "e2"}) {
    world.AddUpstream(id, "engine", 1);
  }
  const StartAttempt first = OnlyStart(world.Send("/prompt/"));
  for (const std::string& source : first.prompt->fetch) {
    CHECK(source.empty());
  }
  world.Apply(PeersKnown{1});
  world.Apply(PeerLoadReported{
      "peer", {{FleetLoad::NameOf(first.upstream), 7, 9'000}}, ""});
  const StartAttempt second = OnlyStart(world.Send("/prompt/"));
  CHECK(second.upstream != first.upstream);
  STRCMP_EQUAL("10.0.0.1:80", second.prompt->fetch.at(1).c_str());
  // The last part belongs to this request only.
  CHECK(second.prompt->fetch.back().empty());
  // During a rollout, parts may have been computed with both versions.
  world.Apply(WeightsNamed{"m", 2});
  const StartAttempt old = OnlyStart(world.Send("/prompt/"));
  STRCMP_EQUAL(second.upstream.c_str(), old.upstream.c_str());
  CHECK(old.prompt->fetch.at(1).empty());
  // An engine with other weights has no usable parts.
  world.Apply(WeightsObserved{first.upstream, "m", 2});
  const StartAttempt third = OnlyStart(world.Send("/prompt/"));
  STRCMP_EQUAL(second.upstream.c_str(), third.upstream.c_str());
  CHECK(third.prompt->fetch.at(1).empty());
}

// Guards against baseline policies that use the features they are to exclude.
TEST(ForwardingStep, BaselinePoliciesLeaveOutWhatTheirNamesSay) {
  World world;
  for (const char* id : {"e1", "e2"}) {
    world.AddUpstream(id, "engine", 1);
  }
  world.Current().options.prompt_placement = PromptPlacement::kPrefixAlone;
  world.Current().options.limit_admission = false;
  const std::string home = OnlyStart(world.Send("/prompt/")).upstream;
  for (int i = 0; i < 30; ++i) {
    STRCMP_EQUAL(home.c_str(),
                 OnlyStart(world.Send("/prompt/")).upstream.c_str());
  }
  world.Current().options.prompt_placement = PromptPlacement::kLeastLoaded;
  CHECK(OnlyStart(world.Send("/prompt/")).upstream != home);
  world.Current().options.use_cache_stores = false;
  const StartAttempt start = OnlyStart(world.Send("/prompt/"));
  for (std::size_t i = 0; i < start.prompt->fetch.size(); ++i) {
    CHECK(start.prompt->fetch[i].empty() && start.prompt->save[i].empty());
  }
}
