// The registry of upstreams after the platform's store came back from an older
// copy of it.

#include <jasminehatch/core.h>

#include <string>
#include <vector>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;

namespace {

/// @brief A daemon that knows the upstreams `u1` and `u2`.
struct RegistryFixture : ForwardingFixture {
  RegistryFixture() {
    AddUpstream("u1", "desk");
    AddUpstream("u2", "desk");
  }

  UpstreamEntry Entry(const std::string& id) {
    return CurrentState().upstreams.Find(id)->entry;
  }

  bool IsUsed(const std::string& id) {
    const Upstream* upstream = CurrentState().upstreams.Find(id);
    return upstream != nullptr &&
           CurrentState().upstreams.IsUsable(*upstream, Now());
  }

  void ReadOlderCopy(const std::vector<UpstreamEntry>& entries) {
    Apply(UpstreamsListed{entries, /*from_older_copy=*/true});
  }
};

}  // namespace

TEST_GROUP_BASE(RestoredRegistry, jasminehatch::testing::LeakDetectorOff){};

// Guards against requests to an upstream that left: the copy has its entry
// until it expires again.
TEST(RestoredRegistry, AProcessThatLeftIsNotUsedAgain) {
  RegistryFixture fixture;
  const UpstreamEntry left = fixture.Entry("u2");
  fixture.Apply(UpstreamRemoved{"u2"});
  fixture.ReadOlderCopy({fixture.Entry("u1"), left});
  CHECK(!fixture.IsUsed("u2"));
  // What is written after the copy tells that the process is alive.
  fixture.Apply(UpstreamRegistered{left});
  CHECK(fixture.IsUsed("u2"));
}

// Guards against an earlier process of an upstream that left, which the copy
// still has.
TEST(RestoredRegistry, AnEarlierProcessIsNotUsedAgain) {
  RegistryFixture fixture;
  const UpstreamEntry earlier = fixture.Entry("u2");
  UpstreamEntry later = earlier;
  ++later.started_at;
  fixture.Apply(UpstreamRegistered{later});
  fixture.Apply(UpstreamRemoved{"u2"});
  fixture.ReadOlderCopy({earlier, later});
  CHECK(!fixture.IsUsed("u2"));
}

// Guards against requests to an upstream that has begun to drain after the copy
// was made.
TEST(RestoredRegistry, ADrainingProcessIsNotUsedAgain) {
  RegistryFixture fixture;
  const UpstreamEntry ready = fixture.Entry("u2");
  UpstreamEntry draining = ready;
  draining.draining = true;
  fixture.Apply(UpstreamRegistered{draining});
  fixture.ReadOlderCopy({ready});
  CHECK(!fixture.IsUsed("u2"));
}

// Guards against requests to an upstream that began to drain while this daemon
// could not read: no process that drains becomes ready again.
TEST(RestoredRegistry, AProcessThatDrainsInTheCopyIsNotUsed) {
  RegistryFixture fixture;
  UpstreamEntry draining = fixture.Entry("u2");
  draining.draining = true;
  fixture.ReadOlderCopy({fixture.Entry("u1"), draining});
  CHECK(!fixture.IsUsed("u2"));
  CHECK(fixture.IsUsed("u1"));
}

// Guards against losing the upstreams that registered after the copy was made.
TEST(RestoredRegistry, ProcessesThatTheCopyLacksStayInUse) {
  RegistryFixture fixture;
  fixture.ReadOlderCopy({fixture.Entry("u1")});
  CHECK(fixture.IsUsed("u2"));
  // By the next complete list, they would have written their entries again.
  fixture.Apply(UpstreamsListed{{fixture.Entry("u1")}});
  CHECK(!fixture.IsUsed("u2"));
}

// Guards against ignoring a process that this daemon has not heard of.
TEST(RestoredRegistry, UnknownProcessesAreAdded) {
  RegistryFixture fixture;
  UpstreamEntry restarted = fixture.Entry("u2");
  fixture.Apply(UpstreamRemoved{"u2"});
  ++restarted.started_at;
  UpstreamEntry other = restarted;
  other.id = "u3";
  fixture.ReadOlderCopy({restarted, other});
  CHECK(fixture.IsUsed("u2"));
  CHECK(fixture.IsUsed("u3"));
}
