// Daemons of one zone that follow a topic of the store through one reader.

#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>
#include <jasminehatch/platform.h>
#include <jasminehatch/telemetry.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/forwarder/peer_gossip.h"
#include "jasminehatch/detail/forwarder/topic_follower.h"
#include "jasminehatch/detail/forwarder/zone_relay.h"
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kTimeout{30};

/// So old that a follower never reads by itself.
constexpr std::chrono::milliseconds kNever = 1h;

constexpr char kTopic[] = "keyed.servers";

bool IsSameText(std::string_view before, std::string_view after) {
  return before == after;
}

/// @brief What a daemon needs to follow a topic together with others.
class Node {
 public:
  struct Options {
    std::string name;
    std::string store_address;
    std::string directory_address;  ///< Where daemons find each other.
    double capacity = 1;
    std::chrono::milliseconds max_relayed_age = kNever;
    relay::RecordMirror::IsRenewal is_renewal = &IsSameText;
  };

  Node(asio::io_context& loop, const Options& options)
      : m_http(loop),
        m_client(loop, {}),
        m_store(m_http, options.store_address),
        m_directory(m_http, options.directory_address),
        m_host(loop, m_clock, m_client, m_log, m_metrics, {}),
        m_gossip(
            loop,
            m_clock,
            m_directory,
            m_host,
            m_log,
            {options.name, "a", emulator::LoopbackHost().NewUdpAddress(loop), 1,
             "", options.capacity}),
        m_relay(loop,
                m_clock,
                m_gossip,
                m_log,
                m_metrics,
                {options.name, options.capacity}),
        m_follower(loop, m_store, m_clock, TopicOptions(options), Callbacks()) {
    m_gossip.Start();
    m_relay.AddFeed("topic", m_follower);
    m_relay.Start();
    m_follower.Start();
  }
  ~Node() {
    m_relay.Stop();
    m_gossip.Stop();
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// @return the newest value of a key; empty if there is none
  std::string Value(const std::string& key) const {
    const auto found = m_values.find(key);
    return found == m_values.end() ? "" : found->second;
  }

  relay::FeedRole Role() const { return m_follower.Role(); }
  bool HasRead() const { return m_follower.End().has_value(); }
  std::size_t Recoveries() const { return m_recoveries; }

  /// Tells the daemon that a peer knows records up to an offset.
  void Announce(std::uint64_t end) { m_follower.OnRecordsAnnounced({1, end}); }

 private:
  static daemon::TopicFollower::Options TopicOptions(const Options& options) {
    daemon::TopicFollower::Options topic;
    topic.topic = kTopic;
    topic.pause = 20ms;
    topic.reader_pause = 20ms;
    topic.max_relayed_age = options.max_relayed_age;
    topic.is_renewal = options.is_renewal;
    return topic;
  }

  daemon::TopicFollower::Callbacks Callbacks() {
    daemon::TopicFollower::Callbacks callbacks;
    callbacks.on_snapshot = [this](auto records, daemon::SnapshotKind) {
      m_values.clear();
      Store(records);
    };
    callbacks.on_records = [this](auto records) { Store(records); };
    callbacks.on_caught_up = [](MonotonicTime) {};
    callbacks.on_unavailable = [](const std::string&) {};
    callbacks.on_recovered = [this](Duration) { ++m_recoveries; };
    return callbacks;
  }

  void Store(std::span<const platform::StoreRecord> records) {
    for (const platform::StoreRecord& record : records) {
      m_values[record.key] = record.value;
    }
  }

  net::BootClock m_clock;
  net::HttpClient m_http;
  net::StreamClient m_client;
  platform::StoreClient m_store;
  platform::StoreClient m_directory;
  telemetry::DecisionLog m_log{-1, m_clock, {}};
  telemetry::Metrics m_metrics;
  daemon::ForwardingHost m_host;
  daemon::PeerGossip m_gossip;
  daemon::ZoneRelay m_relay;
  daemon::TopicFollower m_follower;
  std::map<std::string, std::string> m_values;
  std::size_t m_recoveries = 0;
};

/// @brief Daemons of one zone; the first one has the largest capacity.
class ZoneFixture {
 public:
  explicit ZoneFixture(Node::Options options = {}) {
    options.directory_address = m_directory.Address();
    for (std::size_t i = 0; i < 6; ++i) {
      options.name = "daemon-" + std::to_string(i);
      options.capacity = i == 0 ? 2 : 1;
      options.store_address =
          i == 0 ? m_readers_store.Address() : m_store.Address();
      m_nodes.push_back(std::make_unique<Node>(m_loop, options));
    }
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      m_loop.restart();
      m_loop.run_for(5ms);
    }
    return true;
  }

  bool WaitForRoles() {
    return RunUntil([this] {
      return std::all_of(m_nodes.begin(), m_nodes.end(),
                         [](const auto& node) { return node->HasRead(); }) &&
             Followers() == m_nodes.size() - 1 &&
             m_nodes.front()->Role() == relay::FeedRole::kReader;
    });
  }

  std::size_t Followers() const {
    return static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(), [](const auto& node) {
          return node->Role() == relay::FeedRole::kFollower;
        }));
  }

  /// Writes a record to both stores.
  void Put(const std::string& key, const std::string& value) {
    m_store.Put(kTopic, key, value);
    m_readers_store.Put(kTopic, key, value);
  }

  bool AllHave(const std::string& key, const std::string& value) {
    return RunUntil([&] {
      return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& node) {
        return node->Value(key) == value;
      });
    });
  }

  /// Lets both stores reject all calls, or none.
  void SetStoresDown(bool down) {
    m_store.SetDown(down);
    m_readers_store.SetDown(down);
  }

  emulator::PlatformEmulator& Store() { return m_store; }
  emulator::PlatformEmulator& ReadersStore() { return m_readers_store; }
  std::vector<std::unique_ptr<Node>>& Nodes() { return m_nodes; }

 private:
  asio::io_context m_loop{1};
  emulator::PlatformEmulator m_directory{m_loop};
  /// The reader has a store of its own, so that it can fail alone.
  emulator::PlatformEmulator m_store{m_loop};
  emulator::PlatformEmulator m_readers_store{m_loop};
  std::vector<std::unique_ptr<Node>> m_nodes;
};

}  // namespace

TEST_GROUP_BASE(ZoneRelay, jasminehatch::testing::LeakDetectorOff){};

// Guards against records and removals that reach the reader of a zone only.
TEST(ZoneRelay, ChangesReachTheFollowers) {
  ZoneFixture zone;
  zone.Put("a", "1");
  CHECK(zone.WaitForRoles());
  zone.Put("b", "1");
  zone.Put("a", "2");
  CHECK(zone.AllHave("a", "2"));
  CHECK(zone.AllHave("b", "1"));
  zone.Put("a", "");
  CHECK(zone.AllHave("a", ""));
  for (int i = 0; i < 40; ++i) {
    zone.Put("key-" + std::to_string(i), std::string(600, 'v'));
  }
  CHECK(zone.AllHave("key-39", std::string(600, 'v')));
  CHECK(zone.AllHave("key-0", std::string(600, 'v')));
}

// Guards against followers that still read the store.
TEST(ZoneRelay, FollowersDoNotReadTheStore) {
  ZoneFixture zone;
  CHECK(zone.WaitForRoles());
  zone.Put("a", "1");
  CHECK(zone.AllHave("a", "1"));
  const std::uint64_t calls = zone.Store().CallCount();
  zone.Put("a", "2");
  CHECK(zone.AllHave("a", "2"));
  UNSIGNED_LONGS_EQUAL(calls, zone.Store().CallCount());
}

// Guards against a zone whose followers depend on a dead reader.
TEST(ZoneRelay, AnotherDaemonReadsAfterTheReaderEnds) {
  ZoneFixture zone;
  CHECK(zone.WaitForRoles());
  zone.Nodes().erase(zone.Nodes().begin());
  zone.Put("a", "1");
  CHECK(zone.AllHave("a", "1"));
}

// Guards against followers that trust a reader without access to the store.
TEST(ZoneRelay, FollowersReadByThemselvesWhenTheReaderIsCutOff) {
  Node::Options options;
  options.max_relayed_age = 600ms;
  ZoneFixture zone(options);
  CHECK(zone.WaitForRoles());
  zone.ReadersStore().SetDown(true);
  zone.Store().Put(kTopic, "a", "1");
  CHECK(zone.RunUntil([&] {
    return std::all_of(
        zone.Nodes().begin() + 1, zone.Nodes().end(),
        [](const auto& node) { return node->Value("a") == "1"; });
  }));
}

// Guards against followers that each read when the store rejects the reader.
// The followers' limit for reads of their own is too long for this test.
TEST(ZoneRelay, AnotherDaemonTakesOverWhenTheStoreRejectsTheReader) {
  ZoneFixture zone;
  CHECK(zone.WaitForRoles());
  zone.ReadersStore().SetDown(true);
  zone.Store().Put(kTopic, "a", "1");
  // The rejected reader learns it from the new one.
  CHECK(zone.AllHave("a", "1"));
  CHECK(zone.Nodes().front()->Role() == relay::FeedRole::kFollower);
  UNSIGNED_LONGS_EQUAL(zone.Nodes().size() - 1, zone.Followers());
}

// Guards against a rejected daemon that reads after each message of a peer that
// knows more records.
TEST(ZoneRelay, RejectedDaemonsDoNotReadAfterEachMessage) {
  constexpr std::uint64_t kMaxCalls = 5;
  ZoneFixture zone;
  CHECK(zone.WaitForRoles());
  zone.SetStoresDown(true);
  const std::uint64_t calls = zone.ReadersStore().CallCount();
  const auto end = std::chrono::steady_clock::now() + 1s;
  zone.RunUntil([&] {
    zone.Nodes().front()->Announce(1000);
    return std::chrono::steady_clock::now() > end;
  });
  CHECK(zone.ReadersStore().CallCount() - calls <= kMaxCalls);
}

// Guards against followers that take the end of the reader's outage for the
// loss of the upstreams that could not renew their entries. No other daemon of
// the zone can read meanwhile; otherwise one takes over and nothing is lost.
TEST(ZoneRelay, FollowersLearnOfTheReadersOutage) {
  ZoneFixture zone;
  CHECK(zone.WaitForRoles());
  zone.SetStoresDown(true);
  const auto end = std::chrono::steady_clock::now() + 1500ms;
  zone.RunUntil([&] { return std::chrono::steady_clock::now() > end; });
  zone.SetStoresDown(false);
  CHECK(zone.RunUntil([&] {
    return std::all_of(zone.Nodes().begin(), zone.Nodes().end(),
                       [](const auto& node) { return node->Recoveries() > 0; });
  }));
  for (const auto& node : zone.Nodes()) {
    UNSIGNED_LONGS_EQUAL(1, node->Recoveries());
  }
}

// Guards against a topic whose records are too large to relay and that the
// followers miss.
TEST(ZoneRelay, FollowersReadRecordsThatAreNotRelayed) {
  Node::Options options;
  options.is_renewal = nullptr;
  ZoneFixture zone(options);
  CHECK(zone.WaitForRoles());
  zone.Put("a", "1");
  CHECK(zone.AllHave("a", "1"));
}

// Guards against a large record that is cut or lost on the way, or that each
// follower reads from the store.
TEST(ZoneRelay, LargeRecordsReachTheFollowersInParts) {
  ZoneFixture zone;
  CHECK(zone.WaitForRoles());
  const std::uint64_t calls = zone.Store().CallCount();
  const std::string large(100'000, 'v');
  zone.Put("b", "0");
  zone.Put("a", large);
  CHECK(zone.AllHave("a", large));
  zone.Put("b", "1");
  CHECK(zone.AllHave("b", "1"));
  UNSIGNED_LONGS_EQUAL(calls, zone.Store().CallCount());
}

// Guards against a record above the limit for parts that the followers miss.
TEST(ZoneRelay, FollowersReadLargeRecords) {
  ZoneFixture zone;
  CHECK(zone.WaitForRoles());
  const std::string large(relay::kMaxRelayedValueBytes + 1, 'v');
  zone.Put("a", large);
  CHECK(zone.AllHave("a", large));
  zone.Put("b", "1");
  CHECK(zone.AllHave("b", "1"));
}
