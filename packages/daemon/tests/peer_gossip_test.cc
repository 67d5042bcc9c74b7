#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>
#include <jasminehatch/platform.h>
#include <jasminehatch/telemetry.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gossip_fixture.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace std::chrono_literals;
using daemon::test::GossipFixture;
using daemon::test::GossipNode;

namespace {

/// @return whether the daemon knows when this version was published
bool KnowsPublicationOf(const GossipNode& node, std::uint64_t version) {
  const auto newest = node.host.State().upstreams.NewestPublished("m");
  return newest && newest->version == version && newest->publish_time_known;
}

}  // namespace

TEST_GROUP_BASE(PeerGossip, jasminehatch::testing::LeakDetectorOff){};

// Guards against daemons that do not find each other, and against ignoring a
// daemon that restarted after its clock was set back.
TEST(PeerGossip, DaemonsExchangeGossipAfterAClockWasSetBack) {
  GossipFixture fixture;
  const std::string address = fixture.loopback.NewUdpAddress(fixture.loop);
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  auto right = std::make_unique<GossipNode>(fixture, "right", address, 1000);
  CHECK(fixture.RunUntil([&] {
    return left.gossip.Peers().LiveCount() == 1 &&
           right->gossip.Peers().LiveCount() == 1;
  }));
  UNSIGNED_LONGS_EQUAL(0, left.gossip.Peers().Rank());
  UNSIGNED_LONGS_EQUAL(1, right->gossip.Peers().Rank());
  right->gossip.Broadcast(forwarding::CrashReport{1, 2});
  CHECK(
      fixture.RunUntil([&] { return left.host.State().crashes.Size() == 1; }));
  right->gossip.Stop();
  // Callbacks of its last calls to the store still refer to it, so it is
  // destroyed only after the loop has run.
  fixture.RunUntil([&] { return left.gossip.Peers().LiveCount() == 0; });
  right = std::make_unique<GossipNode>(fixture, "right", address, 900);
  CHECK(fixture.RunUntil([&] { return left.gossip.Peers().LiveCount() == 1; }));
  right->gossip.Broadcast(forwarding::CrashReport{3, 4});
  CHECK(
      fixture.RunUntil([&] { return left.host.State().crashes.Size() == 2; }));
}

// Guards against a daemon that does not learn after its start when weights were
// published long before.
TEST(PeerGossip, AStartingDaemonLearnsOldPublicationAges) {
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  forwarding::Options options;
  options.version_hard_limit = 1ms;
  left.host.Apply(forwarding::OptionsChanged{options});
  left.host.Apply(forwarding::WeightsPublished{"m", 2, true});
  fixture.loop.run_for(50ms);
  GossipNode right(fixture, "right",
                   fixture.loopback.NewUdpAddress(fixture.loop), 6);
  right.host.Apply(forwarding::WeightsPublished{"m", 2, false});
  CHECK(fixture.RunUntil([&] { return KnowsPublicationOf(right, 2); }));
}

// Guards against a daemon that was suspended when weights were published and
// does not learn how long ago that was.
TEST(PeerGossip, YoungPublicationAgesAreRepeated) {
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  GossipNode right(fixture, "right",
                   fixture.loopback.NewUdpAddress(fixture.loop), 6);
  CHECK(fixture.RunUntil([&] { return left.gossip.Peers().LiveCount() == 1; }));
  // Longer than `left` treats `right` as new.
  fixture.loop.run_for(2500ms);
  right.host.Apply(forwarding::WeightsPublished{"m", 2, false});
  left.host.Apply(forwarding::WeightsPublished{"m", 2, true});
  CHECK(fixture.RunUntil([&] { return KnowsPublicationOf(right, 2); }));
}

// Guards against a rolling restart in which the daemons that know when weights
// were published fall silent before the first one has restarted.
TEST(PeerGossip, AStoppingDaemonStillTellsPublicationAges) {
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  left.host.Apply(forwarding::WeightsPublished{"m", 2, true});
  left.gossip.AnnounceStop();
  GossipNode right(fixture, "right",
                   fixture.loopback.NewUdpAddress(fixture.loop), 6);
  right.host.Apply(forwarding::WeightsPublished{"m", 2, false});
  CHECK(fixture.RunUntil([&] { return KnowsPublicationOf(right, 2); }));
  UNSIGNED_LONGS_EQUAL(0, right.gossip.Peers().LiveCount());
}

// Guards against a stopping daemon that others still choose as a reader or
// count in their ranks.
TEST(PeerGossip, AStoppingDaemonIsNotLive) {
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  GossipNode right(fixture, "right",
                   fixture.loopback.NewUdpAddress(fixture.loop), 6);
  CHECK(fixture.RunUntil([&] {
    return left.gossip.Peers().LiveCount() == 1 &&
           right.gossip.Peers().LiveCount() == 1;
  }));
  UNSIGNED_LONGS_EQUAL(1, right.gossip.Peers().LiveInZone().size());
  left.gossip.AnnounceStop();
  CHECK(
      fixture.RunUntil([&] { return right.gossip.Peers().LiveCount() == 0; }));
  UNSIGNED_LONGS_EQUAL(0, right.gossip.Peers().Rank());
  UNSIGNED_LONGS_EQUAL(0, right.gossip.Peers().LiveInZone().size());
  UNSIGNED_LONGS_EQUAL(1, left.gossip.Peers().LiveCount());
}

// Guards against a failure of an upstream that only its observer and the
// daemons that it has told know of.
TEST(PeerGossip, FailuresOfUpstreamsAreForwarded) {
  using forwarding::UpstreamFailure;
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  GossipNode right(fixture, "right",
                   fixture.loopback.NewUdpAddress(fixture.loop), 6);
  const forwarding::UpstreamRegistered registered{
      {"u", "s", "10.0.0.1:80", "a", 8}};
  left.host.Apply(registered);
  right.host.Apply(registered);
  CHECK(fixture.RunUntil([&] { return left.gossip.Peers().LiveCount() == 1; }));
  right.host.Apply(forwarding::UpstreamFailuresReported{
      "other", {{"u", 0, UpstreamFailure::kReplaced, 1ms, false}}});
  CHECK(fixture.RunUntil([&] {
    const forwarding::Upstream* upstream =
        left.host.State().upstreams.Find("u");
    return upstream->replacement.HoldsAt(fixture.clock.Now());
  }));
  const forwarding::State& state = left.host.State();
  CHECK(state.failure_reports.ForMessage(state.upstreams, fixture.clock.Now())
            .empty());
}

// Guards against a daemon that shares the rate of cold upstreams without
// knowing of daemons that start at the same time.
TEST(PeerGossip, DaemonsKnowWhoElseMaySend) {
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  GossipNode right(fixture, "right",
                   fixture.loopback.NewUdpAddress(fixture.loop), 6);
  const auto knows_other = [&](const GossipNode& node) {
    const FleetMembers& members = node.host.State().members;
    return members.Count() == 1 && members.IsSettled(fixture.clock.Now());
  };
  CHECK(fixture.RunUntil(
      [&] { return knows_other(left) && knows_other(right); }));
}

namespace {

/// @brief Two zones of daemons, the second of which starts after the first one
/// is complete.
struct ZoneFixture : GossipFixture {
  static constexpr int kZoneSize = 20;

  ZoneFixture() {
    forwarding::Service service;
    service.name = "s";
    service.warm_up = WarmUpSpec{20s, 8};
    configuration.version = 1;
    configuration.services = {service};
  }

  /// Starts the daemons of a zone.
  void Start(const std::string& zone) {
    for (int i = 0; i < kZoneSize; ++i) {
      nodes.push_back(
          std::make_unique<GossipNode>(*this, zone + std::to_string(i),
                                       loopback.NewUdpAddress(loop), 1, zone));
    }
  }

  /// Gives the configuration to the daemons of the zone that started last.
  void Configure() {
    std::for_each(nodes.end() - kZoneSize, nodes.end(), [&](const auto& node) {
      node->host.Apply(forwarding::ConfigurationRead{configuration});
    });
  }

  bool AllKnow(std::size_t others) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
      return node->host.State().members.Count() == others;
    });
  }

  forwarding::Configuration configuration;
  std::vector<std::unique_ptr<GossipNode>> nodes;
};

}  // namespace

// Guards against a large fleet in which a daemon that starts stays unknown to
// those of other zones for long, since it sends to few of them.
TEST(PeerGossip, AStartingDaemonAnnouncesItselfWhereUpstreamsHaveAWarmUp) {
  ZoneFixture fixture;
  fixture.Start("a");
  fixture.Configure();
  CHECK(fixture.RunUntil([&] { return fixture.AllKnow(19); }));
  fixture.Start("b");
  fixture.Configure();
  CHECK(fixture.RunUntil([&] { return fixture.AllKnow(39); }));
}

// Guards against a daemon that announces itself to nobody because it read its
// configuration later than the addresses.
TEST(PeerGossip, AStartingDaemonAnnouncesItselfOnceItHasTheConfiguration) {
  ZoneFixture fixture;
  // Without the configuration, these do not read the addresses again.
  fixture.Start("a");
  CHECK(fixture.RunUntil([&] { return fixture.AllKnow(19); }));
  fixture.Start("b");
  const MonotonicTime start = fixture.clock.Now();
  CHECK(
      fixture.RunUntil([&] { return fixture.clock.Now() - start >= 1500ms; }));
  fixture.Configure();
  CHECK(fixture.RunUntil([&] { return fixture.AllKnow(39); }));
}

// Guards against a daemon that is cut off from the store, and does not learn
// from its peers that its configuration may be outdated.
TEST(PeerGossip, APeerTellsOfRecordsThatWereNotRead) {
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  GossipNode right(fixture, "right",
                   fixture.loopback.NewUdpAddress(fixture.loop), 6);
  // A peer without a configuration says nothing of what `right` has read.
  left.ReadConfiguration(1);
  std::uint64_t end_offset = 7;
  left.gossip.ShareFreshnessProofs(
      [&] {
        return std::optional(daemon::PeerGossip::FreshnessProof{
            {1, end_offset}, fixture.clock.Now()});
      },
      [](const auto& /*proof*/) {});
  std::size_t proofs = 0;
  right.gossip.ShareFreshnessProofs([] { return std::nullopt; },
                                    [&](const auto& /*proof*/) { ++proofs; });
  right.host.Apply(
      forwarding::ConfigurationConfirmed{fixture.clock.Now(), {1, 7}});
  const auto is_behind = [&] {
    return right.host.State().lag.IsBehind(fixture.clock.Now());
  };
  CHECK(fixture.RunUntil([&] { return proofs >= 2; }));
  CHECK(!is_behind());
  end_offset = 8;
  CHECK(fixture.RunUntil(is_behind));
  right.host.Apply(
      forwarding::ConfigurationConfirmed{fixture.clock.Now(), {1, 8}});
  CHECK(!is_behind());
}

// Guards against a daemon that starts on a store which came back from an older
// copy, and accepts a revoked key until it happens to hear of a peer.
TEST(PeerGossip, AStartingDaemonHearsItsPeersBeforeItTrustsTheStore) {
  GossipFixture fixture;
  GossipNode left(fixture, "left", fixture.loopback.NewUdpAddress(fixture.loop),
                  5);
  left.ReadConfiguration(8);
  fixture.loop.run_for(50ms);
  GossipNode right(fixture, "right",
                   fixture.loopback.NewUdpAddress(fixture.loop), 6);
  const forwarding::State& state = right.host.State();
  const auto confirm = [&] {
    right.host.Apply(
        forwarding::ConfigurationConfirmed{fixture.clock.Now(), {1, 1}});
  };
  right.ReadConfiguration(7);
  confirm();
  CHECK(!state.confirmed_at);
  CHECK(fixture.RunUntil(
      [&] { return state.peer_configurations.NewestVersion() == 8; }));
  confirm();
  CHECK(!state.confirmed_at);
  right.ReadConfiguration(8);
  confirm();
  CHECK(state.confirmed_at.has_value());
}

// Guards against a proof whose time was counted on the clock of an earlier
// boot: a daemon that lost power takes it for one of the future or of the past.
TEST(PeerGossip, AnEchoOfAnEarlierProcessProvesNothing) {
  GossipFixture fixture;
  const std::string address = fixture.loopback.NewUdpAddress(fixture.loop);
  GossipNode node(fixture, "right", address, 6);
  std::size_t proofs = 0;
  node.gossip.ShareFreshnessProofs([] { return std::nullopt; },
                                   [&](const auto& /*proof*/) { ++proofs; });
  asio::ip::udp::socket peer(fixture.loop, asio::ip::udp::v4());
  codec::GossipMessage message;
  message.daemon = "left";
  message.address = fixture.loopback.NewUdpAddress(fixture.loop);
  message.zone = "a";
  message.incarnation = 5;
  message.freshness_proof_age_ms = 0;
  message.echo_ms = 1;
  const auto parsed = net::ParseIpPort(address);
  const auto send = [&](std::uint64_t echo_incarnation, std::uint64_t end) {
    ++message.sequence;
    message.echo_incarnation = echo_incarnation;
    message.operator_end = {1, end};
    peer.send_to(asio::buffer(message.Encode()),
                 {asio::ip::make_address(parsed->ip), parsed->port});
    CHECK(fixture.RunUntil([&] {
      const auto& lag = node.host.State().lag;
      return lag.AnnouncedEnd() == message.operator_end;
    }));
  };
  send(5, 7);
  UNSIGNED_LONGS_EQUAL(0, proofs);
  send(6, 8);
  UNSIGNED_LONGS_EQUAL(1, proofs);
}
