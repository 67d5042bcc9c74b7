// Streams that are resumed while upstreams of a service run several software
// versions, whose responses do not fit together.

#include <jasminehatch/core.h>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

#include "forwarding_fixture.h"

using namespace jasminehatch;
using namespace jasminehatch::forwarding;
using namespace std::chrono_literals;
using test::EffectsOf;
using test::ForwardingFixture;
using test::OnlyRefusal;
using test::OnlyStart;

namespace {

/// @brief A daemon with two engines of each of two software versions, named
/// after their version.
class Daemon : public ForwardingFixture {
 public:
  Daemon() {
    AddEngines("v1");
    AddEngines("v2");
    LearnSoftware();
  }

  /// Waits until streams may begin with each version that joined.
  void LearnSoftware() {
    Wait(CurrentState().options.max_registry_age);
    Confirm();
    KnowRegistry();
  }

  void AddEngines(const std::string& version) {
    AddUpstream(version + "-a", "engine", 1, version);
    AddUpstream(version + "-b", "engine", 1, version);
  }

  void RemoveEngines(const std::string& version) {
    Apply(UpstreamRemoved{version + "-a"});
    Apply(UpstreamRemoved{version + "-b"});
  }

  /// Begins a stream.
  /// @return the software version that began it
  std::string Begin() {
    const std::string upstream = OnlyStart(Send("/resume/")).upstream;
    const auto shared = EffectsOf<ShareStreamOrigins>(Answer());
    if (!shared.empty()) {
      m_shared = shared.front().origins;
    }
    return VersionOf(upstream);
  }

  /// Applies a request of a caller that resumes a stream, right after the
  /// registry was read.
  forwarding::Effects Resume(const std::string& stream) {
    KnowRegistry();
    return ResumeUnread(stream);
  }

  /// Applies the same request without a read of the registry.
  forwarding::Effects ResumeUnread(const std::string& stream) {
    Confirm();
    RequestReceived arrival = MakeArrival("/resume/", "key-a", 2s);
    arrival.request = RequestId{1000 + ++m_resumed};
    arrival.caller_id = "resuming-" + std::to_string(m_resumed);
    arrival.resume_after = "17";
    arrival.resumed_request = stream;
    return Apply(arrival);
  }

  /// @return the caller's id of the request that was sent last
  std::string NewestStream() const {
    return "request-" + std::to_string(NewestRequest().value);
  }

  static std::string VersionOf(const std::string& upstream) {
    return upstream.substr(0, 2);
  }

  /// Origins that the latest stream made this daemon share.
  std::vector<StreamOrigin> m_shared;

 private:
  std::uint64_t m_resumed = 0;
};

void CheckUnknownOrigin(const forwarding::Effects& effects) {
  CHECK(test::Is(RefusalCode::kNoUpstream, OnlyRefusal(effects)));
  CHECK(OnlyRefusal(effects).verdict == Verdict::kNotRun);
  const auto counts = EffectsOf<CountEvent>(effects);
  UNSIGNED_LONGS_EQUAL(1, counts.size());
  CHECK(counts.front().counter == Counter::kRefusedUnknownOrigin);
}

}  // namespace

TEST_GROUP(StreamResumption){};

// Guards against a response whose events come from two software versions.
TEST(StreamResumption, AResponseGoesOnAtItsSoftwareVersion) {
  Daemon daemon;
  for (int i = 0; i < 8; ++i) {
    const std::string version = daemon.Begin();
    const StartAttempt again =
        OnlyStart(daemon.End(AttemptOutcome::kBroken, "17"));
    STRCMP_EQUAL(version.c_str(), Daemon::VersionOf(again.upstream).c_str());
    daemon.Wait(1s);
    daemon.Confirm();
  }
}

// Guards against a stream without an event that is lost because no upstream of
// the same version is left.
TEST(StreamResumption, AStreamWithoutAnEventMayUseAnyVersion) {
  Daemon daemon;
  const std::string first = OnlyStart(daemon.Send("/resume/")).upstream;
  daemon.RemoveEngines(Daemon::VersionOf(first));
  const StartAttempt again = OnlyStart(daemon.End(AttemptOutcome::kBroken));
  CHECK(Daemon::VersionOf(again.upstream) != Daemon::VersionOf(first));
}

// Guards against a caller's stream that goes on at another software version, at
// the daemon where it began and at others.
TEST(StreamResumption, ACallersStreamGoesOnAtItsSoftwareVersion) {
  Daemon daemon;
  Daemon other;
  for (int i = 0; i < 8; ++i) {
    const std::string version = daemon.Begin();
    other.Apply(StreamOriginsReceived{daemon.m_shared});
    for (Daemon* resuming : {&daemon, &other}) {
      const StartAttempt again =
          OnlyStart(resuming->Resume(daemon.NewestStream()));
      STRCMP_EQUAL("17", again.resume_after.c_str());
      STRCMP_EQUAL(version.c_str(), Daemon::VersionOf(again.upstream).c_str());
    }
  }
}

// Guards against a guess: nothing in the response would show that it is wrong.
TEST(StreamResumption, AStreamOfUnknownVersionIsRefusedAtOnce) {
  Daemon daemon;
  CheckUnknownOrigin(daemon.Resume("unheard-of"));
  CheckUnknownOrigin(daemon.Resume(""));
}

// Guards against streams that cannot be resumed though there is only one
// version with which they can have begun.
TEST(StreamResumption, WithOneVersionEveryStreamIsResumed) {
  Daemon daemon;
  daemon.RemoveEngines("v2");
  CheckUnknownOrigin(daemon.Resume("unheard-of"));
  daemon.Wait(kMaxResumeTime + 1ms);
  STRCMP_EQUAL(
      "v1", Daemon::VersionOf(OnlyStart(daemon.Resume("unheard-of")).upstream)
                .c_str());
}

// Guards against a daemon that has just started and takes the only version that
// is left for the one that began a stream.
TEST(StreamResumption, AVersionOfTheRegistrysPastCounts) {
  Daemon daemon;
  daemon.RemoveEngines("v1");
  daemon.Wait(kMaxResumeTime + 1ms);
  daemon.Apply(SoftwareVersionSeen{"engine", "v0"});
  CheckUnknownOrigin(daemon.Resume("unheard-of"));
  daemon.Apply(SoftwareVersionSeen{"desk", "v0"});
  daemon.Wait(kMaxResumeTime + 1ms);
  OnlyStart(daemon.Resume("unheard-of"));
}

// Guards against a stream that is lost with all that its caller has got, since
// it counts as a new request when the engines are full.
TEST(StreamResumption, FullEnginesRefuseNewStreamsOnly) {
  Daemon daemon;
  daemon.Begin();
  const std::string stream = daemon.NewestStream();
  forwarding::Effects effects;
  do {
    effects = daemon.Send("/resume/");
  } while (EffectsOf<RefuseRequest>(effects).empty());
  CHECK(test::Is(RefusalCode::kOverloaded, OnlyRefusal(effects)));
  OnlyStart(daemon.Resume(stream));
}

// Guards against streams that no other daemon knows because they began before
// there was a second version.
TEST(StreamResumption, EarlierStreamsAreSharedOnceThereAreTwoVersions) {
  ForwardingFixture fixture;
  fixture.AddUpstream("a", "engine", 1, "v1");
  const auto begin = [&fixture] {
    OnlyStart(fixture.Send("/resume/"));
    return EffectsOf<ShareStreamOrigins>(fixture.Answer());
  };
  CHECK(begin().empty());
  CHECK(begin().empty());
  fixture.AddUpstream("b", "engine", 1, "v2");
  UNSIGNED_LONGS_EQUAL(3, begin().front().origins.size());
  UNSIGNED_LONGS_EQUAL(1, begin().front().origins.size());
}

// Guards against unbounded memory for the origins of streams, and against ones
// that are forgotten while their streams may be resumed.
TEST(StreamResumption, OriginsAreBoundedInNumberAndAge) {
  StreamOrigins origins;
  const MonotonicTime start{1h};
  for (std::uint64_t i = 0; i <= StreamOrigins::kMaxOrigins; ++i) {
    origins.RecordOfPeer({i, "engine", "v1"}, start);
  }
  CHECK(origins.Find(0) == nullptr);
  CHECK(origins.Find(1) != nullptr);
  origins.RecordOwn({1U << 20U, "engine", "v1"}, start + kMaxResumeTime);
  CHECK(origins.Find(StreamOrigins::kMaxOrigins) != nullptr);
  origins.RecordOwn({1U << 21U, "engine", "v1"}, start + kMaxResumeTime + 1ms);
  CHECK(origins.Find(StreamOrigins::kMaxOrigins) == nullptr);
  CHECK(origins.Find(1U << 20U) != nullptr);
}

// Guards against a daemon that stood still or was cut off while upstreams of a
// new version joined: it took the version that it knew for the only one.
TEST(StreamResumption, AVersionOfAnOutdatedRegistryIsNoProof) {
  Daemon daemon;
  daemon.RemoveEngines("v2");
  daemon.Wait(kMaxResumeTime + 1ms);
  CheckUnknownOrigin(daemon.ResumeUnread("unheard-of"));
  daemon.KnowRegistry();
  daemon.Wait(daemon.CurrentState().options.max_registry_age);
  OnlyStart(daemon.ResumeUnread("unheard-of"));
  daemon.Wait(1ms);
  CheckUnknownOrigin(daemon.ResumeUnread("unheard-of"));
  // The records of before arrive late, and prove nothing of the time since.
  daemon.Apply(RegistryKnown{daemon.Now() - 10s});
  CheckUnknownOrigin(daemon.ResumeUnread("unheard-of"));
  OnlyStart(daemon.Resume("unheard-of"));
}

// Guards against a daemon that has not read the registry yet.
TEST(StreamResumption, AnUnreadRegistryIsNoProof) {
  ForwardingFixture fixture;
  fixture.AddUpstream("a", "engine", 1, "v1");
  RequestReceived arrival = fixture.MakeArrival("/resume/", "key-a", 2s);
  arrival.resume_after = "17";
  CheckUnknownOrigin(fixture.Apply(arrival));
}

// Guards against streams that are lost in an outage of the store, during which
// the peers still tell of all streams that began with another version.
TEST(StreamResumption, InTouchWithItsPeersADaemonNeedsNoNewerRegistry) {
  Daemon daemon;
  daemon.RemoveEngines("v2");
  daemon.Wait(kMaxResumeTime + 1ms);
  const auto hear = [&daemon](const std::string& zone) {
    daemon.Apply(PeerHeard{"peer-" + zone, zone, false});
  };
  const auto hear_for = [&](Duration time, const std::string& zones) {
    for (Duration passed{}; passed < time; passed += 200ms) {
      daemon.Wait(200ms);
      for (const char zone : zones) {
        hear({zone});
      }
    }
  };
  hear_for(2s, "abc");
  daemon.KnowRegistry();
  hear_for(10s, "ab");
  OnlyStart(daemon.ResumeUnread("unheard-of"));
  // Cut off with the peers of its own zone.
  hear_for(2s, "a");
  CheckUnknownOrigin(daemon.ResumeUnread("unheard-of"));
  // In touch again: what was missed meanwhile is not known.
  hear_for(2s, "abc");
  CheckUnknownOrigin(daemon.ResumeUnread("unheard-of"));
  daemon.KnowRegistry();
  hear_for(10s, "abc");
  OnlyStart(daemon.ResumeUnread("unheard-of"));
  // Suspended: requests are read before the messages that have waited.
  daemon.Wait(5s);
  CheckUnknownOrigin(daemon.ResumeUnread("unheard-of"));
  hear_for(200ms, "abc");
  CheckUnknownOrigin(daemon.ResumeUnread("unheard-of"));
}

// Guards against a registry that came back from an older copy, which lacks the
// upstreams of a version that joined after it.
TEST(StreamResumption, AnOlderCopyOfTheRegistryIsNoProof) {
  Daemon daemon;
  daemon.RemoveEngines("v2");
  daemon.Wait(kMaxResumeTime + 1ms);
  daemon.KnowRegistry();
  std::vector<UpstreamEntry> entries;
  for (const auto& [id, upstream] : daemon.CurrentState().upstreams.All()) {
    entries.push_back(upstream->entry);
  }
  daemon.Apply(UpstreamsListed{entries, true});
  daemon.Wait(daemon.CurrentState().options.max_registry_age + 1ms);
  CheckUnknownOrigin(daemon.Resume("unheard-of"));
}

// Guards against a version that came and went while the daemon was out of step,
// and whose records it cannot read any more.
TEST(StreamResumption, AGapInTheRegistryCountsUntilItsStreamsAreOver) {
  const auto list = [](Daemon& daemon) {
    UpstreamsListed listed;
    for (const auto& [id, upstream] : daemon.CurrentState().upstreams.All()) {
      listed.entries.push_back(upstream->entry);
    }
    daemon.Apply(listed);
  };
  const auto remove = [](Daemon& daemon) {
    daemon.Apply(UpstreamRemoved{"never-seen"});
  };
  for (const bool by_removal : {false, true}) {
    Daemon daemon;
    daemon.RemoveEngines("v2");
    daemon.Wait(kMaxResumeTime + 1ms);
    const auto read = [&] { by_removal ? remove(daemon) : list(daemon); };
    daemon.KnowRegistry();
    daemon.Wait(1s);
    read();
    OnlyStart(daemon.Resume("unheard-of"));
    daemon.Wait(5s);
    read();
    CheckUnknownOrigin(daemon.Resume("unheard-of"));
    daemon.Wait(kMaxResumeTime);
    CheckUnknownOrigin(daemon.Resume("unheard-of"));
    daemon.Wait(1ms);
    OnlyStart(daemon.Resume("unheard-of"));
  }
}

// Guards against streams that begin with a version before the other daemons
// have read of it: one that is cut off from its peers would resume them with
// the version before.
TEST(StreamResumption, ANewVersionBeginsStreamsOnceAllKnowIt) {
  Daemon daemon;
  daemon.AddEngines("v3");
  const auto begins_at = [&daemon](const std::string& version) {
    bool begins = false;
    for (int i = 0; i < 30; ++i) {
      daemon.Confirm();
      const std::string part = "part-" + std::to_string(i);
      const std::string upstream =
          OnlyStart(daemon.SendParts({part}, "/resume/")).upstream;
      begins = begins || Daemon::VersionOf(upstream) == version;
      daemon.End(AttemptOutcome::kCompleted);
    }
    return begins;
  };
  const Duration age = daemon.CurrentState().options.max_registry_age;
  CHECK_FALSE(begins_at("v3"));
  daemon.Wait(age - 1ms);
  daemon.KnowRegistry();
  CHECK_FALSE(begins_at("v3"));
  // In an outage of the registry, the others may know less.
  daemon.Wait(age);
  CHECK_FALSE(begins_at("v3"));
  daemon.KnowRegistry();
  CHECK(begins_at("v3"));
}

// Guards against requests that are refused though upstreams of a new version
// are the only ones that can run them.
TEST(StreamResumption, ANewVersionIsUsedAtOnceIfNoOtherIsLeft) {
  Daemon daemon;
  daemon.AddEngines("v3");
  daemon.RemoveEngines("v1");
  daemon.RemoveEngines("v2");
  OnlyStart(daemon.Send("/resume/"));
}
