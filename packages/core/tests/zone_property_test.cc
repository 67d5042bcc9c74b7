// Included before CppUTest, whose `new` macro breaks RapidCheck's headers.
#include <rapidcheck.h>

#include <chrono>

#include "zone_world.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace std::chrono_literals;

namespace {

using testing::ZoneWorld;

config::ConfigChange Change(std::uint32_t id,
                            config::Version base,
                            bool bad = false) {
  config::ConfigChange change;
  change.change_id = "change-" + std::to_string(id);
  change.base = base;
  change.author = "operator-" + std::to_string(id % 2);
  config::Fields fields{{"value", std::to_string(id)}};
  if (bad) {
    fields["bad"] = "yes";
  }
  change.updates.push_back(
      {{"upstream", "w" + std::to_string(id % 7)}, fields});
  // Removes an entry that may be invalid, so that a later configuration is
  // valid again.
  change.updates.push_back(
      {{"upstream", "w" + std::to_string((id + 1) % 7)}, std::nullopt});
  return change;
}

/// Returns a change with so many entries that a snapshot has several parts.
config::ConfigChange FirstChange() {
  config::ConfigChange change = Change(0, 0);
  for (int i = 0; i < 260; ++i) {
    change.updates.push_back(
        {{"workspace", "c" + std::to_string(i)}, config::Fields{{"k", "v"}}});
  }
  return change;
}

/// Two operators that read a version and later publish a change based on it.
struct Operators {
  std::uint32_t next_id = 1;
  std::array<config::Version, 2> bases{};
};

void RunOperation(std::uint32_t draw, ZoneWorld& world, Operators& operators) {
  const std::uint32_t argument = draw / 16;
  const std::size_t node = argument % ZoneWorld::kNodes;
  const std::size_t other = (node + 1) % ZoneWorld::kNodes;
  switch (draw % 16) {
    case 0:
      operators.bases[argument % 2] = world.log.ModelVersion();
      break;
    case 1:
    case 2: {
      // Every eighth change is invalid for all daemons.
      const std::uint32_t id = operators.next_id++;
      world.Publish(
          Change(id, operators.bases[argument % 2], argument % 8 == 7),
          argument % 5 == 4, argument % 3 == 2);
      break;
    }
    case 3:
      world.log.outage = argument % 4 == 0;
      break;
    case 4:
      world.nodes[node].log_cut = argument % 2 == 0;
      break;
    case 5:
      world.Cut(node, other, argument % 2 == 0);
      break;
    case 6:
      if (argument % 4 == 0) {
        world.Restart(node);
      }
      break;
    case 7:
      world.log.Expire();
      break;
    case 8:
    case 9:
      world.Advance(std::chrono::milliseconds(100 + argument % 3000));
      break;
    case 10:
    case 11:
      world.ReadLog(node);
      break;
    default:
      world.Deliver(argument, argument % 7 == 0);
  }
}

void Heal(ZoneWorld& world) {
  for (std::size_t left = 0; left < ZoneWorld::kNodes; ++left) {
    world.nodes[left].log_cut = false;
    for (std::size_t right = 0; right < left; ++right) {
      world.Cut(left, right, false);
    }
  }
}

config::ConfigReader ReadFromStart(const testing::ZoneLog& log) {
  config::ConfigReader reader;
  config::Page page;
  do {
    page = log.PageFrom(reader.Next(), 1000);
    reader.Read(page);
  } while (page.next < log.Next());
  return reader;
}

void ExpectNoFault(const ZoneWorld& world) {
  if (!world.Fault().empty()) {
    RC_LOG(world.Trace());
  }
  RC_ASSERT(world.Fault() == "");
}

void CheckOperators(const ZoneWorld& world) {
  const config::ConfigReader reader = ReadFromStart(world.log);
  RC_ASSERT(reader.Complete());
  RC_ASSERT(reader.Fold().CurrentVersion() == world.log.ModelVersion());
  RC_ASSERT(reader.Fold().Entries() ==
            world.log.At(world.log.Next() - 1).second);
  std::map<config::Version, int> accepted_by_base;
  for (const auto& [id, judged] : world.log.JudgedChanges()) {
    const auto told = reader.Fold().OutcomeOf(id);
    RC_ASSERT(told.has_value());
    RC_ASSERT((*told == config::ConfigFold::Result::kAccepted) ==
              judged.accepted);
    accepted_by_base[judged.base] += judged.accepted ? 1 : 0;
  }
  for (const auto& [base, count] : accepted_by_base) {
    RC_ASSERT(count <= 1);
  }
}

}  // namespace

TEST_GROUP_BASE(ZoneProperty, jasminehatch::testing::LeakDetectorOff){};

// Guards against readers that differ, versions that decrease, a configuration
// that mixes versions, daemons that are ready too early, a change that is
// missing in a snapshot, a wrong outcome for an operator, and a dead process
// that is alive again.
TEST(ZoneProperty, RulesHoldUnderFaultsAndAllConverge) {
  CHECK(rc::check([] {
    ZoneWorld world(true);
    Operators operators;
    world.Publish(FirstChange(), false, false);
    const auto draws = *rc::gen::container<std::vector<std::uint32_t>>(
        200, rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
    for (const std::uint32_t draw : draws) {
      RunOperation(draw, world, operators);
      ExpectNoFault(world);
    }
    CheckOperators(world);

    // Only the peers are reachable: all daemons reach the newest offset.
    Heal(world);
    world.log.outage = true;
    config::Version newest = 0;
    world.DeliverAll();
    for (const auto& node : world.nodes) {
      newest = std::max(newest, node.state->config.Offset());
    }
    world.Settle(60);
    ExpectNoFault(world);
    for (const auto& node : world.nodes) {
      RC_ASSERT(node.state->config.Offset() >= newest);
      RC_ASSERT(node.state->config.stale);
    }

    // The log is reachable again: all daemons reach its end.
    world.log.outage = false;
    world.Settle(60);
    ExpectNoFault(world);
    CheckOperators(world);
    for (const auto& node : world.nodes) {
      const config::State& state = node.state->config;
      RC_ASSERT(state.reader.Complete());
      RC_ASSERT(state.reader.Fold().CurrentVersion() ==
                world.log.ModelVersion());
      RC_ASSERT(!state.stale);
      const bool refused = state.refused == world.log.ModelVersion();
      RC_ASSERT(refused || state.applied == world.log.ModelVersion());
      RC_ASSERT(state.ready || state.applied == 0);
      for (const auto& [name, peer] : node.state->membership.peers) {
        RC_ASSERT(peer.status == membership::Status::kAlive);
        RC_ASSERT(peer.incarnation ==
                  world.nodes[static_cast<std::size_t>(name.back() - '1')]
                      .state->membership.incarnation);
      }
    }
  }));
}
