// Upstreams whose zone is cut off: when the zone gets no requests, and when it
// returns.

#include <jasminehatch/core.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "failure_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::Counter;
using jasminehatch::CountEvent;
using jasminehatch::Duration;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

namespace {

/// Checks that one state change was counted and logged, with these values in
/// its line.
void CheckStateChange(const Effects& effects,
                      Counter counter,
                      const std::vector<std::string>& values) {
  const auto counts = EffectsOf<CountEvent>(effects);
  UNSIGNED_LONGS_EQUAL(
      1, std::count_if(counts.begin(), counts.end(), [&](const auto& count) {
        return count.counter == counter;
      }));
  const auto lines = EffectsOf<LogDecision>(effects);
  const auto line =
      std::find_if(lines.begin(), lines.end(), [&](const auto& other) {
        return other.is_state_change && other.event == ToString(counter);
      });
  CHECK(line != lines.end());
  for (const std::string& value : values) {
    CHECK(std::any_of(line->fields.begin(), line->fields.end(),
                      [&](const auto& field) { return field.value == value; }));
  }
}

}  // namespace

TEST_GROUP_BASE(ZoneCut, jasminehatch::testing::LeakDetectorOff) {
  FailureFixture fixture;

  void setup() override {
    fixture.Add("a1");
    for (const char* id : {"b1", "b2", "b3", "b4", "b5"}) {
      fixture.Add(id, "b");
    }
  }

  void TimeOut(const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
      fixture.FailToConnect(id, ConnectFailure::kTimedOut);
    }
  }

  bool UsesZone() {
    const auto targets = fixture.Targets();
    return std::any_of(
        targets.begin(), targets.end(),
        [](const std::string& id) { return id.starts_with('b'); });
  }

  /// @return the attempt of a request that is sent to the zone
  StartAttempt Probe() {
    return fixture.StartWhere(
        [](const std::string& id) { return id.starts_with('b'); });
  }

  void EndProbe(const StartAttempt& probe) {
    fixture.EndUnconnected(probe, ConnectFailure::kTimedOut);
  }
};

// Guards against a daemon that tries each upstream of a zone that is cut off,
// and against one that gives a zone up for fewer failures.
TEST(ZoneCut, ExcludesTheZoneAfterTimeoutsAtSeveralUpstreams) {
  TimeOut({"b1", "b2"});
  CHECK(UsesZone());
  TimeOut({"b3"});
  CHECK_FALSE(UsesZone());
  fixture.Add("b6", "b");
  CHECK_FALSE(UsesZone());
}

// Guards against a zone that is given up for the failures of one upstream, or
// for failures at different times.
TEST(ZoneCut, OtherTimeoutsDoNotExcludeTheZone) {
  const std::vector<StartAttempt> starts{
      fixture.StartAt("b1"), fixture.StartAt("b1"), fixture.StartAt("b1")};
  for (const StartAttempt& start : starts) {
    EndProbe(start);
  }
  CHECK(UsesZone());
  fixture.Pass(10s);
  TimeOut({"b1", "b2"});
  fixture.Pass(UnreachableZones::kWindow + 1ms);
  TimeOut({"b3"});
  CHECK(UsesZone());
}

// Guards against giving up a zone from which responses are received.
TEST(ZoneCut, ContactBetweenTheTimeoutsKeepsTheZone) {
  for (int contact = 0; contact < 5; ++contact) {
    FailureFixture reached;
    reached.Add("a1");
    for (const char* id : {"b1", "b2", "b3", "b4", "b5"}) {
      reached.Add(id, "b");
    }
    const StartAttempt running = reached.StartAt("b4");
    reached.FailToConnect("b1", ConnectFailure::kTimedOut);
    reached.FailToConnect("b2", ConnectFailure::kTimedOut);
    switch (contact) {
      case 0:
        reached.Apply(ResponseStarted{running.request, running.attempt});
        break;
      case 1:
        reached.Apply(LoadObserved{"b4", 1, 0});
        break;
      case 2:
        reached.Fail("b5", AttemptOutcome::kCompleted);
        break;
      case 3:
        reached.Fail("b5", AttemptOutcome::kWrongUpstream);
        break;
      default:
        reached.FailToConnect("b5", ConnectFailure::kRefused);
        break;
    }
    reached.FailToConnect("b3", ConnectFailure::kTimedOut);
    CHECK(reached.Uses("b4"));
  }
}

// Guards against a zone that is probed by many requests at once or too often,
// and against one that stays excluded after the cut.
TEST(ZoneCut, IsProbedByOneRequestAtATimeUntilItAnswers) {
  TimeOut({"b1", "b2", "b3"});
  Duration interval = UnreachableZones::kFirstProbeInterval;
  for (int i = 0; i < 5; ++i) {
    fixture.Pass(interval - 1ms);
    CHECK_FALSE(UsesZone());
    fixture.Pass(1ms);
    const StartAttempt probe = Probe();
    CHECK_FALSE(UsesZone());
    EndProbe(probe);
    CHECK_FALSE(UsesZone());
    interval =
        std::min<Duration>(2 * interval, UnreachableZones::kMaxProbeInterval);
  }
  fixture.Pass(interval);
  const StartAttempt probe = Probe();
  fixture.Pass(UnreachableZones::kMaxProbeTime - 1ms);
  CHECK_FALSE(UsesZone());
  fixture.Apply(ResponseStarted{probe.request, probe.attempt});
  CHECK(UsesZone());
}

// Guards against refusals while the only usable upstreams are in a zone that
// may be reachable again, also for a request that may use no other region.
TEST(ZoneCut, IsUsedIfNoOtherUpstreamCanRunTheRequest) {
  TimeOut({"b1", "b2", "b3"});
  Configuration configuration = fixture.MakeConfiguration(2);
  for (Route& route : configuration.routes) {
    route.allowed_regions = {"north"};
  }
  fixture.CurrentState().options.zone_regions = {{"a", "south"},
                                                 {"b", "north"}};
  fixture.Apply(ConfigurationRead{configuration});
  CHECK(UsesZone());
  fixture.Add("c1", "c");
  fixture.CurrentState().options.zone_regions["c"] = "north";
  CHECK_FALSE(UsesZone());
  fixture.Apply(UpstreamRemoved{"c1"});
  fixture.CurrentState().options.zone_regions["a"] = "north";
  CHECK_FALSE(UsesZone());
  fixture.Apply(UpstreamRemoved{"a1"});
  CHECK(UsesZone());
}

// Guards against a daemon that gives up its own zone.
TEST(ZoneCut, TheOwnZoneIsNeverExcluded) {
  for (const char* id : {"a2", "a3", "a4"}) {
    fixture.Add(id);
  }
  TimeOut({"a1", "a2", "a3"});
  CHECK(fixture.Uses("a4"));
}

// Guards against decisions that operators cannot see, and against lines that
// repeat what is known.
TEST(ZoneCut, DecisionsAreCountedAndLogged) {
  fixture.CurrentState().options.daemon = "own";
  const UpstreamFailuresReported refused{
      "peer", {{"a1", 7, UpstreamFailure::kRefused, 5ms, false}}};
  CheckStateChange(fixture.Apply(refused),
                   Counter::kUpstreamReportedUnreachable,
                   {"a1", "1", "5", "peer"});
  CHECK(fixture.Apply(refused).empty());
  CheckStateChange(fixture.Fail("b5", AttemptOutcome::kWrongUpstream),
                   Counter::kUpstreamReplaced, {"b5", "1", "0", "own"});
  TimeOut({"b1", "b2"});
  CheckStateChange(fixture.FailToConnect("b3", ConnectFailure::kTimedOut),
                   Counter::kZoneUnreachable, {"b", "3", "own"});
  fixture.Pass(UnreachableZones::kFirstProbeInterval);
  const StartAttempt probe = Probe();
  CheckStateChange(fixture.Apply(ResponseStarted{probe.request, probe.attempt}),
                   Counter::kZoneReachable, {"b", "3", "500", "own"});
}
