#include <jasminehatch/core.h>

#include <chrono>
#include <string>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::MonotonicTime;
using namespace jasminehatch::forwarding;
using namespace std::chrono_literals;

TEST_GROUP_BASE(ForwardingStructures, jasminehatch::testing::LeakDetectorOff) {
  MonotonicTime now{1h};

  static CacheStores MakeStores(std::uint64_t capacity) {
    Service service;
    service.name = "store";
    service.store = CacheStoreSpec{"10.0.0.9:1", "a", capacity, true, 1ms};
    CacheStores stores;
    stores.Configure({&service, 1});
    stores.Apply(CacheListed{"10.0.0.9:1", 7, {}});
    return stores;
  }

  /// Lets each daemon of a fleet make all retries that it may, and checks the
  /// sum.
  /// @param fleet_size_known whether the daemons know the size of the fleet;
  /// otherwise they assume `Options::min_daemons`
  void CheckFleetAllowance(int daemons, int requests_per_daemon, double slack,
                           bool fleet_size_known) {
    Options options;
    options.retry_ratio = 0.2;
    options.retry_slack = slack;
    int spent = 0;
    for (int daemon = 0; daemon < daemons; ++daemon) {
      RetryAllowance allowance;
      if (fleet_size_known) {
        allowance.SetDaemons(static_cast<std::size_t>(daemons));
      }
      for (int i = 0; i < requests_per_daemon; ++i) {
        allowance.RecordRequest("s", now, options);
        while (allowance.TrySpend("s", now, options)) {
          ++spent;
        }
      }
    }
    CHECK(spent > 0);
    CHECK(spent <= options.retry_ratio * daemons * requests_per_daemon + slack);
  }
};

// Guards against a shorter prefix that takes precedence over a longer one.
TEST(ForwardingStructures, TheLongestPrefixTakesPrecedence) {
  Configuration configuration;
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    Route route;
    route.name = prefix;
    route.host = "Front.example";
    route.path_prefix = prefix;
    configuration.routes.push_back(route);
  }
  const RouteTable table(configuration);
  const auto found = [&](const char* path) {
    return table.FindRoute("front.example:8080", path)->name;
  };
  STRCMP_EQUAL("/a/b/", found("/a/b/c").c_str());
  STRCMP_EQUAL("/a/", found("/a/bc").c_str());
  STRCMP_EQUAL("/", found("/a").c_str());
  POINTERS_EQUAL(nullptr, table.FindRoute("other.example", "/a/"));
}

// Guards against daemons that together exceed the fleet's retry allowance.
TEST(ForwardingStructures, DaemonsTogetherKeepTheRetryAllowance) {
  CheckFleetAllowance(9, 100, 52, false);
}

// Guards against a fleet that is larger than the configured minimum and uses
// the slack several times over.
TEST(ForwardingStructures, ALargeFleetKeepsTheRetryAllowance) {
  CheckFleetAllowance(82, 40, 204, true);
}

// Guards against refusing requests that only ran on the same upstream as the
// cause of a crash, and against counting one crash twice when several daemons
// report it.
TEST(ForwardingStructures, ThreeDifferentCrashesMakeASuspect) {
  CrashSuspects suspects;
  CHECK(suspects.Record({1, 10}, now));
  CHECK_FALSE(suspects.Record({1, 10}, now));
  CHECK(suspects.Record({1, 11}, now));
  CHECK_FALSE(suspects.RefusalTimeLeft(1, now));
  CHECK(suspects.Record({1, 12}, now));
  CHECK(suspects.RefusalTimeLeft(1, now).has_value());
  CHECK_FALSE(suspects.RefusalTimeLeft(2, now));
  CHECK_FALSE(suspects.RefusalTimeLeft(1, now + 1h));
}

// Guards against a daemon that starts, and sends a request which crashed three
// upstreams to three more, since the others do not tell it (review/5).
TEST(ForwardingStructures, AStartingDaemonLearnsWhichRequestsAreRefused) {
  CrashSuspects suspects;
  for (std::uint64_t upstream = 10; upstream < 13; ++upstream) {
    suspects.Record({1, upstream}, now);
  }
  suspects.Record({2, 10}, now);
  const auto later = now + 4min;
  CrashSuspects starting;
  for (const CrashReport& report : suspects.ReportsOnRefused(later)) {
    CHECK(starting.Record(report, later));
  }
  CHECK(suspects.RefusalTimeLeft(1, later) ==
        starting.RefusalTimeLeft(1, later));
  CHECK_FALSE(starting.RefusalTimeLeft(2, later));
  CHECK(suspects.ReportsOnRefused(now + 1h).empty());
  // Reports that daemons tell each other do not extend the refusal.
  for (const CrashReport& report : starting.ReportsOnRefused(later)) {
    CHECK_FALSE(suspects.Record(report, later));
  }
}

// Guards against messages that grow with the number of refused requests.
TEST(ForwardingStructures, ReportsOnRefusedRequestsAreBounded) {
  CrashSuspects suspects;
  for (std::uint64_t request = 0; request < 200; ++request) {
    for (std::uint64_t upstream = 0; upstream < 3; ++upstream) {
      suspects.Record({request, upstream}, now);
    }
  }
  const auto reports = suspects.ReportsOnRefused(now);
  UNSIGNED_LONGS_EQUAL(3 * CrashSuspects::kMaxRefusedReported, reports.size());
  UNSIGNED_LONGS_EQUAL(199, reports.front().fingerprint);
}

// Guards against unbounded memory for crash reports.
TEST(ForwardingStructures, CrashReportsAreBounded) {
  CrashSuspects suspects;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    suspects.Record({i, 1}, now + std::chrono::milliseconds(i));
  }
  CHECK(suspects.Size() <= 2048);
  // The latest reports are kept.
  CHECK_FALSE(suspects.Record({9999, 1}, now));
}

// Guards against memory that grows with each upstream that leaves, and against
// a notice that is given to another process.
TEST(ForwardingStructures, NoticesOfRemovedUpstreamsAreBounded) {
  RemovedUpstreamNotices notices;
  const UpstreamNotice leaving{.leaving = true};
  const std::size_t count = RemovedUpstreamNotices::kMaxNotices + 10;
  for (std::size_t i = 0; i < count; ++i) {
    notices.Store("u" + std::to_string(i), 1, leaving);
    notices.Store("u" + std::to_string(i), 2, leaving);
  }
  UNSIGNED_LONGS_EQUAL(RemovedUpstreamNotices::kMaxNotices, notices.Size());
  CHECK_FALSE(notices.Take("u0", 2, now).leaving);
  const std::string newest = "u" + std::to_string(count - 1);
  CHECK(notices.Take(newest, 2, now).leaving);
  CHECK_FALSE(notices.Take(newest, 2, now).leaving);
  CHECK_FALSE(notices.Take("u" + std::to_string(count - 2), 1, now).leaving);
  UNSIGNED_LONGS_EQUAL(RemovedUpstreamNotices::kMaxNotices - 2, notices.Size());
}

// Guards against an allowance that is never restored.
TEST(ForwardingStructures, TheRetryAllowanceUsesASlidingWindow) {
  Options options;
  RetryAllowance allowance;
  while (allowance.TrySpend("s", now, options)) {
  }
  CHECK_FALSE(allowance.TrySpend("s", now + 1s, options));
  CHECK(allowance.TrySpend("s", now + options.retry_window + 1ms, options));
}

// Guards against fetching a part that the store does not have completely.
TEST(ForwardingStructures, OnlyCompletePartsSinceTheRestartAreFetched) {
  CacheStores stores = MakeStores(10'000);
  stores.Apply(CacheChanged{"10.0.0.9:1", 7, {{true, {"s", "p", 500}}}});
  CHECK_FALSE(stores.Find("s", "p", 500, "a").empty());
  CHECK(stores.Find("s", "p", 501, "a").empty());
  CHECK(stores.Find("other", "p", 500, "a").empty());
  // Changes from before the restart are ignored.
  stores.Apply(CacheListed{"10.0.0.9:1", 8, {}});
  stores.Apply(CacheChanged{"10.0.0.9:1", 7, {{true, {"s", "p", 500}}}});
  CHECK(stores.Find("s", "p", 500, "a").empty());
}

// Guards against fetching from an unreachable store.
TEST(ForwardingStructures, AnUnreachableStoreIsNotUsed) {
  CacheStores stores = MakeStores(10'000);
  stores.Apply(CacheChanged{"10.0.0.9:1", 7, {{true, {"s", "p", 500}}}});
  stores.Apply(CacheStoreUnreachable{"10.0.0.9:1"});
  CHECK(stores.Find("s", "p", 500, "a").empty());
  CHECK(stores.Reserve("s", "q", 500, now).empty());
}

// Guards against small stores that stay empty until the large ones are full.
TEST(ForwardingStructures, StoresAreFilledInProportionToTheirCapacity) {
  CacheStores stores;
  std::vector<Service> services(5);
  for (std::size_t i = 0; i < services.size(); ++i) {
    services[i].name = "store-" + std::to_string(i);
    services[i].store.emplace();
    services[i].store->address = "10.0.0." + std::to_string(i) + ":1";
    services[i].store->capacity_tokens = i == 0 ? 10'000'000 : 30'000'000;
  }
  stores.Configure(services);
  for (const Service& service : services) {
    stores.Apply(CacheListed{service.store->address, 1, {}});
  }
  int small = 0;
  constexpr int kParts = 2600;
  for (int i = 0; i < kParts; ++i) {
    small += stores.Reserve("s", "part-" + std::to_string(i), 16, now) ==
                     services[0].store->address
                 ? 1
                 : 0;
  }
  // A thirteenth of the capacity, within five standard deviations.
  CHECK(small > 130 && small < 270);
}

// Guards against saves that are lost because other daemons fill the store while
// another one has room.
TEST(ForwardingStructures, StoresWithAmpleFreeSpaceArePreferred) {
  CacheStores stores;
  std::vector<Service> services(2);
  for (std::size_t i = 0; i < services.size(); ++i) {
    services[i].name = "store-" + std::to_string(i);
    services[i].store.emplace();
    services[i].store->address = "10.0.0." + std::to_string(i) + ":1";
    services[i].store->capacity_tokens = 100'000;
  }
  stores.Configure(services);
  stores.Apply(CacheListed{"10.0.0.0:1", 1, {{"s", "old", 95'000}}});
  stores.Apply(CacheListed{"10.0.0.1:1", 1, {}});
  for (int i = 0; i < 40; ++i) {
    STRCMP_EQUAL(
        "10.0.0.1:1",
        std::string(stores.Reserve("s", std::to_string(i), 16, now)).c_str());
  }
}

// Guards against saves without room, and against a second save of a part while
// the first one is pending.
TEST(ForwardingStructures, SavesWhereThereIsRoomAndOnlyOnce) {
  CacheStores stores = MakeStores(1'000);
  CHECK_FALSE(stores.Reserve("s", "p", 500, now).empty());
  CHECK(stores.Reserve("s", "p", 500, now + 1s).empty());
  stores.Apply(CacheChanged{"10.0.0.9:1", 7, {{true, {"s", "p", 500}}}});
  CHECK(stores.Reserve("s", "q", 600, now).empty());
  stores.Apply(CacheChanged{"10.0.0.9:1", 7, {{false, {"s", "p", 500}}}});
  CHECK_FALSE(stores.Reserve("s", "q", 600, now).empty());
}

// Guards against freeing parts that engines may still fetch.
TEST(ForwardingStructures, OnlyPartsOfOutdatedWeightsAreFreed) {
  CacheStores stores = MakeStores(10'000);
  const auto part = [](const char* model, std::uint64_t version,
                       const char* scope) {
    return CacheChange{true,
                       {CacheSalt{model, version, scope}.ToString(), "p", 100}};
  };
  stores.Apply(CacheChanged{"10.0.0.9:1",
                            7,
                            {part("m", 1, ""),
                             part("m", 1, "w"),
                             part("m", 12, ""),
                             part("m2", 1, ""),
                             part("m", 13, "/1/1:m/"),
                             {true, {"unknown", "p", 100}}}});
  const auto& store = stores.All().begin()->second;
  CacheUseWindow use;
  const auto outdated_count = [&](MonotonicTime at) {
    return stores.OutdatedParts(store, use, at, 10).size();
  };
  // Without a newer published version, nothing is freed.
  UNSIGNED_LONGS_EQUAL(0, outdated_count(now + 1h));
  use.OnPublished("m", 1, now);
  UNSIGNED_LONGS_EQUAL(0, outdated_count(now + 1h));
  use.OnPublished("m", 12, now);
  constexpr jasminehatch::Duration kLastUse =
      CacheUseWindow::kUseTime + CacheUseWindow::kFetchTimeout;
  UNSIGNED_LONGS_EQUAL(0, outdated_count(now + kLastUse - 1ms));
  UNSIGNED_LONGS_EQUAL(2, outdated_count(now + kLastUse));
}

// Guards against a report of a peer that makes a version look younger, or its
// age better known, than it is.
TEST(ForwardingStructures, PublicationAgesOnlyIncrease) {
  UpstreamDirectory upstreams;
  upstreams.OnPublicationAge({"m", 2, 9s, true}, now);
  CHECK(upstreams.PublicationAges(now, 5s, 10s).empty());
  upstreams.OnWeightsPublished({"m", 2, false}, now);
  upstreams.OnWeightsPublished({"m", 4, true}, now + 1s);
  upstreams.OnPublicationAge({"m", 5, 9s, true}, now + 1s);
  using Ages = std::vector<PublicationAge>;
  CHECK((Ages{{"m", 4, 0s, true}, {"m", 2, 1s, false}}) ==
        upstreams.PublicationAges(now + 1s, 5s, 10s));
  upstreams.OnPublicationAge({"m", 2, 500ms, false}, now + 1s);
  upstreams.OnPublicationAge({"m", 3, 2s, false}, now + 1s);
  CHECK((Ages{{"m", 4, 0s, true}, {"m", 3, 2s, false}, {"m", 2, 2s, false}}) ==
        upstreams.PublicationAges(now + 1s, 5s, 10s));
  upstreams.OnPublicationAge({"m", 2, 3s, true}, now + 1s);
  upstreams.OnPublicationAge({"m", 3, 6s, false}, now + 1s);
  CHECK((Ages{{"m", 4, 0s, true}, {"m", 3, 6s, false}}) ==
        upstreams.PublicationAges(now + 1s, 5s, 10s));
  CHECK((Ages{{"m", 4, 0s, true}, {"m", 3, 6s, false}, {"m", 2, 6s, true}}) ==
        upstreams.PublicationAges(now + 1s, 10s, 10s));
  CHECK(upstreams.PublicationAges(now + 11s, 5s, 10s).empty());
}

// Guards against counting daemons without a report as idle.
TEST(ForwardingStructures, LoadOfDaemonsWithoutReportsIsEstimated) {
  FleetLoad fleet;
  fleet.SetPeerCount(10);
  for (const char* peer : {"p1", "p2"}) {
    fleet.Apply(PeerLoadReceived{peer, {{5, 2, 1'000}}, ""}, now);
  }
  UNSIGNED_LONGS_EQUAL(20, fleet.LoadOf(5, now).in_flight);
  UNSIGNED_LONGS_EQUAL(10'000, fleet.LoadOf(5, now).tokens);
  CHECK_FALSE(fleet.HasRecentReports(now + 5s));
  UNSIGNED_LONGS_EQUAL(0, fleet.LoadOf(5, now + 5s).in_flight);
}

// Guards against underestimating the load in a fleet of many zones (by half if
// daemons of other zones send individual reports, but rarely).
TEST(ForwardingStructures, OtherZonesSendOneReport) {
  FleetLoad fleet;
  fleet.SetPeerCount(2);
  fleet.Apply(PeerLoadReceived{"near-1", {{5, 2, 1'000}}, ""}, now);
  fleet.Apply(PeerLoadReceived{"near-2", {{5, 2, 1'000}}, ""}, now);
  fleet.Apply(PeerLoadReceived{"far-1", {{5, 40, 20'000}}, "b"}, now);
  fleet.Apply(PeerLoadReceived{"far-2", {{5, 50, 30'000}}, "b"}, now + 10ms);
  fleet.Apply(PeerLoadReceived{"far-3", {{5, 7, 7'000}}, "c"}, now + 10ms);
  // The latest report of a zone replaces the previous one.
  UNSIGNED_LONGS_EQUAL(4 + 50 + 7, fleet.LoadOf(5, now + 10ms).in_flight);
  UNSIGNED_LONGS_EQUAL(39'000, fleet.LoadOf(5, now + 10ms).tokens);
  // The report of a zone is valid for more than a second.
  UNSIGNED_LONGS_EQUAL(50 + 7, fleet.LoadOf(5, now + 1200ms).in_flight);
  CHECK_FALSE(fleet.HasRecentReports(now + 3s));
  fleet.Apply(PeerLoadReceived{"near-1", {{5, 2, 1'000}}, ""}, now + 3s);
  fleet.Apply(PeerLoadReceived{"near-2", {{5, 2, 1'000}}, ""}, now + 3s);
  // The report for this daemon's zone excludes the other zones.
  const std::vector<UpstreamLoad> own{{5, 1, 100}, {6, 3, 300}};
  std::uint32_t in_flight = 0;
  for (const UpstreamLoad& share : fleet.ZoneLoads(own, now + 3s)) {
    in_flight += share.in_flight;
  }
  UNSIGNED_LONGS_EQUAL(4 + 1 + 3, in_flight);
}

// Guards against a restarted upstream that keeps the state from before the
// restart.
TEST(ForwardingStructures, ARestartDiscardsEarlierState) {
  UpstreamDirectory directory;
  UpstreamEntry entry;
  entry.id = "u";
  entry.service = "s";
  entry.started_at = 1;
  entry.weights["m"] = 3;
  directory.Register(entry, now);
  Options options;
  directory.Find("u")->RecordFailure(true, now, options);
  entry.weights["m"] = 2;
  directory.Register(entry, now);
  UNSIGNED_LONGS_EQUAL(3, directory.Find("u")->WeightVersion("m"));
  entry.started_at = 2;
  directory.Register(entry, now);
  UNSIGNED_LONGS_EQUAL(2, directory.Find("u")->WeightVersion("m"));
  CHECK_FALSE(directory.Find("u")->suspended_until.has_value());
  UNSIGNED_LONGS_EQUAL(1, directory.OfService("s").size());
}
