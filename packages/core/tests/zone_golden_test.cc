#include <jasminehatch/testing.h>

#include "zone_world.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using testing::ZoneWorld;

namespace {

config::ConfigChange Change(const std::string& id, config::Version base) {
  config::ConfigChange change;
  change.change_id = id;
  change.base = base;
  change.updates.push_back({{"upstream", id}, config::Fields{}});
  return change;
}

void Compare(const ZoneWorld& world, const std::string& name) {
  STRCMP_EQUAL("", world.Fault().c_str());
  STRCMP_EQUAL("", testing::CompareWithGolden(JASMINEHATCH_TEST_DATA, name,
                                              world.Trace())
                       .c_str());
}

}  // namespace

TEST_GROUP(ZoneGolden){};

// Guards against daemons that apply a change that lost a race.
TEST(ZoneGolden, RacingPublish) {
  ZoneWorld world(true);
  world.Publish(Change("first", 0), false, false);
  world.Settle(2);
  world.Publish(Change("left", 1), false, false);
  world.Publish(Change("right", 1), false, true);
  world.Settle(4);
  Compare(world, "zone_racing_publish.txt");
}

// Guards against a partitioned daemon that is not marked stale, or that does
// not rejoin.
TEST(ZoneGolden, CutAndHealed) {
  ZoneWorld world(true);
  world.Publish(Change("first", 0), false, false);
  world.Settle(4);
  world.nodes[2].log_cut = true;
  world.Cut(0, 2, true);
  world.Cut(1, 2, true);
  world.Publish(Change("second", 1), false, false);
  world.Settle(60);
  world.nodes[2].log_cut = false;
  world.Cut(0, 2, false);
  world.Cut(1, 2, false);
  world.Settle(60);
  Compare(world, "zone_cut_and_healed.txt");
}

// Guards against a daemon that starts during an outage of the log and waits for
// it although a peer has the configuration.
TEST(ZoneGolden, StartWhileTheLogIsOut) {
  ZoneWorld world(true);
  world.Publish(Change("first", 0), false, false);
  world.Settle(4);
  world.log.outage = true;
  world.Restart(2);
  world.Settle(30);
  world.log.outage = false;
  world.Settle(10);
  Compare(world, "zone_start_while_log_out.txt");
}
