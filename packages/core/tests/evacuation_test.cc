// Evacuated availability zones: which upstreams get requests while the
// operators evacuate a zone, and what is logged.

#include <jasminehatch/core.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::Counter;
using jasminehatch::CountEvent;
using jasminehatch::Duration;
using jasminehatch::RefusalCode;
using jasminehatch::Verdict;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;

namespace {

void AddIn(ForwardingFixture& fixture,
           const std::string& zone,
           const std::string& id,
           const std::string& service = "desk") {
  UpstreamEntry entry;
  entry.id = id;
  entry.service = service;
  entry.address = id + ":80";
  entry.zone = zone;
  entry.slots = 8;
  entry.weights["m"] = 1;
  fixture.Apply(UpstreamRegistered{entry});
}

/// @return the ids of the upstreams that `count` requests were sent to; those
/// stay in flight
std::vector<std::string> Targets(ForwardingFixture& fixture,
                                 std::size_t count,
                                 const std::string& path = "/once/") {
  std::vector<std::string> targets;
  for (std::size_t i = 0; i < count; ++i) {
    targets.push_back(OnlyStart(fixture.Send(path)).upstream);
  }
  return targets;
}

bool Holds(const std::vector<std::string>& targets, const std::string& id) {
  return std::find(targets.begin(), targets.end(), id) != targets.end();
}

std::size_t CountOf(const Effects& effects, Counter counter) {
  const auto counts = EffectsOf<CountEvent>(effects);
  return static_cast<std::size_t>(std::count_if(
      counts.begin(), counts.end(),
      [&](const CountEvent& event) { return event.counter == counter; }));
}

}  // namespace

TEST_GROUP_BASE(Evacuation, jasminehatch::testing::LeakDetectorOff){};

// Guards against a daemon that starts during an evacuation and uses the zone
// until the next record.
TEST(Evacuation, KnownFromTheSnapshotAtStart) {
  ForwardingFixture fixture;
  fixture.Apply(EvacuationsListed{{"a"}});
  AddIn(fixture, "a", "near");
  AddIn(fixture, "b", "far");
  CHECK_FALSE(Holds(Targets(fixture, 6), "near"));
  // A zone of which the daemon knew no upstream yet is evacuated as well.
  AddIn(fixture, "a", "near-2");
  CHECK_FALSE(Holds(Targets(fixture, 6), "near-2"));
}

// Guards against new requests in the zone after the record was read, against
// running ones that are cut off, and against a zone that stays unused when the
// record is gone.
TEST(Evacuation, LearntAndTakenBack) {
  ForwardingFixture fixture;
  AddIn(fixture, "a", "near");
  AddIn(fixture, "b", "far");
  STRCMP_EQUAL("near", OnlyStart(fixture.Send("/once/")).upstream.c_str());
  const Effects begun = fixture.Apply(EvacuationChanged{"a", true});
  CHECK(EffectsOf<CancelAttempt>(begun).empty());
  UNSIGNED_LONGS_EQUAL(1, CountOf(begun, Counter::kZoneEvacuated));
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<LogDecision>(begun).size());
  // The record may be read twice.
  CHECK(fixture.Apply(EvacuationChanged{"a", true}).empty());
  UNSIGNED_LONGS_EQUAL(
      1, EffectsOf<DeliverResponse>(fixture.End(AttemptOutcome::kCompleted))
             .size());
  CHECK_FALSE(Holds(Targets(fixture, 6), "near"));
  const Effects ended = fixture.Apply(EvacuationChanged{"a", false});
  UNSIGNED_LONGS_EQUAL(1, CountOf(ended, Counter::kZoneEvacuationEnded));
  CHECK(Holds(Targets(fixture, 1), "near"));
}

// Guards against an evacuation that goes on although its record was removed
// while the daemon could not read the store's history.
TEST(Evacuation, SnapshotReplacesWhatWasKnown) {
  ForwardingFixture fixture;
  AddIn(fixture, "a", "near");
  AddIn(fixture, "b", "far");
  fixture.Apply(EvacuationChanged{"a", true});
  const Effects effects = fixture.Apply(EvacuationsListed{{"b"}});
  UNSIGNED_LONGS_EQUAL(1, CountOf(effects, Counter::kZoneEvacuated));
  UNSIGNED_LONGS_EQUAL(1, CountOf(effects, Counter::kZoneEvacuationEnded));
  CHECK_FALSE(Holds(Targets(fixture, 6), "far"));
}

// Guards against a retry that reaches the zone, whether the first attempt did
// not run or may have run.
TEST(Evacuation, RetriesAvoidTheZone) {
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kNotSent, AttemptOutcome::kNotRun,
        AttemptOutcome::kBroken, AttemptOutcome::kTimedOut}) {
    ForwardingFixture fixture;
    AddIn(fixture, "a", "near");
    STRCMP_EQUAL("near", OnlyStart(fixture.Send("/again/")).upstream.c_str());
    AddIn(fixture, "a", "near-2");
    AddIn(fixture, "b", "far");
    fixture.Apply(EvacuationChanged{"a", true});
    STRCMP_EQUAL("far", OnlyStart(fixture.End(outcome)).upstream.c_str());
  }
}

// Guards against a retry into the zone when no other upstream is left.
TEST(Evacuation, NoRetryIntoTheOnlyZone) {
  ForwardingFixture fixture;
  AddIn(fixture, "a", "near");
  AddIn(fixture, "a", "near-2");
  fixture.Send("/again/");
  fixture.Apply(EvacuationChanged{"a", true});
  CHECK(Is(RefusalCode::kOverloaded,
           OnlyRefusal(fixture.End(AttemptOutcome::kNotSent))));
}

// Guards against requests that reach the evacuated zone, or wait, because no
// other zone has a usable upstream.
TEST(Evacuation, WinsOverTheLastUsableZone) {
  ForwardingFixture fixture;
  AddIn(fixture, "a", "near");
  AddIn(fixture, "a", "engine-1", "engine");
  fixture.Apply(EvacuationChanged{"a", true});
  for (const char* path : {"/once/", "/again/", "/prompt/", "/open/"}) {
    const Effects effects = fixture.Send(path);
    const RefuseRequest refusal = OnlyRefusal(effects);
    CHECK(Is(RefusalCode::kNoUpstream, refusal));
    CHECK(refusal.verdict == Verdict::kNotRun);
    CHECK(refusal.retry_after && *refusal.retry_after > Duration::zero());
    CHECK(refusal.detail.find("evacuated") != std::string::npos);
    UNSIGNED_LONGS_EQUAL(1, CountOf(effects, Counter::kRefusedInEvacuatedZone));
  }
}

// Guards against an upstream outside the zone that fetches prompt parts from an
// engine in it, which would keep that engine busy.
TEST(Evacuation, NoPartsAreFetchedFromEnginesOfTheZone) {
  std::size_t fetches = 0;
  for (const char* part : {"one", "two", "three", "four", "five", "six"}) {
    ForwardingFixture fixture;
    AddIn(fixture, "a", "engine-a", "engine");
    AddIn(fixture, "b", "engine-b", "engine");
    AddIn(fixture, "b", "engine-c", "engine");
    fixture.Apply(EvacuationChanged{"a", true});
    // The preferred engine becomes overloaded, so that others fetch from it.
    for (int i = 0; i < 18; ++i) {
      const StartAttempt start = OnlyStart(fixture.SendParts({part, "shared"}));
      CHECK(start.upstream != "engine-a");
      for (const std::string& address : start.cache_plan->fetch) {
        CHECK(address != "engine-a:80");
        fetches += address.empty() ? 0 : 1;
      }
    }
  }
  CHECK(fetches > 0);
}

// Guards against a cache store in the zone that is no longer used, although its
// parts are needed elsewhere.
TEST(Evacuation, CacheStoresOfTheZoneStayInUse) {
  ForwardingFixture fixture;
  Configuration configuration = fixture.MakeConfiguration(2);
  Service store;
  store.name = "store";
  store.store = CacheStoreSpec{"10.0.0.9:70", "a", 100'000, false, {}};
  configuration.services.push_back(store);
  fixture.Apply(ConfigurationRead{configuration});
  fixture.Confirm();
  AddIn(fixture, "b", "engine-b", "engine");
  fixture.Apply(EvacuationChanged{"a", true});
  fixture.Apply(CacheListed{"10.0.0.9:70", 1, {}});
  const StartAttempt start = OnlyStart(fixture.Send("/prompt/"));
  STRCMP_EQUAL("10.0.0.9:70", start.cache_plan->save.at(0).c_str());
}
