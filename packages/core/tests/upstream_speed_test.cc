// What a daemon makes of the speed that upstreams on shared machines report.

#include <jasminehatch/core.h>

#include <chrono>

#include "forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamSpeed){};

// Guards against routing that follows a figure which jumps many times a second.
TEST(UpstreamSpeed, OneReportCountsInPart) {
  UpstreamSpeed speed;
  const MonotonicTime now(1h);
  DOUBLES_EQUAL(1, speed.SlowdownAt(now), 1e-9);
  speed.OnReport(5, now);
  CHECK(speed.SlowdownAt(now) > 1.5);
  CHECK(speed.SlowdownAt(now) < 3);
  speed.OnReport(1, now);
  CHECK(speed.SlowdownAt(now) < 2.5);
}

// Guards against an upstream that stays avoided after its slow phase because
// nothing is sent there that could report it.
TEST(UpstreamSpeed, ASlowPhaseIsForgotten) {
  UpstreamSpeed speed;
  const MonotonicTime now(1h);
  for (int i = 0; i < 20; ++i) {
    speed.OnReport(4, now);
  }
  CHECK(speed.SlowdownAt(now) > 3.9);
  CHECK(speed.SlowdownAt(now + 20s) < 1.05);
}

// Guards against a wrong figure that hides an upstream for minutes, or makes
// its load vanish.
TEST(UpstreamSpeed, AbsurdReportsAreLimited) {
  UpstreamSpeed speed;
  const MonotonicTime now(1h);
  for (int i = 0; i < 100; ++i) {
    speed.OnReport(1e9, now);
  }
  CHECK(speed.SlowdownAt(now) <= 10);
  for (int i = 0; i < 100; ++i) {
    speed.OnReport(0, now);
  }
  CHECK(speed.SlowdownAt(now) >= 0.5);
}

// Guards against equal numbers of requests at upstreams of unequal speed: the
// slow one needs longer for each.
TEST(UpstreamSpeed, ASlowUpstreamGetsFewerRequests) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("u2", "desk");
  for (int i = 0; i < 20; ++i) {
    fixture.Apply(LoadObserved{"u1", 0, 0, 3.0});
  }
  int slow = 0;
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    slow += OnlyStart(fixture.Send("/once/")).upstream == "u1" ? 1 : 0;
  }
  CHECK(slow >= 2);
  CHECK(slow <= 7);
}
