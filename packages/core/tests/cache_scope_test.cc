// Which workspaces share cached parts when a configuration makes one of them
// private, shared again, or removes it.

#include <jasminehatch/core.h>

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;

namespace {

/// How a workspace stands in a configuration.
enum class Standing : std::uint8_t { kAbsent, kShared, kPrivate };

using Standings = std::map<std::string, Standing>;

RouteTable MakeTable(const Standings& standings, bool reversed = false) {
  Configuration configuration;
  for (const auto& [name, standing] : standings) {
    if (standing != Standing::kAbsent) {
      configuration.workspaces.push_back(
          {name, {"key-" + name}, standing == Standing::kPrivate, {}});
    }
  }
  if (reversed) {
    std::reverse(configuration.workspaces.begin(),
                 configuration.workspaces.end());
  }
  return RouteTable(std::move(configuration));
}

/// Applies a configuration in which `workspace-a` has this standing, beside the
/// shared `workspace-c`.
void Configure(ForwardingFixture& fixture,
               std::uint64_t version,
               bool workspace_a_is_private) {
  Configuration configuration = fixture.MakeConfiguration(version);
  configuration.workspaces[0].private_cache = workspace_a_is_private;
  configuration.workspaces.push_back({"workspace-c", {"key-c"}, false, {}});
  fixture.Apply(ConfigurationRead{configuration});
  fixture.Confirm();
}

std::string SaltFor(ForwardingFixture& fixture, const std::string& key) {
  return OnlyStart(fixture.Send("/prompt/", key)).cache_plan->salt;
}

}  // namespace

TEST_GROUP_BASE(CacheScope, jasminehatch::testing::LeakDetectorOff){};

// Guards against workspaces that use what another one computed before its cache
// became private (review/4).
TEST(CacheScope, PartsOfAWorkspaceThatBecamePrivateAreNotFound) {
  ForwardingFixture fixture;
  fixture.AddUpstream("e1", "engine", 1);
  Configure(fixture, 2, false);
  const std::string before = SaltFor(fixture, "key-a");
  STRCMP_EQUAL(before.c_str(), SaltFor(fixture, "key-c").c_str());
  Configure(fixture, 3, true);
  const std::string own = SaltFor(fixture, "key-a");
  const std::string others = SaltFor(fixture, "key-c");
  CHECK(others != before);
  CHECK(own != before);
  CHECK(own != others);
  // Shared again, it finds neither its private parts nor gives them away.
  Configure(fixture, 4, false);
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
  Configure(fixture, 2, false);
  const std::string before =
      OnlyStart(fixture.Send("/resume/", "key-c")).cache_plan->salt;
  Configure(fixture, 3, true);
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
      Standings standings;
      std::uint32_t rest = encoded;
      for (const std::string& name : names) {
        standings[name] = static_cast<Standing>(rest % 3);
        rest /= 3;
      }
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
