// A forwarding daemon while the platform's store comes back from an older copy
// of its records, on real sockets.

#include <jasminehatch/daemon.h>
#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>

#include <chrono>
#include <string>

#include "forwarder_fixture.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using daemon::test::ForwarderConfiguration;
using daemon::test::ForwarderFixture;

namespace {

constexpr char kOperatorTopic[] = "keyed.op";

/// Publishes a configuration that replaces all keys by one.
void Publish(ForwarderFixture& fixture, int version, const std::string& key) {
  fixture.Platform().PutConfiguration(ForwarderConfiguration(version, key));
}

int StatusWith(ForwarderFixture& fixture, const std::string& key) {
  return fixture.Send("/again/x", key).head.status;
}

}  // namespace

TEST_GROUP_BASE(RestoredStore, jasminehatch::testing::LeakDetectorOff){};

// Guards against a revoked key that is accepted for good, and against an added
// one that is never accepted, since the offsets of the configurations that the
// store lost were given out again.
TEST(RestoredStore, AConfigurationAtAReusedOffsetIsInForce) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  Publish(fixture, 3, "lost");
  Publish(fixture, 6, "revoked");
  CHECK(
      fixture.RunUntil([&] { return StatusWith(fixture, "revoked") == 200; }));
  fixture.Platform().RestoreOlderCopy(kOperatorTopic, 1);
  Publish(fixture, 6, "revoked");
  Publish(fixture, 8, "added");
  CHECK(fixture.RunUntil([&] { return StatusWith(fixture, "added") == 200; }));
  LONGS_EQUAL(401, StatusWith(fixture, "revoked"));
}

// Guards against a revoked key that is accepted by a daemon which starts while
// the store has a copy older than the revocation.
TEST(RestoredStore, ADaemonThatStartsOnAnOlderCopyAcceptsNoRevokedKey) {
  ForwarderFixture fixture;
  fixture.ReplaceDaemonByPeer("e1");
  CHECK(fixture.WaitUntilReady());
  Publish(fixture, 3, "added");
  CHECK(fixture.RunUntil([&] { return StatusWith(fixture, "added") == 200; }));
  LONGS_EQUAL(401, StatusWith(fixture, "key"));
  fixture.Platform().RestoreOlderCopy(kOperatorTopic, 1);
  fixture.AddPeer("e2");
  constexpr auto kCopyTime = std::chrono::milliseconds(1500);
  const net::BootClock clock;
  const MonotonicTime started_at = clock.Now();
  while (clock.Now() - started_at < kCopyTime) {
    CHECK(StatusWith(fixture, "key") != 200);
  }
  Publish(fixture, 3, "added");
  CHECK(fixture.RunUntil([&] { return StatusWith(fixture, "added") == 200; }));
  LONGS_EQUAL(401, StatusWith(fixture, "key"));
}

// Guards against a configuration that reverts to that of the copy.
TEST(RestoredStore, TheConfigurationDoesNotRevert) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  Publish(fixture, 2, "newer");
  CHECK(fixture.RunUntil([&] { return StatusWith(fixture, "newer") == 200; }));
  const auto calls = fixture.Platform().CallCount();
  fixture.Platform().RestoreOlderCopy(kOperatorTopic, 1);
  CHECK(fixture.RunUntil(
      [&] { return fixture.Platform().CallCount() >= calls + 5; }));
  LONGS_EQUAL(200, StatusWith(fixture, "newer"));
  LONGS_EQUAL(401, StatusWith(fixture, "key"));
}
