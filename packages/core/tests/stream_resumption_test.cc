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

  /// Applies a request of a caller that resumes a stream.
  forwarding::Effects Resume(const std::string& stream) {
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
