#include <jasminehatch/core.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <vector>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::shedding;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kLimit = 4UL << 20U;
constexpr std::size_t kBody = 1UL << 20U;
constexpr std::size_t kPrompt = 10'000;
constexpr MonotonicTime kStart{std::chrono::hours(1)};

MemoryLedger MakeLedger(std::size_t connections) {
  MemoryLedger ledger({kLimit, 100});
  for (ConnectionId id = 1; id <= connections; ++id) {
    CHECK(ledger.Open(id, kStart).granted);
  }
  return ledger;
}

bool Read(MemoryLedger& ledger, ConnectionId id, std::size_t bytes) {
  return ledger.Update(id, Activity::kReading, bytes, kStart).granted;
}

}  // namespace

TEST_GROUP_BASE(MemoryLedger, jasminehatch::testing::LeakDetectorOff){};

// Guards against large bodies that take the room of ordinary requests.
TEST(MemoryLedger, LargeBodiesLeaveTheReserve) {
  MemoryLedger ledger = MakeLedger(5);
  for (ConnectionId id = 1; id <= 3; ++id) {
    CHECK(Read(ledger, id, kBody));
  }
  CHECK_FALSE(Read(ledger, 4, kBody));
  CHECK(Read(ledger, 5, kPrompt));
  UNSIGNED_LONGS_EQUAL(3 * kBody, ledger.LargeBodyBytes());
}

// Guards against a rule that drops the oldest body, or one that makes progress,
// before the newest one that makes none.
TEST(MemoryLedger, DropsTheNewestLargeBodyWithoutProgress) {
  MemoryLedger ledger = MakeLedger(4);
  for (ConnectionId id = 1; id <= 3; ++id) {
    CHECK(Read(ledger, id, kBody));
  }
  const auto later = kStart + kStallTime;
  ledger.AddProgress(3, kProgressBytes, later);
  const Decision decision = ledger.Update(4, Activity::kReading, kBody, later);
  CHECK(decision.granted);
  CHECK(decision.dropped == std::vector<ConnectionId>{2});
}

// Guards against a body that is held by sending one byte at a time.
TEST(MemoryLedger, FewBytesAreNoProgress) {
  MemoryLedger ledger = MakeLedger(1);
  CHECK(Read(ledger, 1, kBody));
  ledger.AddProgress(1, kProgressBytes - 1, kStart + kStallTime);
  CHECK(ledger.ProgressAt(1) == kStart);
  ledger.AddProgress(1, 1, kStart + kStallTime);
  CHECK(ledger.ProgressAt(1) == kStart + kStallTime);
}

// Guards against an ordinary request that is refused or dropped although a
// large body, or an idle connection, could be dropped.
TEST(MemoryLedger, OrdinaryRequestsComeFirst) {
  MemoryLedger ledger = MakeLedger(8);
  CHECK(Read(ledger, 1, kBody));
  const std::size_t rest = kLimit - ledger.TotalBytes();
  ledger.AddRunning(rest);
  Decision decision = ledger.Update(2, Activity::kReading, kPrompt, kStart);
  CHECK(decision.granted);
  CHECK(decision.dropped == std::vector<ConnectionId>{1});
  ledger.AddRunning(kLimit - ledger.TotalBytes());
  decision = ledger.Update(3, Activity::kReading, 2 * kConnectionBytes, kStart);
  CHECK(decision.granted);
  CHECK((decision.dropped == std::vector<ConnectionId>{4, 5}));
}

// Guards against a request that is dropped although that does not make enough
// room, and against a running request that is dropped: its refusal as not run
// would be false.
TEST(MemoryLedger, DropsNobodyInVain) {
  MemoryLedger ledger = MakeLedger(3);
  CHECK(Read(ledger, 1, kPrompt));
  CHECK(ledger.Update(2, Activity::kRunning, kPrompt, kStart).granted);
  ledger.AddRunning(kLimit - ledger.TotalBytes());
  const Decision decision =
      ledger.Update(3, Activity::kReading, 2 * kPrompt, kStart + kStallTime);
  CHECK_FALSE(decision.granted);
  CHECK(decision.dropped.empty());
}

// Guards against connections without end, and against a new caller that is
// rejected while idle connections are kept.
TEST(MemoryLedger, TheLongestIdleConnectionMakesRoomForANewOne) {
  MemoryLedger ledger({kLimit, 3});
  for (ConnectionId id = 1; id <= 3; ++id) {
    CHECK(ledger.Open(id, kStart).granted);
  }
  CHECK(Read(ledger, 1, kPrompt));
  const Decision decision = ledger.Open(4, kStart);
  CHECK(decision.granted);
  CHECK(decision.dropped == std::vector<ConnectionId>{2});
  ledger.Close(2);
  CHECK(Read(ledger, 3, kPrompt));
  CHECK(Read(ledger, 4, kPrompt));
  CHECK_FALSE(ledger.Open(5, kStart).granted);
}

// Guards against a refused request whose response finds no room.
TEST(MemoryLedger, ARefusalAlwaysFits) {
  MemoryLedger ledger = MakeLedger(1);
  ledger.AddRunning(kLimit);
  CHECK(ledger.Update(1, Activity::kEnding, 300, kStart).granted);
}

// Guards against memory that is counted twice, lost, or granted beyond the
// limit, and against large bodies beyond their share, in random sequences.
TEST(MemoryLedger, NeverExceedsItsLimits) {
  const bool held = rc::check([] {
    MemoryLedger ledger({kLimit, 40});
    std::map<ConnectionId, std::size_t> held_bytes;
    std::map<ConnectionId, Activity> activities;
    std::vector<std::size_t> running;
    std::size_t running_bytes = 0;
    ConnectionId next = 1;
    MonotonicTime now = kStart;
    const auto forget = [&](const Decision& decision) {
      for (const ConnectionId id : decision.dropped) {
        RC_ASSERT(held_bytes.erase(id) == 1);
        ledger.Close(id);
      }
    };
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 1500));
      const int action = *rc::gen::inRange(0, 10);
      if (action < 3 || held_bytes.empty()) {
        const Decision decision = ledger.Open(next, now);
        forget(decision);
        if (decision.granted) {
          held_bytes[next] = 0;
        }
        ++next;
      } else {
        auto chosen =
            std::next(held_bytes.begin(),
                      *rc::gen::inRange<std::ptrdiff_t>(
                          0, static_cast<std::ptrdiff_t>(held_bytes.size())));
        const ConnectionId id = chosen->first;
        if (action == 3) {
          ledger.Close(id);
          held_bytes.erase(id);
        } else if (action == 4 && !running.empty()) {
          ledger.RemoveRunning(running.back());
          running_bytes -= running.back();
          running.pop_back();
        } else if (action == 5) {
          const std::size_t bytes = chosen->second;
          CHECK(ledger.Update(id, Activity::kRunning, 0, now).granted);
          chosen->second = 0;
          activities[id] = Activity::kRunning;
          ledger.AddRunning(bytes);
          running.push_back(bytes);
          running_bytes += bytes;
        } else {
          const auto bytes = *rc::gen::inRange<std::size_t>(0, kLimit / 2);
          const auto activity = *rc::gen::element(
              Activity::kIdle, Activity::kReading, Activity::kUnread);
          const bool is_more = bytes > chosen->second;
          const std::size_t large_before = ledger.LargeBodyBytes();
          const Decision decision = ledger.Update(id, activity, bytes, now);
          forget(decision);
          RC_ASSERT(held_bytes.contains(id));
          if (decision.granted) {
            held_bytes[id] = bytes;
            activities[id] = activity;
          }
          // Less memory is granted even if it becomes that of a large body.
          if (is_more) {
            RC_ASSERT(
                ledger.LargeBodyBytes() <=
                std::max(large_before, ledger.CurrentOptions().LargeLimit()));
          }
        }
      }
      std::size_t sum = running_bytes + held_bytes.size() * kConnectionBytes;
      std::size_t large = 0;
      const auto large_part = [](std::size_t bytes) {
        return bytes >= kLargeBytes ? bytes : 0;
      };
      for (const std::size_t bytes : running) {
        large += large_part(bytes);
      }
      for (const auto& [id, bytes] : held_bytes) {
        sum += bytes;
        large += activities[id] == Activity::kReading ? large_part(bytes) : 0;
      }
      RC_ASSERT(ledger.TotalBytes() == sum);
      RC_ASSERT(ledger.LargeBodyBytes() == large);
      RC_ASSERT(ledger.Connections() == held_bytes.size());
      RC_ASSERT(ledger.Connections() <= 40U);
      RC_ASSERT(sum <= kLimit);
    }
  });
  CHECK(held);
}

// Guards against one log line for each refused caller.
TEST(MemoryLedger, RefusalsAreSummedUpForTheLog) {
  RefusalSummary summary;
  CHECK_FALSE(summary.TakeLine(kStart));
  for (int i = 0; i < 100; ++i) {
    summary.Count(CallerRefusal::kShed);
  }
  UNSIGNED_LONGS_EQUAL(100, summary.TakeLine(kStart)->count);
  summary.Count(CallerRefusal::kShed);
  CHECK_FALSE(summary.TakeLine(kStart + milliseconds(999)));
  const auto line = summary.TakeLine(kStart + milliseconds(1000));
  CHECK(line && line->reason == CallerRefusal::kShed);
  UNSIGNED_LONGS_EQUAL(1, line->count);
}
