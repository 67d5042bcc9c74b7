#include <array>

#include "fleet.h"

using namespace jasminehatch;
using namespace jasminehatch::daemon::test;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

constexpr std::size_t kDaemons = 3;

std::string Url(std::uint16_t port) {
  return "http://127.0.0.1:" + std::to_string(port);
}

/// @return ports that the kernel assigned and that are free again
std::array<std::uint16_t, kDaemons> FreePorts() {
  asio::io_context loop;
  std::vector<asio::ip::tcp::acceptor> acceptors;
  std::array<std::uint16_t, kDaemons> ports{};
  for (std::uint16_t& port : ports) {
    acceptors.emplace_back(
        loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    port = acceptors.back().local_endpoint().port();
  }
  return ports;
}

/// @brief Fixture with three daemons of one zone that have each other as peers.
class ZoneFixture {
 public:
  ZoneFixture()
      : ports(FreePorts()),
        vms(m_vm_loop, {}),
        fleet(kDaemons, [this](codec::DaemonSettings& s) { Configure(s); }) {}

  void Configure(codec::DaemonSettings& daemon_settings) {
    const std::size_t self = settings.size();
    daemon_settings.port = ports.at(self);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      daemon_settings.peers.push_back(
          {"entry-" + std::to_string(i), "zone-a", Url(ports.at(i))});
    }
    daemon_settings.vm_list_url = Url(vms.Port()) + "/v1/vms";
    daemon_settings.vm_list_interval = 50ms;
    daemon_settings.membership.probe_interval = 50ms;
    daemon_settings.config.log_silence = 300ms;
    daemon_settings.config.stale_after = 2s;
    settings.push_back(daemon_settings);
  }

  json Status(std::size_t daemon) {
    // As long as the loop runs, the server of a destroyed daemon responds with
    // 503 on its open connections.
    net::HttpResult response;
    fleet.RunUntil([&] {
      response = fleet.Call(
          {.url = Url(ports.at(daemon)) + "/status", .fresh_connection = true});
      return response.status == 200;
    });
    return json::parse(response.body);
  }

  void RunUntilAll(const std::function<bool(const json&)>& condition) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      fleet.RunUntil([&] {
        m_vm_loop.poll();
        return condition(Status(i));
      });
    }
  }

  /// Appends a change of the fleet-wide defaults and returns its offset.
  std::uint64_t PublishDefaults(const std::string& id,
                                const std::string& max_in_flight) {
    config::ConfigChange change;
    change.change_id = id;
    change.base = Status(0)["config_version"];
    change.updates.push_back(
        {{"defaults", ""}, config::Fields{{"max_in_flight", max_in_flight}}});
    const auto response =
        fleet.Call({.method = "POST",
                    .url = Url(fleet.log.Port()) + "/v1/streams/config/records",
                    .body = codec::EncodeConfigChange(change)});
    CHECK_TEXT(response.status == 200, response.body.c_str());
    return json::parse(response.body)["offset"];
  }

  void Restart(std::size_t daemon, std::uint64_t incarnation) {
    fleet.daemons.at(daemon).reset();
    fleet.daemons.at(daemon) = std::make_unique<daemon::Daemon>(
        fleet.loop, settings.at(daemon), fleet.clock, incarnation);
  }

 private:
  asio::io_context m_vm_loop{1};

 public:
  std::array<std::uint16_t, kDaemons> ports;
  std::vector<codec::DaemonSettings> settings;
  emulator::VmListEmulator vms;
  Fleet fleet;
};

}  // namespace

TEST_GROUP_BASE(MembershipPath, FleetTest){};

// Guards against a restarted daemon that stays without a configuration or
// serves an older one while the log is unreachable and its peers have the
// newest one.
TEST(MembershipPath, RestartedDaemonGetsItsConfigurationFromAPeer) {
  ZoneFixture zone;
  zone.fleet.AwaitReady();
  const std::uint64_t second = zone.PublishDefaults("second", "32");
  zone.RunUntilAll([&](const json& status) {
    return status["config_version"] == second && !status["config_stale"];
  });

  emulator::LogEmulator::Faults faults;
  faults.outage = true;
  zone.fleet.log.SetFaults(faults);
  zone.Restart(2, 1000);
  zone.fleet.RunUntil([&] { return zone.fleet.daemons[2]->IsReady(); });
  CHECK_EQUAL(second, zone.Status(2)["config_version"].get<std::uint64_t>());
  zone.RunUntilAll(
      [](const json& status) { return status["config_stale"].get<bool>(); });
  // The daemon serves requests while its configuration is stale.
  net::HttpCall chat = zone.fleet.Chat("hello", false, 4, 2);
  chat.fresh_connection = true;
  const auto response = zone.fleet.Call(std::move(chat));
  LONGS_EQUAL(200, response.status);

  faults.outage = false;
  zone.fleet.log.SetFaults(faults);
  zone.RunUntilAll(
      [](const json& status) { return !status["config_stale"].get<bool>(); });
  const std::uint64_t third = zone.PublishDefaults("third", "16");
  zone.RunUntilAll(
      [&](const json& status) { return status["config_version"] == third; });
}

// Guards against a stopped process that stays in the membership, and against a
// restarted one at the same address that is taken for its predecessor.
TEST(MembershipPath, SuccessorAtTheSameAddressIsANewMember) {
  ZoneFixture zone;
  zone.fleet.AwaitReady();
  const auto sees = [&zone](const std::string& state,
                            std::uint64_t incarnation) {
    return [&zone, state, incarnation] {
      const json status = zone.Status(0);
      for (const json& peer : status["peers"]) {
        if (peer["name"] == "entry-2") {
          return peer["status"] == state && peer["incarnation"] == incarnation;
        }
      }
      return false;
    };
  };
  zone.fleet.RunUntil(sees("alive", 3));
  bool stopped = false;
  zone.fleet.daemons[2]->Stop([&stopped] { stopped = true; });
  zone.fleet.RunUntil([&stopped] { return stopped; });
  zone.fleet.RunUntil(sees("left", 3));
  zone.Restart(2, 1000);
  zone.fleet.RunUntil(sees("alive", 1000));
}

// Guards against an upstream that gets new work although the VM list reports it
// as leaving.
TEST(MembershipPath, LeavingUpstreamIsExcludedInAllDaemons) {
  ZoneFixture zone;
  zone.fleet.AwaitReady();
  const json first = zone.Status(0)["upstreams"][0];
  zone.vms.Set(first["name"], "http://127.0.0.1:1", "leaving");
  zone.RunUntilAll([&first](const json& status) {
    for (const json& upstream : status["upstreams"]) {
      if (upstream["name"] == first["name"]) {
        return upstream["leaving"].get<bool>();
      }
    }
    return false;
  });
}

// Guards against an invalid configuration of another writer that stops daemons
// or replaces part of the valid one.
TEST(MembershipPath, InvalidConfigurationKeepsThePreviousOneInForce) {
  ZoneFixture zone;
  zone.fleet.AwaitReady();
  const std::uint64_t before = zone.Status(0)["config_version"];
  const std::uint64_t bad = zone.PublishDefaults("bad", "none");
  zone.RunUntilAll([&](const json& status) {
    return status["config_refused"] == bad &&
           status["config_version"] == before;
  });
  const auto response = zone.fleet.Call(zone.fleet.Chat("hello", false, 4, 1));
  LONGS_EQUAL(200, response.status);
}
