#include <rapidcheck.h>

#include <chrono>
#include <string>
#include <vector>

#include "jasminehatch/detail/rollout/state.h"
#include "jasminehatch/detail/rollout/step.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace std::chrono_literals;

namespace {

/// Small, so that random steps often reach the last upstream of a version.
constexpr int kUpstreams = 3;

/// Fake upstreams that execute load orders and report their weights.
class FakeFleet {
 public:
  explicit FakeFleet(rollout::State& state) : m_state(state) {
    for (int i = 0; i < kUpstreams; ++i) {
      m_loaded.push_back({"assistant", "v1"});
      m_pending.push_back(false);
    }
  }

  void Send(const rollout::Event& event) {
    for (const auto& effect : Step(event, m_now, m_state)) {
      if (const auto* order = std::get_if<rollout::OrderLoad>(&effect)) {
        Start(*order);
      }
    }
  }

  void Configure(const std::string& version,
                 std::vector<std::string> versions_in_use) {
    rollout::TargetsConfigured event;
    for (int i = 0; i < kUpstreams; ++i) {
      event.targets.push_back(
          {Name(i), {"assistant", version}, rollout::LoadStart::kNow});
    }
    for (std::string& in_use : versions_in_use) {
      event.in_use.push_back({"assistant", std::move(in_use)});
    }
    m_in_use = event.in_use;
    Send(event);
  }

  void ReportAll() {
    for (int i = 0; i < kUpstreams; ++i) {
      Send(rollout::VersionReported{Name(i), m_loaded[i], !m_pending[i]});
    }
  }

  void FinishLoad(int upstream) {
    if (m_pending[upstream]) {
      m_pending[upstream] = false;
      m_loaded[upstream] = m_wanted[upstream];
    }
  }

  int Loads() const {
    return static_cast<int>(
        std::count(m_pending.begin(), m_pending.end(), true));
  }

  int Serving(const std::string& version) const {
    int count = 0;
    for (int i = 0; i < kUpstreams; ++i) {
      count += !m_pending[i] && m_loaded[i].version == version ? 1 : 0;
    }
    return count;
  }

  int MaxConcurrentLoads() const { return m_max_concurrent_loads; }
  bool HasLostVersionInUse() const { return m_lost_version; }

 private:
  static std::string Name(int i) { return "w" + std::to_string(i); }

  void Start(const rollout::OrderLoad& order) {
    const int i = order.upstream[1] - '0';
    const std::string before = m_loaded[i].version;
    m_pending[i] = true;
    m_wanted[i] = order.wanted;
    m_max_concurrent_loads = std::max(m_max_concurrent_loads, Loads());
    const bool in_use =
        std::any_of(m_in_use.begin(), m_in_use.end(),
                    [&](const auto& used) { return used.version == before; });
    m_lost_version = m_lost_version || (in_use && Serving(before) == 0);
  }

  rollout::State& m_state;
  MonotonicTime m_now{};
  std::vector<rollout::ModelVersion> m_loaded;
  std::vector<bool> m_pending;
  rollout::ModelVersion m_wanted[kUpstreams];
  std::vector<rollout::ModelVersion> m_in_use;
  int m_max_concurrent_loads = 0;
  bool m_lost_version = false;
};

}  // namespace

TEST_GROUP_BASE(Rollout, jasminehatch::testing::LeakDetectorOff){};

// Guards against more concurrent loads than the storage of the weights serves
// well, and against a rollout that loads other weights on the last upstream
// that serves a version in use.
TEST(Rollout, BoundsLoadsAndKeepsTheLastServingUpstream) {
  CHECK(rc::check("loads are bounded and versions in use stay served", [] {
    rollout::State state;
    FakeFleet fleet(state);
    fleet.Send(rollout::HolderChanged{true});
    fleet.ReportAll();
    // Always at nominal size: RapidCheck begins with small ranges, in which the
    // later kinds of step do not occur.
    const auto steps = *rc::gen::resize(
        rc::kNominalSize, rc::gen::container<std::vector<int>>(
                              40, rc::gen::inRange(0, kUpstreams + 4)));
    for (const int step : steps) {
      if (step < kUpstreams) {
        fleet.FinishLoad(step);
      } else if (step < kUpstreams + 2) {
        fleet.Configure("v2", {"v1", "v2"});
      } else if (step == kUpstreams + 2) {
        fleet.Configure("v2", {"v2"});
      } else if (step == kUpstreams + 3) {
        fleet.Configure("v1", {"v1"});
      }
      fleet.ReportAll();
    }
    RC_ASSERT(fleet.MaxConcurrentLoads() <= 2);
    RC_ASSERT(!fleet.HasLostVersionInUse());
  }));
}

// Guards against a rollout that stops before all upstreams have their target.
TEST(Rollout, ReachesTheTargetOnAllUpstreams) {
  rollout::State state;
  FakeFleet fleet(state);
  fleet.Send(rollout::HolderChanged{true});
  fleet.ReportAll();
  fleet.Configure("v2", {"v2"});
  for (int round = 0; round < kUpstreams; ++round) {
    for (int i = 0; i < kUpstreams; ++i) {
      fleet.FinishLoad(i);
    }
    fleet.ReportAll();
  }
  CHECK_EQUAL(kUpstreams, fleet.Serving("v2"));
}

// Guards against a rollout that continues with weights that fail to load.
TEST(Rollout, PausesOnAFailureUntilANewConfiguration) {
  rollout::State state;
  FakeFleet fleet(state);
  fleet.Send(rollout::HolderChanged{true});
  fleet.ReportAll();
  fleet.Configure("v2", {"v2"});
  CHECK_EQUAL(2, fleet.Loads());
  fleet.Send(
      rollout::LoadFailed{"w0", {"assistant", "v2"}, "checksum mismatch"});
  fleet.ReportAll();
  CHECK_EQUAL(2, fleet.Loads());
  CHECK(state.paused);
  fleet.FinishLoad(0);
  fleet.Configure("v1", {"v1"});
  CHECK(!state.paused);
}

// Guards against a load outside the quiet hours, which span midnight, of an
// upstream whose target allows loads only in the quiet hours.
TEST(Rollout, WaitsForQuietHours) {
  rollout::State state;
  const auto order_count = [&state](const rollout::Event& event) {
    return Step(event, MonotonicTime{}, state).size();
  };
  order_count(rollout::HolderChanged{true});
  order_count(rollout::VersionReported{"w0", {"assistant", "v1"}, true});
  CHECK_EQUAL(
      0,
      order_count(rollout::TargetsConfigured{
          {{"w0", {"assistant", "v2"}, rollout::LoadStart::kQuietHours}}, {}}));
  CHECK_EQUAL(0, order_count(rollout::TimeOfDay{std::chrono::hours(5)}));
  CHECK_EQUAL(1, order_count(rollout::TimeOfDay{std::chrono::hours(23)}));
}

// Guards against a load that times out although its order was never sent, for
// example while the lease holds it back.
TEST(Rollout, TimeLimitOfALoadBeginsWithItsOrder) {
  rollout::State state;
  MonotonicTime now{};
  const auto send = [&](const rollout::Event& event) {
    return Step(event, now, state);
  };
  send(rollout::HolderChanged{true});
  send(rollout::VersionReported{"w0", {"assistant", "v1"}, true});
  send(rollout::TargetsConfigured{
      {{"w0", {"assistant", "v2"}, rollout::LoadStart::kNow}}, {}});
  now += state.options.order_timeout - 1s;
  send(rollout::LoadOrdered{"w0"});
  now += state.options.load_timeout - 1ms;
  CHECK(send(rollout::TimerFired{}).empty());
  CHECK(!state.paused);
  now += 1ms;
  CHECK_EQUAL(1, send(rollout::TimerFired{}).size());
  CHECK(state.paused);
}

// Guards against a rollout that stops because the first upstreams cannot be
// ordered: they would take all places for loads again and again.
TEST(Rollout, UpstreamsThatCannotBeOrderedLeaveTheirPlaces) {
  rollout::State state;
  state.options.max_loads = 1;
  MonotonicTime now{};
  std::vector<std::string> ordered;
  const auto send = [&](const rollout::Event& event) {
    for (const auto& effect : Step(event, now, state)) {
      if (const auto* order = std::get_if<rollout::OrderLoad>(&effect)) {
        ordered.push_back(order->upstream);
      }
    }
  };
  send(rollout::HolderChanged{true});
  rollout::TargetsConfigured targets;
  for (const char* upstream : {"w0", "w1"}) {
    send(rollout::VersionReported{upstream, {"assistant", "v1"}, true});
    targets.targets.push_back(
        {upstream, {"assistant", "v2"}, rollout::LoadStart::kNow});
  }
  send(targets);
  for (int i = 0; i < 2; ++i) {
    now += state.options.order_timeout;
    send(rollout::TimerFired{});
  }
  CHECK((ordered == std::vector<std::string>{"w0", "w1", "w0"}));
  CHECK(!state.paused);
}

// Guards against loads that lose their places, and against more loads at once
// than allowed, when a load that timed out is retried or a target changes.
TEST(Rollout, ARetryKeepsTheOtherLoadsInProgress) {
  rollout::State state;
  state.options.supersede_loads = true;
  MonotonicTime now{};
  std::string ordered;
  const auto send = [&](const rollout::Event& event) {
    for (const auto& effect : Step(event, now, state)) {
      if (const auto* order = std::get_if<rollout::OrderLoad>(&effect)) {
        ordered += order->upstream + " " + order->wanted.version + ", ";
      }
    }
  };
  const auto configure = [&](const std::string& last) {
    rollout::TargetsConfigured targets;
    for (const std::string upstream : {"w0", "w1", "w2"}) {
      targets.targets.push_back({upstream,
                                 {"assistant", upstream == "w2" ? last : "v2"},
                                 rollout::LoadStart::kNow});
    }
    send(targets);
  };
  send(rollout::HolderChanged{true});
  for (const char* upstream : {"w0", "w1", "w2"}) {
    send(rollout::VersionReported{upstream, {"assistant", "v1"}, true});
  }
  configure("v2");
  send(rollout::LoadOrdered{"w0"});
  now += 1s;
  send(rollout::LoadOrdered{"w1"});
  now += state.options.load_timeout - 1s;
  send(rollout::TimerFired{});
  CHECK(state.paused);
  configure("v2");
  configure("v3");
  STRCMP_EQUAL("w0 v2, w1 v2, w2 v2, w2 v3, ", ordered.c_str());
}

// Guards against upstreams with the oldest weights that load last because their
// names come last: their weights reach the time limit first.
TEST(Rollout, TheOldestWeightsAreReplacedFirst) {
  rollout::State state;
  state.options.max_loads = 1;
  Step(rollout::HolderChanged{true}, MonotonicTime{}, state);
  Step(rollout::VersionReported{"w0", {"assistant", "v2"}, true},
       MonotonicTime{}, state);
  Step(rollout::VersionReported{"w1", {"assistant", "v1"}, true},
       MonotonicTime{}, state);
  const rollout::ModelVersion wanted{"assistant", "v3"};
  const auto effects = Step(
      rollout::TargetsConfigured{{{"w0", wanted, rollout::LoadStart::kNow, 1},
                                  {"w1", wanted, rollout::LoadStart::kNow, 2}},
                                 {}},
      MonotonicTime{}, state);
  CHECK_EQUAL(1, effects.size());
  STRCMP_EQUAL("w1", std::get<rollout::OrderLoad>(effects[0]).upstream.c_str());
}
