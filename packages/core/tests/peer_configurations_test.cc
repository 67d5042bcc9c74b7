#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::Duration;
using jasminehatch::MonotonicTime;
using jasminehatch::RefusalCode;
using jasminehatch::RequestId;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kOlder = 7;
constexpr std::uint64_t kNewest = 8;

/// @brief A daemon that has just started, and has read and confirmed a
/// configuration.
struct StartingDaemon {
  explicit StartingDaemon(std::size_t listed) {
    Apply(PeersExpected{});
    PeersListed peers;
    for (std::size_t i = 0; i < listed; ++i) {
      peers.peers.push_back({"peer" + std::to_string(i), "a"});
    }
    Apply(peers);
    Read(kOlder);
  }

  void Read(std::uint64_t version) {
    Apply(ConfigurationRead{fixture.MakeConfiguration(version)});
    Apply(ConfigurationConfirmed{now});
  }
  void Hear(const std::string& peer, std::uint64_t version) {
    Apply(PeerConfigurationHeard{peer, version});
  }
  void Wait(Duration time) {
    now += time;
    // Sent every 100 ms.
    Apply(PeerCountsChanged{});
  }
  void Apply(const Event& event) { Step(event, now, state); }

  /// @return whether a request on a route without a key is refused since the
  /// route may be outdated
  bool RefusesPublicRoute() {
    RequestReceived request;
    request.request = RequestId{next_request++};
    request.path = "/open/";
    for (const Effect& effect : Step(request, now, state)) {
      if (const auto* refusal = std::get_if<RefuseRequest>(&effect)) {
        return refusal->code == RefusalCode::kConfigurationStale;
      }
    }
    return false;
  }

  ForwardingFixture fixture;
  State state;
  MonotonicTime now{1h};
  std::uint64_t next_request = 1;
};

}  // namespace

TEST_GROUP_BASE(PeerConfigurations, jasminehatch::testing::LeakDetectorOff){};

// Guards against a daemon that accepts a revoked key, or serves a route that is
// gone, since it started while the store had an older copy.
TEST(PeerConfigurations, AStartingDaemonWaitsForItsPeers) {
  StartingDaemon daemon(6);
  CHECK(!daemon.state.confirmed_at);
  CHECK(daemon.RefusesPublicRoute());
  daemon.Hear("peer0", kOlder);
  daemon.Hear("peer1", kOlder);
  // The peer itself has just started.
  daemon.Hear("peer2", 0);
  CHECK(!daemon.state.confirmed_at);
  daemon.Hear("peer3", kOlder);
  CHECK(daemon.state.confirmed_at.has_value());
  CHECK(!daemon.RefusesPublicRoute());
}

// Guards against a proof that was kept waiting, and is accepted although a peer
// has told of a newer configuration meanwhile.
TEST(PeerConfigurations, AnOlderCopyIsNotConfirmed) {
  StartingDaemon daemon(1);
  daemon.Hear("peer0", kNewest);
  daemon.Wait(PeerConfigurations::kMaxWait);
  CHECK(!daemon.state.confirmed_at);
  CHECK(daemon.RefusesPublicRoute());
  daemon.Read(kNewest);
  CHECK(daemon.state.confirmed_at.has_value());
}

// Guards against a daemon that hears of the newer configuration only after it
// has trusted the store, and goes on serving routes without a key.
TEST(PeerConfigurations, APeerThatIsHeardLateEndsTheTrust) {
  StartingDaemon daemon(4);
  for (const char* peer : {"peer0", "peer1", "peer2"}) {
    daemon.Hear(peer, kOlder);
  }
  CHECK(!daemon.RefusesPublicRoute());
  daemon.Hear("peer3", kNewest);
  CHECK(daemon.RefusesPublicRoute());
  daemon.Read(kNewest);
  CHECK(!daemon.RefusesPublicRoute());
}

// Guards against a daemon that never serves since its peers are gone, or since
// it is the first one.
TEST(PeerConfigurations, ADaemonWithoutPeersDoesNotWaitForLong) {
  StartingDaemon alone(0);
  CHECK(alone.state.confirmed_at.has_value());
  StartingDaemon daemon(6);
  daemon.Wait(PeerConfigurations::kMaxWait - 1ms);
  CHECK(!daemon.state.confirmed_at);
  daemon.Wait(1ms);
  CHECK(daemon.state.confirmed_at.has_value());
}
