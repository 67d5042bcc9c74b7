#include <jasminehatch/testing.h>

#include "zone_simulation.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using testing::ZoneSimulation;

namespace {

config::ConfigChange Change(const std::string& id, config::Version base) {
  config::ConfigChange change;
  change.change_id = id;
  change.base = base;
  change.updates.push_back({{"upstream", id}, config::Fields{}});
  return change;
}

void CheckSession(const ZoneSimulation& simulation, const std::string& name) {
  STRCMP_EQUAL("", simulation.Violation().c_str());
  STRCMP_EQUAL("", testing::CompareWithGolden(JASMINEHATCH_TEST_DATA, name,
                                              simulation.Trace())
                       .c_str());
}

}  // namespace

TEST_GROUP(ZoneGolden){};

// Guards against daemons that apply a change that lost a race.
TEST(ZoneGolden, RacingPublish) {
  ZoneSimulation simulation(true);
  simulation.Publish(Change("first", 0), false, false);
  simulation.Settle(2);
  simulation.Publish(Change("left", 1), false, false);
  simulation.Publish(Change("right", 1), false, true);
  simulation.Settle(4);
  CheckSession(simulation, "zone_racing_publish.txt");
}

// Guards against a partitioned daemon that is not marked stale, or that does
// not rejoin.
TEST(ZoneGolden, PartitionedAndHealed) {
  ZoneSimulation simulation(true);
  simulation.Publish(Change("first", 0), false, false);
  simulation.Settle(4);
  simulation.nodes[2].log_unreachable = true;
  simulation.SetPartitioned(0, 2, true);
  simulation.SetPartitioned(1, 2, true);
  simulation.Publish(Change("second", 1), false, false);
  simulation.Settle(60);
  simulation.nodes[2].log_unreachable = false;
  simulation.SetPartitioned(0, 2, false);
  simulation.SetPartitioned(1, 2, false);
  simulation.Settle(60);
  CheckSession(simulation, "zone_cut_and_healed.txt");
}

// Guards against a daemon that starts during an outage of the log and waits for
// it although a peer has the configuration.
TEST(ZoneGolden, StartDuringALogOutage) {
  ZoneSimulation simulation(true);
  simulation.Publish(Change("first", 0), false, false);
  simulation.Settle(4);
  simulation.log.outage = true;
  simulation.Restart(2);
  simulation.Settle(30);
  simulation.log.outage = false;
  simulation.Settle(10);
  CheckSession(simulation, "zone_start_while_log_out.txt");
}
