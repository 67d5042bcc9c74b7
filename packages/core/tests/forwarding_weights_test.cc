// Which weight versions requests may use while new ones are published and
// loaded.

#include <jasminehatch/core.h>

#include <chrono>
#include <string>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::RefusalCode;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(ForwardingWeights, jasminehatch::testing::LeakDetectorOff){};

// Guards against requests on old weights after a second version was published
// (simulated site fpeca-ops, day trouble-2, seed 131217745487).
TEST(ForwardingWeights, ANewerVersionDoesNotExtendTheLimitOfTheOneBefore) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.Apply(WeightsPublished{"m", 2});
  fixture.Wait(fixture.CurrentState().options.version_hard_limit);
  fixture.Apply(WeightsPublished{"m", 3});
  fixture.Confirm();
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/prompt/"))));
  fixture.AddUpstream("e2", "engine", 2);
  STRCMP_EQUAL("e2", OnlyStart(fixture.Send("/prompt/")).upstream.c_str());
}

// Guards against a daemon that starts during a rollout and treats the published
// version as new.
TEST(ForwardingWeights, AVersionFoundAtStartupMayBeOld) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.Apply(WeightsPublished{"m", 2, false});
  OnlyStart(fixture.Send("/prompt/"));
  fixture.AddUpstream("e2", "engine", 2);
  for (int i = 0; i < 5; ++i) {
    STRCMP_EQUAL("e2", OnlyStart(fixture.Send("/prompt/")).upstream.c_str());
  }
}

// Guards against requests on old weights after a restart: a version published
// later withdrew the limit of the one that the daemon had found when it
// started.
TEST(ForwardingWeights, ANewerVersionDoesNotWithdrawOneFoundAtStartup) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.AddUpstream("e2", "engine", 2);
  fixture.Apply(WeightsPublished{"m", 2, false});
  fixture.Apply(WeightsPublished{"m", 3, true});
  for (int i = 0; i < 5; ++i) {
    STRCMP_EQUAL("e2", OnlyStart(fixture.Send("/prompt/")).upstream.c_str());
  }
}

// Guards against requests on old weights after more versions were published
// within the limit than a daemon keeps.
TEST(ForwardingWeights, ManyVersionsDoNotWithdrawTheOldest) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  for (std::uint64_t version = 2; version <= 40; ++version) {
    fixture.Apply(WeightsPublished{"m", version});
    fixture.Wait(10ms);
  }
  OnlyStart(fixture.Send("/prompt/"));
  fixture.Wait(fixture.CurrentState().options.version_hard_limit - 390ms);
  fixture.Confirm();
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/prompt/"))));
  fixture.AddUpstream("e2", "engine", 40);
  STRCMP_EQUAL("e2", OnlyStart(fixture.Send("/prompt/")).upstream.c_str());
}

// Guards against requests on old weights at a restarted daemon while no
// upstream has the published ones, whose limit may have passed long ago.
TEST(ForwardingWeights, AVersionFoundAtStartupIsRequiredSoonWithoutUpstream) {
  ForwardingFixture fixture;
  const auto limit = fixture.CurrentState().options.found_version_limit;
  CHECK(limit < fixture.CurrentState().options.version_hard_limit);
  fixture.AddUpstream("e1", "engine", 1);
  fixture.Apply(WeightsPublished{"m", 2, false});
  fixture.Wait(limit - 1ms);
  fixture.Confirm();
  OnlyStart(fixture.Send("/prompt/"));
  fixture.Wait(1ms);
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/prompt/"))));
  fixture.AddUpstream("e2", "engine", 2);
  STRCMP_EQUAL("e2", OnlyStart(fixture.Send("/prompt/")).upstream.c_str());
}

// Guards against a restarted daemon that uses the few engines with new weights
// alone, although a peer knows that the old ones may still be used.
TEST(ForwardingWeights, APeerTellsTheAgeOfAVersionFoundAtStartup) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e2", "engine", 2);
  fixture.Apply(WeightsPublished{"m", 2, false});
  fixture.Apply(PublicationAgeReceived{{"m", 2, 1s, true}});
  fixture.Apply(UpstreamRemoved{"e2"});
  fixture.AddUpstream("e1", "engine", 1);
  const auto limit = fixture.CurrentState().options.version_hard_limit;
  fixture.Wait(limit - 1s - 1ms);
  fixture.Confirm();
  OnlyStart(fixture.Send("/prompt/"));
  fixture.Wait(1ms);
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/prompt/"))));
}

// Guards against a restarted daemon that does not require a version because a
// newer one was published before the daemon started.
TEST(ForwardingWeights, APeerTellsAVersionThatWasReplacedBeforeTheStart) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.AddUpstream("e2", "engine", 2);
  fixture.Apply(WeightsPublished{"m", 3, false});
  fixture.Apply(PublicationAgeReceived{{"m", 3, 1s, true}});
  fixture.Apply(PublicationAgeReceived{{"m", 2, 10s, true}});
  for (int i = 0; i < 5; ++i) {
    STRCMP_EQUAL("e2", OnlyStart(fixture.Send("/prompt/")).upstream.c_str());
  }
}

// Guards against an upstream that stays unused because the daemon that waited
// for the end of its load stopped before it could say so.
TEST(ForwardingWeights, NewerWeightsEndALoad) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.Apply(UpstreamLoading{"e1", true});
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/prompt/"))));
  fixture.Apply(WeightsObserved{"e1", "m", 1});
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/prompt/"))));
  fixture.AddUpstream("e1", "engine", 2);
  OnlyStart(fixture.Send("/prompt/"));
}

// Guards against an upstream that stays unused after a load whose end nobody
// reports.
TEST(ForwardingWeights, ALoadOfUnknownEndIsNotAwaitedForever) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.Apply(UpstreamLoading{"e1", true});
  fixture.Wait(fixture.CurrentState().options.max_load_time - 1ms);
  fixture.Confirm();
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/prompt/"))));
  fixture.Wait(1ms);
  OnlyStart(fixture.Send("/prompt/"));
}

// Guards against sending the same weight version again to an upstream that
// rejected it.
TEST(ForwardingWeights, UpdatesTheWeightVersionAfterARejection) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.Apply(WeightsPublished{"m", 2});
  fixture.Send("/prompt/");
  fixture.End(AttemptOutcome::kWrongWeights);
  UNSIGNED_LONGS_EQUAL(
      2, fixture.CurrentState().upstreams.Find("e1")->WeightVersion("m"));
}
