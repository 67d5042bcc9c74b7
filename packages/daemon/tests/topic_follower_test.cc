// A follower of a topic while the platform's store comes back from an older
// copy of its records, on real sockets.

#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>
#include <jasminehatch/platform.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "jasminehatch/detail/forwarder/topic_follower.h"
#include "jasminehatch/detail/testing/run_until.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace std::chrono_literals;
using daemon::SnapshotKind;

namespace {

constexpr char kTopic[] = "keyed.op";

/// @brief A follower that reads with long polls, and what it has delivered.
class FollowerFixture {
 public:
  explicit FollowerFixture(std::chrono::milliseconds settle_time = 1h)
      : m_follower(m_loop,
                   m_store,
                   m_clock,
                   TopicOptions(settle_time),
                   Callbacks()) {}

  void Put(const std::string& value) { m_platform.Put(kTopic, "key", value); }

  bool RunUntilValueIs(const std::string& value) {
    return RunUntil([&] { return m_values["key"] == value; });
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    return jasminehatch::testing::RunUntil(m_loop, condition);
  }

  emulator::PlatformEmulator& Platform() { return m_platform; }
  daemon::TopicFollower& Follower() { return m_follower; }
  std::size_t Proofs() const { return m_proofs; }
  std::size_t Snapshots(SnapshotKind kind) { return m_snapshots[kind]; }

 private:
  static daemon::TopicFollower::Options TopicOptions(
      std::chrono::milliseconds settle_time) {
    daemon::TopicFollower::Options options;
    options.topic = kTopic;
    // A read that is not answered does not end within the test.
    options.max_wait = 1h;
    options.settle_time = settle_time;
    return options;
  }

  daemon::TopicFollower::Callbacks Callbacks() {
    daemon::TopicFollower::Callbacks callbacks;
    callbacks.on_snapshot = [this](auto records, SnapshotKind kind) {
      ++m_snapshots[kind];
      Store(records);
    };
    callbacks.on_records = [this](auto records) { Store(records); };
    callbacks.on_caught_up = [this](MonotonicTime) { ++m_proofs; };
    callbacks.on_unavailable = [](const std::string&) {};
    callbacks.on_recovered = [](Duration) {};
    return callbacks;
  }

  void Store(std::span<const platform::StoreRecord> records) {
    for (const platform::StoreRecord& record : records) {
      m_values[record.key] = record.value;
    }
  }

  asio::io_context m_loop;
  emulator::PlatformEmulator m_platform{m_loop};
  net::BootClock m_clock;
  net::HttpClient m_http{m_loop};
  platform::StoreClient m_store{m_http, m_platform.Address()};
  std::map<std::string, std::string> m_values;
  std::map<SnapshotKind, std::size_t> m_snapshots;
  std::size_t m_proofs = 0;
  daemon::TopicFollower m_follower;
};

/// Starts a follower that has read the offsets 0 to 2.
void StartWithThreeRecords(FollowerFixture& fixture) {
  fixture.Put("1");
  fixture.Follower().Start();
  CHECK(fixture.RunUntilValueIs("1"));
  fixture.Put("2");
  fixture.Put("3");
  CHECK(fixture.RunUntilValueIs("3"));
}

}  // namespace

TEST_GROUP_BASE(TopicFollower, jasminehatch::testing::LeakDetectorOff){};

// Guards against a follower that takes a read at an offset that was given out
// again for a proof that nothing was written: record 4 stays hidden.
TEST(TopicFollower, RecordsAtOffsetsThatWereGivenOutAgainAreRead) {
  FollowerFixture fixture;
  StartWithThreeRecords(fixture);
  fixture.Platform().RestoreOlderCopy(kTopic, 1);
  fixture.Put("3");
  fixture.Put("4");
  CHECK(fixture.RunUntilValueIs("4"));
  CHECK((LogPosition{2, 3}) == fixture.Follower().End());
}

// Guards against a follower that waits for a read on a connection that has gone
// silent although another read showed that the records are gone.
TEST(TopicFollower, ASilentReadDoesNotDelayTheNextSnapshot) {
  for (const bool is_restored : {true, false}) {
    FollowerFixture fixture;
    StartWithThreeRecords(fixture);
    CHECK(fixture.RunUntil(
        [&] { return fixture.Platform().PendingReadCount() == 1; }));
    fixture.Platform().SilencePendingReads();
    if (is_restored) {
      fixture.Platform().RestoreOlderCopy(kTopic, 1);
    }
    fixture.Put("4");
    if (!is_restored) {
      fixture.Platform().Compact(kTopic);
    }
    fixture.Follower().ReadNow();
    CHECK(fixture.RunUntilValueIs("4"));
  }
}

// Guards against a late response of an earlier epoch that counts as a proof.
TEST(TopicFollower, AResponseOfAnEarlierEpochProvesNothing) {
  FollowerFixture fixture;
  StartWithThreeRecords(fixture);
  const std::uint64_t calls = fixture.Platform().CallCount();
  const std::size_t proofs = fixture.Proofs();
  fixture.Follower().OnStoreEpoch(7);
  CHECK(!fixture.Follower().End());
  CHECK(fixture.RunUntil(
      [&] { return fixture.Platform().CallCount() >= calls + 3; }));
  UNSIGNED_LONGS_EQUAL(proofs, fixture.Proofs());
  CHECK(!fixture.Follower().End());
}

// Guards against taking what an older copy lacks for removed, and against
// keeping for ever what was removed while the store was away.
TEST(TopicFollower, ACompleteSnapshotFollowsThatOfAnOlderCopy) {
  FollowerFixture fixture(/*settle_time=*/200ms);
  StartWithThreeRecords(fixture);
  UNSIGNED_LONGS_EQUAL(1, fixture.Snapshots(SnapshotKind::kComplete));
  fixture.Platform().RestoreOlderCopy(kTopic, 1);
  CHECK(fixture.RunUntil(
      [&] { return fixture.Snapshots(SnapshotKind::kComplete) == 2; }));
  UNSIGNED_LONGS_EQUAL(1, fixture.Snapshots(SnapshotKind::kOlderCopy));
}

// Guards against a second drill within seconds that is missed.
TEST(TopicFollower, TheStoreMayBeRestoredTwice) {
  FollowerFixture fixture;
  StartWithThreeRecords(fixture);
  fixture.Platform().RestoreOlderCopy(kTopic, 1);
  fixture.Put("4");
  fixture.Platform().RestoreOlderCopy(kTopic, 1);
  fixture.Put("4");
  fixture.Put("5");
  CHECK(fixture.RunUntilValueIs("5"));
  CHECK((LogPosition{3, 3}) == fixture.Follower().End());
}
