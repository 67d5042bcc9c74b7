// Which workspaces share cached parts when a configuration makes one of them
// private, shared again, or removes it.

#include <jasminehatch/core.h>

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

namespace {

/// Time after an announcement from which unread records count as a lag.
constexpr Duration kBehind = ConfigurationLag::kReadingTime + 1ms;

/// How a workspace stands in a configuration.
enum class Standing : std::uint8_t { kAbsent, kShared, kPrivate };

using Standings = std::map<std::string, Standing>;

/// @return the standings of these workspaces, one base-3 digit each
Standings Decode(std::span<const std::string> names, std::uint32_t encoded) {
  Standings standings;
  for (const std::string& name : names) {
    standings[name] = static_cast<Standing>(encoded % 3);
    encoded /= 3;
  }
  return standings;
}

/// @return the workspaces that exist, with keys like `key-depot`
std::vector<Workspace> MakeWorkspaces(const Standings& standings) {
  std::vector<Workspace> workspaces;
  for (const auto& [name, standing] : standings) {
    if (standing != Standing::kAbsent) {
      workspaces.push_back(
          {name, {"key-" + name}, standing == Standing::kPrivate, {}});
    }
  }
  return workspaces;
}

RouteTable MakeTable(const Standings& standings, bool reversed = false) {
  Configuration configuration;
  configuration.workspaces = MakeWorkspaces(standings);
  if (reversed) {
    std::reverse(configuration.workspaces.begin(),
                 configuration.workspaces.end());
  }
  return RouteTable(std::move(configuration));
}

/// @return a configuration in which these workspaces stand like that, beside
/// the shared `workspace-c`
Configuration MakeConfiguration(const ForwardingFixture& fixture,
                                std::uint64_t version,
                                Standing workspace_a,
                                Standing workspace_b = Standing::kAbsent) {
  Configuration configuration = fixture.MakeConfiguration(version);
  const std::array standings{workspace_a, workspace_b};
  const auto all = std::exchange(configuration.workspaces,
                                 {{"workspace-c", {"key-c"}, false, {}}});
  for (std::size_t i = 0; i < standings.size(); ++i) {
    if (standings.at(i) != Standing::kAbsent) {
      configuration.workspaces.push_back(all.at(i));
      configuration.workspaces.back().private_cache =
          standings.at(i) == Standing::kPrivate;
    }
  }
  return configuration;
}

/// Applies a configuration as the operators' last record before its version.
void Read(ForwardingFixture& fixture, const Configuration& configuration) {
  fixture.Apply(ConfigurationRead{configuration});
  fixture.Apply(
      ConfigurationConfirmed{fixture.Now(), {0, configuration.version}});
}

void Configure(ForwardingFixture& fixture,
               std::uint64_t version,
               Standing workspace_a,
               Standing workspace_b = Standing::kAbsent) {
  Read(fixture, MakeConfiguration(fixture, version, workspace_a, workspace_b));
}

std::string SaltFor(ForwardingFixture& fixture, const std::string& key) {
  return OnlyStart(fixture.Send("/prompt/", key)).cache_plan->salt;
}

/// Adds a cache store to a configuration.
void AddStore(Configuration& configuration, const std::string& address) {
  Service store;
  store.name = "store";
  store.store = CacheStoreSpec{address, "a", 1'000'000, true, 1ms};
  configuration.services.push_back(store);
}

}  // namespace

TEST_GROUP_BASE(CacheScope, jasminehatch::testing::LeakDetectorOff){};

// Guards against workspaces that use what another one computed before its cache
// became private (review/4).
TEST(CacheScope, PartsOfAWorkspaceThatBecamePrivateAreNotFound) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  Configure(fixture, 2, Standing::kShared, Standing::kPrivate);
  const std::string before = SaltFor(fixture, "key-a");
  STRCMP_EQUAL(before.c_str(), SaltFor(fixture, "key-c").c_str());
  Configure(fixture, 3, Standing::kPrivate, Standing::kPrivate);
  const std::string own = SaltFor(fixture, "key-a");
  const std::string others = SaltFor(fixture, "key-c");
  CHECK(others != before);
  CHECK(own != before);
  CHECK(own != others);
  // Shared again, it finds neither its private parts nor gives them away.
  Configure(fixture, 4, Standing::kShared, Standing::kPrivate);
  STRCMP_EQUAL(SaltFor(fixture, "key-a").c_str(),
               SaltFor(fixture, "key-c").c_str());
  CHECK(SaltFor(fixture, "key-c") != own);
}

// Guards against a request that is sent again, or was admitted, under an older
// configuration and uses the parts that were shared then.
TEST(CacheScope, ARetryFollowsTheNewestConfiguration) {
  ForwardingFixture fixture;
  for (const char* id : {"e1", "e2"}) {
    fixture.AddUpstream(id, "engine", 1);
  }
  Configure(fixture, 2, Standing::kShared, Standing::kPrivate);
  const std::string before =
      OnlyStart(fixture.Send("/resume/", "key-c")).cache_plan->salt;
  Configure(fixture, 3, Standing::kPrivate, Standing::kPrivate);
  const std::string after =
      OnlyStart(fixture.End(AttemptOutcome::kBroken)).cache_plan->salt;
  CHECK(after != before);
  STRCMP_EQUAL(SaltFor(fixture, "key-c").c_str(), after.c_str());
}

// Guards against a private workspace that is named like the scope of others.
TEST(CacheScope, NoNameCollidesWithTheSharedScope) {
  const RouteTable table = MakeTable(
      {{"clinic", Standing::kPrivate}, {"studio", Standing::kShared}});
  const std::string shared = table.CacheScope("studio");
  const RouteTable named =
      MakeTable({{shared, Standing::kPrivate}, {"studio", Standing::kShared}});
  CHECK(named.CacheScope(shared) != shared);
  CHECK(named.CacheScope(shared) != named.CacheScope("studio"));
  CHECK(table.CacheScope("clinic") != table.CacheScope("unknown"));
  CHECK(table.CacheScope("unknown") != shared);
  // Requests of public routes have no workspace.
  STRCMP_EQUAL(shared.c_str(), table.CacheScope("").c_str());
}

// Guards against workspaces that find parts of a private one after any sequence
// of configurations, and against daemons that disagree on a scope.
TEST(CacheScope, NoWorkspaceFindsPartsOfAPrivateOne) {
  const std::array<std::string, 4> names{"clinic", "depot", "market", "studio"};
  std::size_t shared_uses = 0;
  const bool holds = rc::check("private parts stay private", [&] {
    const auto configurations = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 81));
    /// Workspaces that computed parts, by scope.
    std::map<std::string, std::set<std::string>> makers;
    for (const std::uint32_t encoded : configurations) {
      Standings standings = Decode(names, encoded);
      const RouteTable table = MakeTable(standings);
      const RouteTable same = MakeTable(standings, /*reversed=*/true);
      for (const std::string& user : names) {
        if (standings[user] == Standing::kAbsent) {
          continue;
        }
        const std::string scope = table.CacheScope(user);
        RC_ASSERT(scope == same.CacheScope(user));
        for (const std::string& maker : makers[scope]) {
          if (maker == user) {
            continue;
          }
          ++shared_uses;
          RC_ASSERT(standings[user] != Standing::kPrivate);
          RC_ASSERT(standings[maker] != Standing::kPrivate);
        }
        makers[scope].insert(user);
      }
    }
  });
  CHECK(holds);
  CHECK(shared_uses > 100);
}

// Guards against a workspace whose cache is private a second time and whose
// parts of either time are found by others, or that loses its own.
TEST(CacheScope, PartsOfAWorkspaceThatIsPrivateAgainAreNotFound) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  Configure(fixture, 2, Standing::kPrivate);
  const std::string own = SaltFor(fixture, "key-a");
  Configure(fixture, 3, Standing::kShared);
  const std::string shared = SaltFor(fixture, "key-a");
  CHECK(shared != own);
  Configure(fixture, 4, Standing::kPrivate);
  STRCMP_EQUAL(own.c_str(), SaltFor(fixture, "key-a").c_str());
  const std::string others = SaltFor(fixture, "key-c");
  CHECK(others != own);
  CHECK(others != shared);
}

// Guards against parts of a private workspace that others find once it is
// removed, or added again under its name.
TEST(CacheScope, PartsOfARemovedWorkspaceAreNotFound) {
  for (const Standing returned : {Standing::kShared, Standing::kPrivate}) {
    ForwardingFixture fixture;
    fixture.AddUpstream("e1", "engine", 1);
    Configure(fixture, 2, Standing::kPrivate);
    const std::string own = SaltFor(fixture, "key-a");
    Configure(fixture, 3, Standing::kAbsent);
    const std::string without = SaltFor(fixture, "key-c");
    CHECK(without != own);
    Configure(fixture, 4, returned);
    CHECK(SaltFor(fixture, "key-c") != own);
    if (returned == Standing::kPrivate) {
      // What the others computed meanwhile is not found by it either.
      CHECK(SaltFor(fixture, "key-a") != without);
      CHECK(SaltFor(fixture, "key-c") != without);
    }
  }
}

// Guards against a workspace that is private at the engines of one service and
// shares parts at those of another with the same model.
TEST(CacheScope, ServicesWithOneModelFollowTheSameRule) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  fixture.AddUpstream("e2", "engine-2", 1);
  const auto salt_at = [&fixture](const std::string& path,
                                  const std::string& key) {
    return OnlyStart(fixture.Send(path, key)).cache_plan->salt;
  };
  const auto configure = [&fixture](std::uint64_t version, Standing standing) {
    Configuration configuration =
        MakeConfiguration(fixture, version, standing, Standing::kPrivate);
    Service second = configuration.services.front();
    second.name = "engine-2";
    configuration.services.push_back(second);
    Route route = configuration.routes[2];
    route.path_prefix = "/prompt/second/";
    route.services = {{"engine-2", 1}};
    configuration.routes.push_back(route);
    Read(fixture, configuration);
  };
  configure(2, Standing::kShared);
  const std::string before = salt_at("/prompt/second/", "key-a");
  STRCMP_EQUAL(before.c_str(), salt_at("/prompt/", "key-c").c_str());
  configure(3, Standing::kPrivate);
  std::set<std::string> own;
  std::set<std::string> others;
  for (const char* path : {"/prompt/", "/prompt/second/"}) {
    own.insert(salt_at(path, "key-a"));
    others.insert(salt_at(path, "key-c"));
  }
  UNSIGNED_LONGS_EQUAL(1, own.size());
  UNSIGNED_LONGS_EQUAL(1, others.size());
  CHECK(*own.begin() != *others.begin());
  CHECK(!own.contains(before) && !others.contains(before));
}

// Guards against parts in cache stores that others fetch, or add to, after the
// workspace that saved them became private.
TEST(CacheScope, SavedPartsOfAWorkspaceThatBecamePrivateAreNotFetched) {
  constexpr char kStore[] = "10.0.0.9:1";
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  const auto configure = [&](std::uint64_t version, Standing standing) {
    Configuration configuration =
        MakeConfiguration(fixture, version, standing, Standing::kPrivate);
    AddStore(configuration, kStore);
    Read(fixture, configuration);
  };
  configure(2, Standing::kShared);
  fixture.Apply(SharedClockRead{1000});
  const std::string before = SaltFor(fixture, "key-a");
  fixture.Apply(CacheListed{
      kStore, 7, {{before, "common", 100}, {before, "document", 800}}});
  STRCMP_EQUAL(kStore, OnlyStart(fixture.Send("/prompt/", "key-c"))
                           .cache_plan->fetch.at(0)
                           .c_str());
  configure(3, Standing::kPrivate);
  std::set<std::string> salts{before};
  for (const char* key : {"key-a", "key-c"}) {
    const StartAttempt start = OnlyStart(fixture.Send("/prompt/", key));
    CHECK(salts.insert(start.cache_plan->salt).second);
    for (std::size_t part = 0; part < 2; ++part) {
      CHECK(start.cache_plan->fetch.at(part).empty());
      STRCMP_EQUAL(kStore, start.cache_plan->save.at(part).c_str());
    }
  }
}

// Guards against daemons that use different scopes because one of them was
// restarted just before the change and another just after it.
TEST(CacheScope, RestartedDaemonsAgreeOnScopes) {
  ForwardingFixture saw_all;
  ForwardingFixture restarted_before;
  ForwardingFixture restarted_after;
  const std::array<ForwardingFixture*, 3> daemons{&saw_all, &restarted_before,
                                                  &restarted_after};
  for (ForwardingFixture* daemon : daemons) {
    daemon->AddUpstream("e1", "engine", 1);
  }
  Configure(saw_all, 2, Standing::kPrivate);
  Configure(saw_all, 3, Standing::kShared);
  Configure(restarted_before, 3, Standing::kShared);
  const std::string before = SaltFor(saw_all, "key-c");
  STRCMP_EQUAL(before.c_str(), SaltFor(restarted_before, "key-c").c_str());
  for (ForwardingFixture* daemon : daemons) {
    Configure(*daemon, 4, Standing::kPrivate);
    STRCMP_EQUAL(SaltFor(saw_all, "key-a").c_str(),
                 SaltFor(*daemon, "key-a").c_str());
    STRCMP_EQUAL(SaltFor(saw_all, "key-c").c_str(),
                 SaltFor(*daemon, "key-c").c_str());
    CHECK(SaltFor(*daemon, "key-c") != before);
  }
}

// Guards against a daemon that was suspended or is cut off from the store, has
// read that a workspace shares its cache, and lets others use its parts
// although gossip tells that there are newer records.
TEST(CacheScope, WorkspacesShareNothingWhileThereAreUnreadRecords) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  Configure(fixture, 2, Standing::kShared);
  const std::string before = SaltFor(fixture, "key-a");
  STRCMP_EQUAL(before.c_str(), SaltFor(fixture, "key-c").c_str());
  fixture.Apply(OperatorRecordsAnnounced{{0, 3}});
  // The daemon usually reads the record at once.
  STRCMP_EQUAL(before.c_str(), SaltFor(fixture, "key-a").c_str());
  fixture.Wait(kBehind);
  const std::string own = SaltFor(fixture, "key-a");
  const std::string other = SaltFor(fixture, "key-c");
  CHECK(own != before);
  CHECK(other != before);
  CHECK(own != other);
  // A daemon that has read the records uses the same scope.
  Configure(fixture, 3, Standing::kPrivate);
  STRCMP_EQUAL(own.c_str(), SaltFor(fixture, "key-a").c_str());
  CHECK(SaltFor(fixture, "key-c") != other);
  CHECK(SaltFor(fixture, "key-c") != before);
}

// Guards against a request that was admitted before gossip told of newer
// records, and is sent again afterwards.
TEST(CacheScope, ARetrySharesNothingWhileThereAreUnreadRecords) {
  ForwardingFixture fixture;
  for (const char* id : {"e1", "e2"}) {
    fixture.AddUpstream(id, "engine", 1);
  }
  Configure(fixture, 2, Standing::kShared);
  const std::string before =
      OnlyStart(fixture.Send("/resume/", "key-c")).cache_plan->salt;
  fixture.Apply(OperatorRecordsAnnounced{{0, 3}});
  fixture.Wait(kBehind);
  const std::string after =
      OnlyStart(fixture.End(AttemptOutcome::kBroken)).cache_plan->salt;
  CHECK(after != before);
  CHECK(after != SaltFor(fixture, "key-a"));
}

// Guards against caches that stay cold after the records were read, or after
// the store lost them, and in deployments without workspaces.
TEST(CacheScope, WorkspacesShareAgainOnceTheRecordsWereRead) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  Configure(fixture, 5, Standing::kShared);
  const std::string shared = SaltFor(fixture, "key-a");
  const auto shares = [&] { return SaltFor(fixture, "key-c") == shared; };
  fixture.Apply(OperatorRecordsAnnounced{{0, 4}});
  fixture.Apply(OperatorRecordsAnnounced{{0, 5}});
  CHECK(shares());
  const auto announce = [&](std::uint64_t end_offset) {
    const MonotonicTime at = fixture.Now();
    fixture.Apply(OperatorRecordsAnnounced{{0, end_offset}});
    fixture.Wait(kBehind);
    return at;
  };
  const MonotonicTime first = announce(9);
  CHECK(!shares());
  // These reads were sent before the records were announced.
  fixture.Apply(ConfigurationConfirmed{first - 1ms, {0, 5}});
  fixture.Apply(ConfigurationConfirmed{first, {0, 8}});
  CHECK(!shares());
  fixture.Apply(ConfigurationConfirmed{first - 1ms, {0, 9}});
  CHECK(shares());
  const MonotonicTime second = announce(12);
  CHECK(!shares());
  // Later records do not prolong the time for which unread ones are allowed.
  announce(13);
  CHECK(!shares());
  fixture.Apply(ConfigurationConfirmed{second + kBehind + 1ms, {0, 9}});
  CHECK(shares());

  Configuration open = fixture.MakeConfiguration(6);
  open.has_workspaces = false;
  open.workspaces.clear();
  fixture.Apply(ConfigurationRead{open});
  announce(20);
  CHECK(shares());
}

// Guards against requests of public routes, which are served without a
// freshness proof, that use the parts of a workspace that became private while
// the daemon was cut off from the store and its peers.
TEST(CacheScope, PublicRequestsShareNothingWithoutAFreshnessProof) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  Configuration configuration = fixture.MakeConfiguration(2);
  configuration.routes[2].is_public = true;
  fixture.Apply(ConfigurationRead{configuration});
  fixture.Confirm();
  const std::string shared = SaltFor(fixture, "");
  fixture.Wait(fixture.CurrentState().options.max_proof_age);
  STRCMP_EQUAL(shared.c_str(), SaltFor(fixture, "").c_str());
  fixture.Wait(1ms);
  CHECK(SaltFor(fixture, "") != shared);
  fixture.Confirm();
  STRCMP_EQUAL(shared.c_str(), SaltFor(fixture, "").c_str());
}

// Guards against workspaces that find parts of a private one through a daemon
// that has yet to read the newest configuration, for any sequence of
// configurations.
TEST(CacheScope, NoWorkspaceFindsPartsOfAPrivateOneThroughALateDaemon) {
  const std::array<std::string, 3> names{"clinic", "depot", "market"};
  std::size_t late_steps = 0;
  std::size_t shared_uses = 0;
  const bool holds = rc::check("private parts stay private", [&] {
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 27 * 4));
    /// The second daemon reads some of the records only.
    std::array<ForwardingFixture, 2> daemons;
    for (ForwardingFixture& daemon : daemons) {
      daemon.AddUpstream("e1", "engine", 1);
    }
    std::map<std::string, std::set<std::string>> makers;  // By salt.
    std::uint64_t version = 1;
    for (const std::uint32_t step : steps) {
      ++version;
      Configuration configuration = daemons[0].MakeConfiguration(version);
      Standings standings = Decode(names, step % 27);
      configuration.workspaces = MakeWorkspaces(standings);
      const bool late = step / 27 != 0;
      for (ForwardingFixture& daemon : daemons) {
        daemon.Wait(1ms);
        if (late && &daemon == &daemons[1]) {
          daemon.Apply(OperatorRecordsAnnounced{{0, version}});
          daemon.Wait(kBehind);
          ++late_steps;
          continue;
        }
        Read(daemon, configuration);
      }
      for (ForwardingFixture& daemon : daemons) {
        for (const std::string& user : names) {
          const auto starts =
              EffectsOf<StartAttempt>(daemon.Send("/prompt/", "key-" + user));
          if (starts.empty()) {
            continue;
          }
          daemon.End(AttemptOutcome::kCompleted);
          std::set<std::string>& found = makers[starts[0].cache_plan->salt];
          for (const std::string& maker : found) {
            if (maker != user) {
              ++shared_uses;
              RC_ASSERT(standings[user] != Standing::kPrivate);
              RC_ASSERT(standings[maker] != Standing::kPrivate);
            }
          }
          found.insert(user);
        }
      }
    }
  });
  CHECK(holds);
  CHECK(late_steps > 100);
  CHECK(shared_uses > 100);
}
