// What upstreams say about new requests: that they are leaving, or want none
// for some time.

#include <jasminehatch/core.h>

#include <chrono>
#include <string>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::RefusalCode;
using jasminehatch::Verdict;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(ForwardingNotices, jasminehatch::testing::LeakDetectorOff){};

// Guards against new requests and retries for an upstream whose response said
// that it is leaving, and against connections to it that stay open.
TEST(ForwardingNotices, SendsNothingToUpstreamsThatSaidTheyAreLeaving) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("u2", "desk");
  const StartAttempt first = OnlyStart(fixture.Send("/again/"));
  const auto effects =
      fixture.Apply(UpstreamLeaving{first.upstream, first.started_at});
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<CloseIdleConnections>(effects).size());
  // The attempt in progress is not cancelled, and its connection is closed.
  CHECK(EffectsOf<CancelAttempt>(effects).empty());
  const auto retried = fixture.End(AttemptOutcome::kErrorResponse);
  UNSIGNED_LONGS_EQUAL(1, EffectsOf<CloseIdleConnections>(retried).size());
  const std::string other = OnlyStart(retried).upstream;
  CHECK(other != first.upstream);
  for (int i = 0; i < 10; ++i) {
    STRCMP_EQUAL(other.c_str(),
                 OnlyStart(fixture.Send("/once/")).upstream.c_str());
  }
  fixture.Apply(UpstreamLeaving{other, 0});
  const RefuseRequest refusal = OnlyRefusal(fixture.Send("/once/"));
  CHECK(Is(RefusalCode::kNoUpstream, refusal));
  CHECK(refusal.verdict == Verdict::kNotRun);
}

// Guards against a registry that lags behind and makes a leaving upstream
// usable again, also after its entry was missing for a while.
TEST(ForwardingNotices, RegistryEntriesOfTheSameProcessDoNotUndoLeaving) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  const StartAttempt start = OnlyStart(fixture.Send("/once/"));
  UpstreamEntry entry = fixture.CurrentState().upstreams.Find("u1")->entry;
  const auto is_refused = [&] {
    return Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/once/")));
  };
  fixture.Apply(UpstreamLeaving{"u1", start.started_at});
  ++entry.orders_accepted;
  fixture.Apply(UpstreamRegistered{entry});
  CHECK(is_refused());
  fixture.Apply(UpstreamsListed{{entry}});
  CHECK(is_refused());
  fixture.Apply(UpstreamRemoved{"u1"});
  fixture.Apply(UpstreamRegistered{entry});
  CHECK(is_refused());
  fixture.Apply(UpstreamsListed{});
  fixture.Apply(UpstreamsListed{{entry}});
  CHECK(is_refused());
  // At another address it is still the same process.
  entry.address = "10.0.0.2:80";
  fixture.Apply(UpstreamRegistered{entry});
  CHECK(is_refused());
}

// Guards against a notice that is lost because the upstream's entry was removed
// from the registry before the response arrived.
TEST(ForwardingNotices, LeavingIsRememberedWhileTheEntryIsMissing) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  const UpstreamEntry entry =
      fixture.CurrentState().upstreams.Find("u1")->entry;
  fixture.Apply(UpstreamRemoved{"u1"});
  fixture.Apply(UpstreamLeaving{"u1", entry.started_at});
  fixture.Apply(UpstreamRegistered{entry});
  CHECK(Is(RefusalCode::kNoUpstream, OnlyRefusal(fixture.Send("/once/"))));
}

// Guards against a restarted upstream that stays excluded because its earlier
// process was leaving, or because a late response of that process says so.
TEST(ForwardingNotices, ARestartEndsLeaving) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  UpstreamEntry entry = fixture.CurrentState().upstreams.Find("u1")->entry;
  const std::uint64_t earlier_start = entry.started_at;
  fixture.Apply(UpstreamLeaving{"u1", earlier_start});
  ++entry.started_at;
  fixture.Apply(UpstreamRegistered{entry});
  OnlyStart(fixture.Send("/once/"));
  fixture.Apply(UpstreamLeaving{"u1", earlier_start});
  OnlyStart(fixture.Send("/once/"));
  fixture.Apply(UpstreamLeaving{"u1", entry.started_at});
  fixture.Apply(UpstreamRemoved{"u1"});
  ++entry.started_at;
  fixture.Apply(UpstreamRegistered{entry});
  OnlyStart(fixture.Send("/once/"));
}

// Guards against requests and retries for an upstream that asked for none, also
// when no other one is left.
TEST(ForwardingNotices, SendsNothingToUpstreamsThatAskedForAPause) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.AddUpstream("u2", "desk");
  const std::string first = OnlyStart(fixture.Send("/again/")).upstream;
  fixture.Apply(UpstreamPauseRequested{first, 0, 1s});
  const std::string other =
      OnlyStart(fixture.End(AttemptOutcome::kErrorResponse)).upstream;
  CHECK(other != first);
  fixture.Apply(UpstreamPauseRequested{other, 0, 2500ms});
  // The only upstream that is left does not ask for the same request again.
  UNSIGNED_LONGS_EQUAL(
      1, EffectsOf<DeliverResponse>(fixture.End(AttemptOutcome::kErrorResponse))
             .size());
  const RefuseRequest refusal = OnlyRefusal(fixture.Send("/once/"));
  CHECK(Is(RefusalCode::kOverloaded, refusal));
  CHECK(refusal.verdict == Verdict::kNotRun);
  CHECK(*refusal.retry_after >= 1s);
  CHECK(*refusal.retry_after <=
        1s + fixture.CurrentState().options.retry_after);
  fixture.Wait(1s - 1ms);
  OnlyRefusal(fixture.Send("/once/"));
  fixture.Wait(1ms);
  for (int i = 0; i < 10; ++i) {
    STRCMP_EQUAL(first.c_str(),
                 OnlyStart(fixture.Send("/once/")).upstream.c_str());
  }
}

// Guards against a caller that is told to return before the only upstream,
// which has just rejected its request, accepts any.
TEST(ForwardingNotices, ARejectionTellsWhenThePauseEnds) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  fixture.Send("/once/");
  fixture.Apply(UpstreamPauseRequested{"u1", 0, 4s});
  const RefuseRequest refusal =
      OnlyRefusal(fixture.End(AttemptOutcome::kNotRun));
  CHECK(refusal.verdict == Verdict::kNotRun);
  CHECK(*refusal.retry_after >= 4s);
}

// Guards against a pause that ends early because of a shorter one, of a later
// response or of the registry, and against one that lasts longer.
TEST(ForwardingNotices, APauseLastsAsLongAsRequested) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  const UpstreamEntry entry =
      fixture.CurrentState().upstreams.Find("u1")->entry;
  fixture.Send("/once/");
  fixture.Apply(UpstreamPauseRequested{"u1", 0, 2s});
  fixture.Apply(UpstreamPauseRequested{"u1", 0, 1ms});
  fixture.End(AttemptOutcome::kCompleted);
  fixture.Wait(500ms);
  fixture.Apply(UpstreamRegistered{entry});
  OnlyRefusal(fixture.Send("/once/"));
  fixture.Apply(UpstreamRemoved{"u1"});
  fixture.Apply(UpstreamRegistered{entry});
  OnlyRefusal(fixture.Send("/once/"));
  fixture.Apply(UpstreamsListed{});
  fixture.Wait(1499ms);
  fixture.Apply(UpstreamsListed{{entry}});
  OnlyRefusal(fixture.Send("/once/"));
  fixture.Wait(1ms);
  OnlyStart(fixture.Send("/once/"));
  fixture.Apply(UpstreamRemoved{"u1"});
  fixture.Apply(UpstreamPauseRequested{"u1", 0, 1s});
  fixture.Apply(UpstreamRegistered{entry});
  OnlyRefusal(fixture.Send("/once/"));
}

// Guards against a restarted upstream that is unused because its earlier
// process asked for a pause, and against ending a pause for which the new
// process asked before its registry entry was read.
TEST(ForwardingNotices, ARestartEndsAPause) {
  ForwardingFixture fixture;
  fixture.AddUpstream("u1", "desk");
  UpstreamEntry entry = fixture.CurrentState().upstreams.Find("u1")->entry;
  fixture.Apply(UpstreamPauseRequested{"u1", entry.started_at, 1min});
  ++entry.started_at;
  fixture.Wait(2s);
  fixture.Apply(UpstreamRegistered{entry});
  OnlyRefusal(fixture.Send("/once/"));
  ++entry.started_at;
  fixture.Wait(1s);
  fixture.Confirm();
  fixture.Apply(UpstreamRegistered{entry});
  OnlyStart(fixture.Send("/once/"));
}
