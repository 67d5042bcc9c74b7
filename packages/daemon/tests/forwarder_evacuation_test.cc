// A forwarder that learns of evacuated zones and of regions from the platform's
// store, on real sockets.

#include <jasminehatch/daemon.h>
#include <jasminehatch/emulator.h>

#include <cstddef>
#include <string>

#include "forwarder_fixture.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using daemon::test::ForwarderFixture;

namespace {

constexpr char kTopic[] = "keyed.op";
/// Evacuates the zone of the daemon and of the first upstream.
constexpr char kRecord[] = "evacuate/a";

/// Moves the second upstream to zone `b`; requests that do not overlap then go
/// to the first one, which is in the zone of the daemon.
void UseTwoZones(ForwarderFixture& fixture) {
  CHECK(fixture.WaitUntilReady());
  std::string entry = fixture.Upstream(1).Entry("desk", false);
  const std::string zone = R"("zone":"a")";
  entry.replace(entry.find(zone), zone.size(), R"("zone":"b")");
  fixture.Platform().PutUpstream(fixture.Upstream(1).Id(), entry);
}

/// Sends requests until four in a row reach this upstream.
bool AllGoTo(ForwarderFixture& fixture, std::size_t upstream) {
  return fixture.RunUntil([&] {
    const std::size_t before = fixture.Upstream(upstream).Ran().size();
    for (int i = 0; i < 4; ++i) {
      fixture.Send("/once/x");
    }
    return fixture.Upstream(upstream).Ran().size() == before + 4;
  });
}

}  // namespace

TEST_GROUP_BASE(ForwarderEvacuation, jasminehatch::testing::LeakDetectorOff){};

// Guards against requests that reach an evacuated zone, and against a zone that
// is not used again after the record was removed.
TEST(ForwarderEvacuation, LearnsOfItAndOfItsEnd) {
  ForwarderFixture fixture;
  UseTwoZones(fixture);
  CHECK(AllGoTo(fixture, 0));
  fixture.Platform().Put(kTopic, kRecord, "{}");
  CHECK(AllGoTo(fixture, 1));
  const std::size_t before = fixture.Upstream(0).Ran().size();
  for (int i = 0; i < 20; ++i) {
    LONGS_EQUAL(200, fixture.Send("/again/x").head.status);
  }
  UNSIGNED_LONGS_EQUAL(before, fixture.Upstream(0).Ran().size());
  fixture.Platform().Put(kTopic, kRecord, "");
  CHECK(AllGoTo(fixture, 0));
}

// Guards against an evacuation that goes on, or ends, because its record was
// written while the store was down and is no longer in the history.
TEST(ForwarderEvacuation, FollowsTheSnapshotAfterAnOutage) {
  ForwarderFixture fixture;
  UseTwoZones(fixture);
  CHECK(AllGoTo(fixture, 0));
  for (const char* value : {"{}", ""}) {
    fixture.Platform().SetDown(true);
    fixture.Platform().Put(kTopic, "other", "x");
    CHECK(fixture.RunUntil([&] { return !fixture.Daemon().IsReady(); }));
    fixture.Platform().Put(kTopic, kRecord, value);
    fixture.Platform().Compact(kTopic);
    fixture.Platform().SetDown(false);
    CHECK(AllGoTo(fixture, *value == '\0' ? 0 : 1));
  }
}

// Guards against requests that wait or run when only the evacuated zone has
// upstreams.
TEST(ForwarderEvacuation, OfTheOnlyZoneRefusesRequests) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.Platform().Put(kTopic, kRecord, "{}");
  CHECK(fixture.RunUntil(
      [&] { return fixture.Send("/once/x").head.status == 503; }));
  const std::size_t before = fixture.RunCount();
  const auto refused = fixture.Send("/again/x");
  LONGS_EQUAL(503, refused.head.status);
  CHECK_FALSE(refused.Header("Retry-After").empty());
  UNSIGNED_LONGS_EQUAL(before, fixture.RunCount());
}

// Guards against a restricted request that reaches an upstream in a zone whose
// region the settings do not name.
TEST(ForwarderEvacuation, RestrictedRequestsNeedAKnownRegion) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  std::string configuration = daemon::test::ForwarderConfiguration(2, "key");
  const std::string tenant = R"({"name":"t1",)";
  configuration.replace(configuration.find(tenant), tenant.size(),
                        R"({"name":"t1","allowedRegions":["qc-est"],)");
  fixture.Platform().PutConfiguration(configuration);
  CHECK(fixture.RunUntil(
      [&] { return fixture.Send("/once/x").head.status == 503; }));
  const std::size_t before = fixture.RunCount();
  LONGS_EQUAL(503, fixture.Send("/again/x").head.status);
  UNSIGNED_LONGS_EQUAL(before, fixture.RunCount());
}
