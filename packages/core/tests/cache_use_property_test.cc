// When daemons use the cached parts of replaced weights, and when they free
// them, while some of the daemons are cut off or restart.

#include <jasminehatch/core.h>

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;
using jasminehatch::Duration;

namespace {

constexpr char kModel[] = "m";
constexpr char kStore[] = "10.0.0.9:1";
constexpr char kEngine[] = "e1";
constexpr std::uint64_t kStoreEpoch = 7;

/// Time on the clock of engines and stores when a model starts, in
/// milliseconds.
constexpr std::uint64_t kClockStartMs = 1'000'000;

/// Upper bound of the numbers that encode the steps.
constexpr std::uint32_t kMaxStep = 1U << 20U;

constexpr std::size_t kSteps = 300;

/// @brief One daemon, whose limits on keys and old weights are lifted, so that
/// only the rules on cached parts apply.
class CacheDaemon {
 public:
  CacheDaemon() {
    Configuration configuration = m_fixture.MakeConfiguration(2);
    Service store;
    store.name = "store";
    store.store.emplace();
    store.store->address = kStore;
    store.store->capacity_tokens = 1'000'000;
    store.store->externally_managed = true;
    configuration.services.push_back(store);
    Apply(ConfigurationRead{configuration});
    m_fixture.CurrentState().options.max_proof_age = 24h;
    m_fixture.CurrentState().options.version_hard_limit = 24h;
    m_fixture.CurrentState().options.found_version_limit = 24h;
    // Only what the daemon reads from now on counts.
    m_fixture.CurrentState().confirmed_at = m_fixture.Now();
    m_fixture.CurrentState().cache_use = CacheUseWindow();
    Apply(CacheListed{kStore, kStoreEpoch, {}});
  }

  Effects Apply(const Event& event) { return m_fixture.Apply(event); }
  void Wait(Duration time) { m_fixture.Wait(time); }
  jasminehatch::MonotonicTime Now() const { return m_fixture.Now(); }

  /// Sends a prompt to an engine with these weights, whose parts the store has.
  CachePlan PlanFor(std::uint64_t version) {
    const std::string salt = SaltFor(version);
    Apply(CacheChanged{
        kStore,
        kStoreEpoch,
        {{true, {salt, "common", 100}}, {true, {salt, "document", 800}}}});
    Apply(UpstreamRemoved{kEngine});
    m_fixture.AddUpstream(kEngine, "engine", version);
    const StartAttempt start = OnlyStart(m_fixture.Send("/prompt/"));
    m_fixture.End(AttemptOutcome::kCompleted);
    return *start.cache_plan;
  }

  bool WouldFree(std::uint64_t version) {
    const State& state = m_fixture.CurrentState();
    const auto outdated = state.stores.OutdatedParts(
        state.stores.All().at(kStore), state.cache_use, Now(), 1000);
    const std::string salt = SaltFor(version);
    return std::any_of(
        outdated.begin(), outdated.end(),
        [&](const CachedPart& part) { return part.salt == salt; });
  }

 private:
  /// @return the salt of the requests that the fixture sends
  std::string SaltFor(std::uint64_t version) {
    const RouteTable& table = *m_fixture.CurrentState().table;
    return CacheSalt{kModel, version, table.CacheScope("workspace-a")}
        .ToString();
  }

  ForwardingFixture m_fixture;
};

/// @brief Daemons with one store, each of which may be cut off from the topic
/// of the operators while requests still reach it.
class CacheFleetModel {
 public:
  CacheFleetModel() {
    for (Daemon& daemon : m_daemons) {
      daemon.cache = std::make_unique<CacheDaemon>();
    }
    for (Daemon& daemon : m_daemons) {
      Restart(daemon);
    }
  }

  void Apply(std::uint32_t step) {
    const std::uint32_t choice = step % 16;
    const std::uint32_t rest = step / 16;
    Daemon& daemon = m_daemons.at(rest % m_daemons.size());
    if (choice < 4) {
      Wait(std::chrono::milliseconds(rest % 900));
    } else if (choice < 5) {
      m_published.push_back(m_published.back() + 1 + rest % 2);
    } else if (choice < 8) {
      Read(daemon, std::chrono::milliseconds(rest % 300));
    } else if (choice < 9) {
      Restart(daemon);
    } else if (choice < 10) {
      daemon.cut_off = !daemon.cut_off;
    } else if (choice < 14) {
      Send(daemon, 1 + rest / 4 % m_published.back());
    } else {
      Free(daemon);
    }
  }

  std::size_t Fetches() const { return m_fetches; }
  std::size_t Frees() const { return m_frees; }

 private:
  struct Daemon {
    std::unique_ptr<CacheDaemon> cache;
    std::size_t read = 0;  ///< Publications that it has read.
    bool cut_off = false;
  };

  std::uint64_t NowMs() const {
    return kClockStartMs +
           static_cast<std::uint64_t>(m_elapsed / std::chrono::milliseconds(1));
  }

  void Wait(Duration time) {
    m_elapsed += time;
    for (Daemon& daemon : m_daemons) {
      daemon.cache->Wait(time);
    }
  }

  void Restart(Daemon& daemon) {
    daemon.cache = std::make_unique<CacheDaemon>();
    daemon.read = 0;
    // A reading is never ahead of the clock.
    daemon.cache->Apply(SharedClockRead{NowMs() - 100});
    Read(daemon, 0ms);
  }

  /// @param delay time between the sending of the read and its response
  void Read(Daemon& daemon, Duration delay) {
    if (daemon.cut_off) {
      return;
    }
    const auto sent_at = daemon.cache->Now();
    Wait(delay);
    for (; daemon.read < m_published.size(); ++daemon.read) {
      daemon.cache->Apply(WeightsPublished{kModel, m_published[daemon.read]});
    }
    daemon.cache->Apply(
        jasminehatch::forwarding::ConfigurationConfirmed{sent_at});
  }

  void Send(Daemon& daemon, std::uint64_t version) {
    const CachePlan plan = daemon.cache->PlanFor(version);
    if (!plan.fetch_until_ms) {
      RC_ASSERT(std::none_of(plan.fetch.begin(), plan.fetch.end(),
                             [](const auto& from) { return from == kStore; }));
      return;
    }
    ++m_fetches;
    RC_ASSERT(!m_freed.contains(version));
    std::uint64_t& last = m_last_fetch_end_ms[version];
    last = std::max(last, *plan.fetch_until_ms);
  }

  void Free(Daemon& daemon) {
    for (std::uint64_t version = 1; version <= m_published.back(); ++version) {
      if (!daemon.cache->WouldFree(version)) {
        continue;
      }
      ++m_frees;
      m_freed[version] = true;
      RC_ASSERT(m_last_fetch_end_ms[version] <= NowMs());
    }
  }

  std::array<Daemon, 3> m_daemons;
  std::vector<std::uint64_t> m_published{1};
  Duration m_elapsed{};
  std::map<std::uint64_t, std::uint64_t> m_last_fetch_end_ms;  ///< By version.
  std::map<std::uint64_t, bool> m_freed;                       ///< By version.
  std::size_t m_fetches = 0;
  std::size_t m_frees = 0;
};

}  // namespace

TEST_GROUP_BASE(CacheUse, jasminehatch::testing::LeakDetectorOff){};

// Guards against freed parts that engines fetch which lost their registry entry
// behind a partition, but still run with the older weights (review/1).
TEST(CacheUse, PartsOfEnginesOutsideTheRegistryAreNotFreed) {
  CacheDaemon outside;
  CacheDaemon cut_off;
  for (CacheDaemon* daemon : {&outside, &cut_off}) {
    daemon->Apply(SharedClockRead{kClockStartMs});
    daemon->Apply(
        jasminehatch::forwarding::ConfigurationConfirmed{daemon->Now()});
    CHECK(daemon->PlanFor(1).fetch_until_ms.has_value());
  }
  outside.Apply(WeightsPublished{kModel, 2});
  outside.Apply(UpstreamRemoved{kEngine});
  std::uint64_t last_fetch_end_ms = 0;
  std::uint64_t now_ms = kClockStartMs;
  for (; !outside.WouldFree(1); now_ms += 100) {
    const CachePlan plan = cut_off.PlanFor(1);
    last_fetch_end_ms =
        std::max(last_fetch_end_ms, plan.fetch_until_ms.value_or(0));
    outside.Wait(100ms);
    cut_off.Wait(100ms);
    CHECK(now_ms < kClockStartMs + 60'000);
  }
  CHECK(last_fetch_end_ms <= now_ms);
  CHECK_FALSE(cut_off.PlanFor(1).fetch_until_ms.has_value());
}

// Guards against a daemon that returns from a partition and takes replaced
// weights for the newest ones, because it has just read its first records.
TEST(CacheUse, ADaemonThatReturnsDoesNotUseReplacedParts) {
  CacheDaemon daemon;
  daemon.Apply(SharedClockRead{kClockStartMs});
  daemon.Apply(jasminehatch::forwarding::ConfigurationConfirmed{daemon.Now()});
  daemon.Wait(10s);
  daemon.Apply(WeightsPublished{kModel, 2});
  daemon.Apply(jasminehatch::forwarding::ConfigurationConfirmed{daemon.Now()});
  CHECK_FALSE(daemon.PlanFor(1).fetch_until_ms.has_value());
  CHECK(daemon.PlanFor(2).fetch_until_ms.has_value());
}

// Guards against a fetch without a time limit, which could read a part while it
// is being freed.
TEST(CacheUse, NothingIsFetchedFromStoresBeforeTheSharedClockIsKnown) {
  CacheDaemon daemon;
  daemon.Apply(jasminehatch::forwarding::ConfigurationConfirmed{daemon.Now()});
  for (const std::string& source : daemon.PlanFor(1).fetch) {
    CHECK(source.empty());
  }
}

// Guards against parts that are saved for weights that nobody may use.
TEST(CacheUse, NothingIsSavedForWeightsThatWereReplacedLongAgo) {
  CacheDaemon daemon;
  daemon.Apply(jasminehatch::forwarding::ConfigurationConfirmed{daemon.Now()});
  daemon.Apply(WeightsPublished{kModel, 2});
  daemon.Wait(CacheUseWindow::kUseTime);
  daemon.Apply(jasminehatch::forwarding::ConfigurationConfirmed{daemon.Now()});
  for (const std::string& target : daemon.PlanFor(1).save) {
    CHECK(target.empty());
  }
}

// Guards against salts of different weights, models or workspaces that are the
// same text.
TEST(CacheUse, SaltsHaveDifferentTexts) {
  const std::vector<CacheSalt> salts{
      {"m", 1, ""},   {"m", 1, "1"},  {"m", 11, ""},  {"m/1", 1, ""},
      {"m", 1, "1/"}, {"m/", 1, "1"}, {"1:m", 1, ""}, {"m", 1, "/"},
      {"m/", 1, ""},  {"", 1, "m/"},  {"", 1, ""},    {"m", 1, "1:m/"}};
  for (const CacheSalt& salt : salts) {
    CHECK(CacheSalt::Parse(salt.ToString()) == salt);
    for (const CacheSalt& other : salts) {
      CHECK((salt == other) == (salt.ToString() == other.ToString()));
    }
  }
  for (const char* text :
       {"", "1", "1/", "1/2", "1/2:", "1/2:m", "1/1:m", "x/1:m/", "-1/1:m/",
        "1/99999999999999999999:m/", "99999999999999999999/1:m/"}) {
    CHECK_FALSE(CacheSalt::Parse(text).has_value());
  }
}

// Guards against a fetch that goes on while the part is freed, whichever
// daemons are cut off or restart meanwhile.
TEST(CacheUse, NoFetchOutlastsTheUseOfItsParts) {
  std::size_t fetches = 0;
  std::size_t frees = 0;
  const bool holds =
      rc::check("no fetch is in progress when parts are freed", [&] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            kSteps, rc::gen::inRange<std::uint32_t>(0, kMaxStep));
        CacheFleetModel model;
        for (const std::uint32_t step : steps) {
          model.Apply(step);
        }
        fetches += model.Fetches();
        frees += model.Frees();
      });
  CHECK(holds);
  // The steps reach both sides of the limit.
  CHECK(fetches > 100);
  CHECK(frees > 20);
}
