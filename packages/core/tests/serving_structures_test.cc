#include <jasminehatch/core.h>
#include <jasminehatch/testing.h>
#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <CppUTest/TestHarness.h>
#include "jasminehatch/detail/testing/leak_detector_off.h"

using namespace jasminehatch;
using namespace std::chrono_literals;
using jasminehatch::testing::NumberedDigest;
using serving::CrashTable;
using serving::FairQueue;
using serving::PrefixIndex;
using serving::Priority;

TEST_GROUP_BASE(ServingStructures, jasminehatch::testing::LeakDetectorOff){};

// Guards against entries that are lost or reappear when the table is modified,
// cleared and rebuilt.
TEST(ServingStructures, PrefixIndexEqualsASetOfPairs) {
  CHECK(rc::check("prefix index", [] {
    using Operation = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
    const auto operations =
        *rc::gen::resize(500, rc::gen::arbitrary<std::vector<Operation>>());
    PrefixIndex index;
    std::set<std::pair<std::uint32_t, std::uint8_t>> expected;
    for (const auto& [kind, number, holder] : operations) {
      const std::uint32_t upstream = holder % 3;
      const auto key = NumberedDigest(number % 100);
      if (kind % 16 == 0) {
        index.Clear(UpstreamId{upstream});
        std::erase_if(expected,
                      [&](const auto& pair) { return pair.first == upstream; });
      } else if (kind % 3 == 0) {
        index.Evict(UpstreamId{upstream}, key);
        expected.erase({upstream, number % 100});
      } else {
        index.Add(UpstreamId{upstream}, key);
        expected.insert({upstream, number % 100});
      }
    }
    RC_ASSERT(index.BlockCount() == expected.size());
    for (std::uint8_t number = 0; number < 100; ++number) {
      const auto key = NumberedDigest(number);
      std::set<std::uint32_t> holders;
      for (const auto& match : index.FindHolders({&key, 1})) {
        holders.insert(match.upstream.value);
      }
      for (std::uint32_t upstream = 0; upstream < 3; ++upstream) {
        RC_ASSERT(holders.contains(upstream) ==
                  expected.contains({upstream, number}));
      }
    }
  }));
}

// Guards against counting blocks after the first missing one.
TEST(ServingStructures, PrefixIndexCountsLeadingBlocks) {
  PrefixIndex index;
  const std::vector<BlockKey> keys{NumberedDigest(1), NumberedDigest(2),
                                   NumberedDigest(3)};
  index.Add(UpstreamId{4}, keys[0]);
  index.Add(UpstreamId{4}, keys[2]);
  for (const auto& key : keys) {
    index.Add(UpstreamId{2}, key);
  }
  const auto matches = index.FindHolders(keys);
  CHECK_EQUAL(2, matches.size());
  CHECK_EQUAL(2, matches[0].upstream.value);
  CHECK_EQUAL(3, matches[0].blocks);
  CHECK_EQUAL(1, matches[1].blocks);
}

// Guards against a large workspace or long prompts that take the turns of other
// workspaces.
TEST(ServingStructures, FairQueueSharesByCost) {
  FairQueue queue;
  std::uint64_t next = 0;
  std::map<std::uint64_t, std::string> workspace_of;
  const auto push = [&](const std::string& workspace, std::uint32_t cost,
                        int count) {
    for (int i = 0; i < count; ++i) {
      workspace_of[++next] = workspace;
      queue.Push({RequestId{next}, workspace, Priority::kStandard, cost});
    }
  };
  push("long", 4000, 100);
  push("short", 1000, 100);
  push("other", 1000, 100);
  std::map<std::string, int> served;
  for (int i = 0; i < 90; ++i) {
    ++served[workspace_of[queue.Pop()->value]];
  }
  CHECK(served["long"] >= 9 && served["long"] <= 11);
  CHECK(served["short"] >= 39 && served["short"] <= 41);
}

// Guards against starvation of lower classes, and against interactive prompts
// that wait behind long prompts of lower classes.
TEST(ServingStructures, FairQueuePrefersHigherClassesWithoutStarvation) {
  FairQueue queue;
  for (std::uint64_t i = 0; i < 99; ++i) {
    queue.Push({RequestId{i}, "reviews", static_cast<Priority>(i % 3), 8000});
  }
  std::vector<int> served(3);
  for (int i = 0; i < 36; ++i) {
    ++served[queue.Pop()->value % 3];
  }
  CHECK(served[0] >= 28);
  CHECK(served[1] >= 3);
  CHECK(served[2] >= 1);
}

// Guards against unbounded memory, and against suspects that evict quarantines.
TEST(ServingStructures, CrashTableIsBoundedAndKeepsQuarantines) {
  CrashTable table(100);
  const MonotonicTime now{1h};
  table.Quarantine(NumberedDigest(0), now, now + 10min);
  for (std::uint64_t i = 1; i < 1000; ++i) {
    table.AddLoss(NumberedDigest(i), now, now + 10min);
  }
  CHECK_EQUAL(100, table.Size());
  CHECK(table.IsQuarantined(NumberedDigest(0), now));
  CHECK(table.IsSuspect(NumberedDigest(999), now));
  CHECK(!table.IsSuspect(NumberedDigest(1), now));
  CHECK(!table.IsQuarantined(NumberedDigest(0), now + 10min));
}
