// Included before CppUTest, whose `new` macro breaks RapidCheck's headers.
#include <rapidcheck.h>

#include <chrono>

#include "zone_simulation.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace std::chrono_literals;

namespace {

using testing::ZoneSimulation;

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

void RunOperation(std::uint32_t draw,
                  ZoneSimulation& simulation,
                  Operators& operators) {
  const std::uint32_t argument = draw / 16;
  const std::size_t node = argument % ZoneSimulation::kNodes;
  const std::size_t other = (node + 1) % ZoneSimulation::kNodes;
  switch (draw % 16) {
    case 0:
      operators.bases[argument % 2] = simulation.log.ModelVersion();
      break;
    case 1:
    case 2: {
      // Every eighth change is invalid for all daemons.
      const std::uint32_t id = operators.next_id++;
      simulation.Publish(
          Change(id, operators.bases[argument % 2], argument % 8 == 7),
          argument % 5 == 4, argument % 3 == 2);
      break;
    }
    case 3:
      simulation.log.outage = argument % 4 == 0;
      break;
    case 4:
      simulation.nodes[node].log_unreachable = argument % 2 == 0;
      break;
    case 5:
      simulation.SetPartitioned(node, other, argument % 2 == 0);
      break;
    case 6:
      if (argument % 4 == 0) {
        simulation.Restart(node);
      }
      break;
    case 7:
      simulation.log.Expire();
      break;
    case 8:
    case 9:
      simulation.Advance(std::chrono::milliseconds(100 + argument % 3000));
      break;
    case 10:
    case 11:
      simulation.ReadLog(node);
      break;
    default:
      simulation.Deliver(argument, argument % 7 == 0);
  }
}

void HealPartitions(ZoneSimulation& simulation) {
  for (std::size_t left = 0; left < ZoneSimulation::kNodes; ++left) {
    simulation.nodes[left].log_unreachable = false;
    for (std::size_t right = 0; right < left; ++right) {
      simulation.SetPartitioned(left, right, false);
    }
  }
}

config::ConfigReader ReadFromStart(const testing::FakeZoneLog& log) {
  config::ConfigReader reader;
  config::Page page;
  do {
    page = log.PageFrom(reader.Next(), 1000);
    reader.Read(page);
  } while (page.next < log.Next());
  return reader;
}

void ExpectNoViolation(const ZoneSimulation& simulation) {
  if (!simulation.Violation().empty()) {
    RC_LOG(simulation.Trace());
  }
  RC_ASSERT(simulation.Violation() == "");
}

void CheckOperators(const ZoneSimulation& simulation) {
  const config::ConfigReader reader = ReadFromStart(simulation.log);
  RC_ASSERT(reader.Complete());
  RC_ASSERT(reader.Fold().CurrentVersion() == simulation.log.ModelVersion());
  RC_ASSERT(reader.Fold().Entries() ==
            simulation.log.At(simulation.log.Next() - 1).second);
  std::map<config::Version, int> accepted_by_base;
  for (const auto& [id, result] : simulation.log.ChangeResults()) {
    const auto reported = reader.Fold().OutcomeOf(id);
    RC_ASSERT(reported.has_value());
    RC_ASSERT((*reported == config::ConfigFold::Result::kAccepted) ==
              result.accepted);
    accepted_by_base[result.base] += result.accepted ? 1 : 0;
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
    ZoneSimulation simulation(true);
    Operators operators;
    simulation.Publish(FirstChange(), false, false);
    const auto draws = *rc::gen::container<std::vector<std::uint32_t>>(
        200, rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
    for (const std::uint32_t draw : draws) {
      RunOperation(draw, simulation, operators);
      ExpectNoViolation(simulation);
    }
    CheckOperators(simulation);

    // Only the peers are reachable: all daemons reach the newest offset.
    HealPartitions(simulation);
    simulation.log.outage = true;
    config::Version newest = 0;
    simulation.DeliverAll();
    for (const auto& node : simulation.nodes) {
      newest = std::max(newest, node.state->config.Offset());
    }
    simulation.Settle(60);
    ExpectNoViolation(simulation);
    for (const auto& node : simulation.nodes) {
      RC_ASSERT(node.state->config.Offset() >= newest);
      RC_ASSERT(node.state->config.stale);
    }

    // The log is reachable again: all daemons reach its end.
    simulation.log.outage = false;
    simulation.Settle(60);
    ExpectNoViolation(simulation);
    CheckOperators(simulation);
    for (const auto& node : simulation.nodes) {
      const config::State& state = node.state->config;
      RC_ASSERT(state.reader.Complete());
      RC_ASSERT(state.reader.Fold().CurrentVersion() ==
                simulation.log.ModelVersion());
      RC_ASSERT(!state.stale);
      const bool invalid =
          state.invalid_version == simulation.log.ModelVersion();
      RC_ASSERT(invalid || state.applied == simulation.log.ModelVersion());
      RC_ASSERT(state.ready || state.applied == 0);
      for (const auto& [name, peer] : node.state->membership.peers) {
        RC_ASSERT(peer.status == membership::Status::kAlive);
        RC_ASSERT(peer.incarnation ==
                  simulation.nodes[static_cast<std::size_t>(name.back() - '1')]
                      .state->membership.incarnation);
      }
    }
  }));
}
