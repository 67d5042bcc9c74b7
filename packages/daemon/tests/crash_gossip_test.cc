// Crash reports, and verdicts on what causes crashes, between daemons.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "gossip_fixture.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace std::chrono_literals;
using daemon::test::GossipFixture;
using daemon::test::GossipNode;

namespace {

/// @brief Two daemons that know each other.
struct GossipPair : GossipFixture {
  GossipPair() {
    CHECK(RunUntil([&] {
      return left.gossip.Peers().LiveCount() == 1 &&
             right.gossip.Peers().LiveCount() == 1;
    }));
  }

  GossipNode left{*this, "left", loopback.NewUdpAddress(loop), 5};
  GossipNode right{*this, "right", loopback.NewUdpAddress(loop), 6};
};

}  // namespace

TEST_GROUP_BASE(CrashGossip, jasminehatch::testing::LeakDetectorOff){};

// Guards against requests with a part that crashes upstreams at daemons that
// have seen no crash, or have restarted since.
TEST(CrashGossip, DaemonsLearnWhichPartsAreQuarantined) {
  constexpr std::uint64_t kPart = 7;
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  const auto refuses = [&](const GossipNode& node) {
    const std::array parts{kPart};
    return node.host.State()
        .part_suspects.RefusalTimeLeft(parts, fixture.clock.Now())
        .has_value();
  };
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    left.host.Apply(forwarding::CrashReportReceived{
        {crash, crash, {kPart}, crash, 10s - crash * 1s}});
  }
  const std::string address = fixture.loopback.NewUdpAddress(fixture.loop);
  auto right = std::make_unique<GossipNode>(fixture, "right", address, 1000);
  CHECK(fixture.RunUntil([&] { return refuses(left) && refuses(*right); }));
  right->gossip.Stop();
  // Callbacks of its last calls to the store still refer to it, so it is
  // destroyed only after the loop has run.
  fixture.RunUntil([&] { return left.gossip.Peers().LiveCount() == 0; });
  right = std::make_unique<GossipNode>(fixture, "right", address, 1001);
  CHECK(fixture.RunUntil([&] { return refuses(*right); }));
}

// Guards against a daemon that starts, and sends a request which crashed three
// upstreams to three more (review/5).
TEST(CrashGossip, AStartingDaemonLearnsWhichRequestsAreRefused) {
  constexpr std::uint64_t kRequest = 7;
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
    left.host.Apply(forwarding::CrashReportReceived{{kRequest, upstream}});
  }
  // Longer than the reports are repeated.
  fixture.loop.run_for(800ms);
  GossipNode right(fixture, "right",
                   fixture.loopback.NewUdpAddress(fixture.loop), 6);
  CHECK(fixture.RunUntil([&] {
    return right.host.State()
        .crashes.RefusalTimeLeft(kRequest, fixture.clock.Now())
        .has_value();
  }));
}

// Guards against crash reports that lose their prompt parts or their age.
TEST(CrashGossip, CrashReportsCarryThePartsOfTheRequest) {
  GossipPair pair;
  // Too old to count, for the request as for its parts.
  pair.right.gossip.Broadcast(forwarding::CrashReport{1, 2, {3}, 4, 1h});
  pair.right.gossip.Broadcast(forwarding::CrashReport{5, 6, {7, 8}, 9, 1s});
  CHECK(pair.RunUntil(
      [&] { return pair.left.host.State().crashes.Size() == 1; }));
  UNSIGNED_LONGS_EQUAL(2,
                       pair.left.host.State().part_suspects.Evidence().Size());
}

// Guards against a part that is not suspected at other daemons since it stands
// at the front, or anywhere else, of a long prompt (review/9).
TEST(CrashGossip, AllPartsOfALongPromptAreReported) {
  constexpr std::size_t kParts = 3900;
  GossipPair pair;
  forwarding::CrashReport report{1, 2, {}, 3, 0s};
  for (std::uint64_t part = 1; part <= kParts; ++part) {
    report.parts.push_back(part << 32U);
  }
  pair.right.gossip.Broadcast(report);
  CHECK(pair.RunUntil([&] {
    return pair.left.host.State().part_suspects.Evidence().Size() == kParts;
  }));
}

// Guards against losing the only report that tells the cause of a crash among
// those of its many victims.
TEST(CrashGossip, ReportsWithPartsAreNotDroppedForOthers) {
  // More than wait to be sent.
  constexpr std::uint64_t kVictims = 10'000;
  GossipPair pair;
  pair.right.gossip.Broadcast(forwarding::CrashReport{1, 1, {7}, 8, 0s});
  for (std::uint64_t victim = 2; victim < kVictims; ++victim) {
    pair.right.gossip.Broadcast(forwarding::CrashReport{victim, 1});
  }
  CHECK(pair.RunUntil([&] {
    return pair.left.host.State().part_suspects.Evidence().Size() == 1;
  }));
}
