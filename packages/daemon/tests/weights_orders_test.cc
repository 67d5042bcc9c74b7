// Daemons that order engines to load weights by a lease in the platform's
// store, on real sockets.

#include <jasminehatch/daemon.h>
#include <jasminehatch/emulator.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "forwarder_fixture.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using daemon::test::ForwarderFixture;
using nlohmann::json;

namespace {

constexpr char kLeaseTopic[] = "jasminehatch-lease";

/// @brief An order that an engine accepted.
struct Order {
  std::string holder;
  std::uint64_t fence = 0;
};

/// @brief The control interface of an engine, which carries out each order at
/// once.
class Engine {
 public:
  explicit Engine(emulator::UpstreamEmulator& upstream) {
    upstream.SetBehaviour([this](const net::HttpRequest& request) {
      emulator::UpstreamEmulator::Response response;
      if (request.path == "/order") {
        Accept(json::parse(request.body));
        response.status = 202;
      } else if (request.path == "/report") {
        response.body = Report();
      }
      return response;
    });
  }

  std::uint64_t Version() const { return m_version; }
  const std::vector<Order>& Orders() const { return m_orders; }

 private:
  void Accept(const json& order) {
    m_orders.push_back({order.at("holder"), order.at("fence")});
    m_version = order.at("version");
  }

  std::string Report() const {
    const json models = json::array({{{"name", "m"}, {"version", m_version}}});
    return json{{"models", models}, {"busy", false}, {"seq", m_orders.size()}}
        .dump();
  }

  std::uint64_t m_version = 1;
  std::vector<Order> m_orders;
};

void Publish(ForwarderFixture& fixture, std::uint64_t version) {
  fixture.Platform().Put("keyed.op", "version/m",
                         json{{"model", "m"}, {"version", version}}.dump());
}

/// @brief A daemon and two engines.
struct Zone {
  ForwarderFixture fixture;
  Engine first{fixture.Upstream(0)};
  Engine second{fixture.Upstream(1)};

  bool AllHave(std::uint64_t version) const {
    return first.Version() == version && second.Version() == version;
  }

  void PublishAndWait(std::uint64_t version) {
    Publish(fixture, version);
    CHECK(fixture.RunUntil([&] { return AllHave(version); }));
  }
};

}  // namespace

TEST_GROUP_BASE(WeightsOrders, jasminehatch::testing::LeakDetectorOff){};

// Guards against two daemons that order with the same fencing token, or a newer
// one that orders with a lower token, after the store came back from a copy
// without the records of the first daemon's lease.
TEST(WeightsOrders, ARestoredStoreGivesNoFencingTokenTwice) {
  Zone zone;
  zone.PublishAndWait(2);
  zone.fixture.Platform().RestoreOlderCopy(kLeaseTopic, 0);
  zone.fixture.ReplaceDaemon("e2");
  zone.PublishAndWait(3);
  for (const Engine* engine : {&zone.first, &zone.second}) {
    LONGS_EQUAL(2, engine->Orders().size());
    STRCMP_EQUAL("e1", engine->Orders()[0].holder.c_str());
    STRCMP_EQUAL("e2", engine->Orders()[1].holder.c_str());
    CHECK(engine->Orders()[0].fence < engine->Orders()[1].fence);
  }
}

// Guards against a daemon that cannot claim the lease again, since the store
// lost the record that its next one refers to.
TEST(WeightsOrders, TheHolderClaimsAgainAfterTheStoreWasRestored) {
  Zone zone;
  std::uint64_t version = 2;
  zone.PublishAndWait(version);
  const std::uint64_t fence = zone.first.Orders().back().fence;
  zone.fixture.Platform().RestoreOlderCopy(kLeaseTopic, 0);
  CHECK(zone.fixture.RunUntil([&] {
    if (zone.AllHave(version)) {
      Publish(zone.fixture, ++version);
    }
    return zone.first.Orders().back().fence > fence;
  }));
  CHECK(zone.fixture.Platform().End(kLeaseTopic) > 0);
}

// Guards against a daemon that learns only from the next publication that the
// store was restored, and then waits for the lease time before it orders.
TEST(WeightsOrders, TheLeaseIsReadAgainWhenTheStoreWasRestored) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  const std::uint64_t reads = fixture.Platform().ReadCount(kLeaseTopic);
  fixture.Platform().RestoreOlderCopy(kLeaseTopic, 0);
  CHECK(fixture.RunUntil(
      [&] { return fixture.Platform().ReadCount(kLeaseTopic) > reads; }));
}
