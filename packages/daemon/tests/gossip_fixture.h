#ifndef JASMINEHATCH_DAEMON_TESTS_GOSSIP_FIXTURE_H_
#define JASMINEHATCH_DAEMON_TESTS_GOSSIP_FIXTURE_H_

#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>
#include <jasminehatch/platform.h>
#include <jasminehatch/telemetry.h>

#include <asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/forwarder/peer_gossip.h"
#include "jasminehatch/detail/testing/run_until.h"

namespace jasminehatch::daemon::test {

/// @brief Fixture with what two daemons share: the loop and the platform's
/// store.
struct GossipFixture {
  asio::io_context loop;
  emulator::LoopbackHost loopback;
  emulator::PlatformEmulator platform{loop};
  net::BootClock clock;
  net::HttpClient http{loop};
  net::StreamClient client{loop, {}};
  platform::StoreClient store{http, platform.Address()};
  telemetry::DecisionLog log{-1, clock, {}};
  telemetry::Metrics metrics;

  template <typename Condition>
  bool RunUntil(Condition condition) {
    return jasminehatch::testing::RunUntil(loop, condition);
  }
};

/// @brief The gossip component of a daemon.
struct GossipNode {
  GossipNode(GossipFixture& fixture,
             const std::string& name,
             const std::string& address,
             std::uint64_t incarnation,
             const std::string& zone = "a")
      : host(fixture.loop,
             fixture.clock,
             fixture.client,
             fixture.log,
             fixture.metrics,
             {}),
        gossip(fixture.loop,
               fixture.clock,
               fixture.store,
               host,
               fixture.log,
               {name, zone, address, incarnation}) {
    gossip.Start();
  }
  ~GossipNode() { gossip.Stop(); }
  GossipNode(const GossipNode&) = delete;
  GossipNode& operator=(const GossipNode&) = delete;

  void ReadConfiguration(std::uint64_t version) {
    forwarding::Configuration configuration;
    configuration.version = version;
    host.Apply(forwarding::ConfigurationRead{configuration});
  }

  ForwardingHost host;
  PeerGossip gossip;
};

}  // namespace jasminehatch::daemon::test

#endif  // JASMINEHATCH_DAEMON_TESTS_GOSSIP_FIXTURE_H_
