// Streams that callers resume at a daemon that has just started, while or after
// upstreams ran two software versions, on real sockets.

#include <jasminehatch/daemon.h>
#include <jasminehatch/emulator.h>

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "forwarder_fixture.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using daemon::test::ForwarderFixture;

namespace {

constexpr char kRegistryTopic[] = "keyed.servers";

/// Answers each request with the second event of a stream.
void AnswerResumed(ForwarderFixture& fixture) {
  fixture.SetBehaviour([](const net::HttpRequest&) {
    emulator::UpstreamEmulator::Response response;
    response.kind = emulator::UpstreamEmulator::Response::Kind::kStream;
    response.events = {"id: 2\ndata: b\n\n"};
    return response;
  });
}

/// Replaces the entry of the second upstream by one of another version.
void UpgradeSecond(ForwarderFixture& fixture) {
  std::string entry = fixture.Upstream(1).Entry("desk", false);
  const std::string version = R"("version":"v1")";
  entry.replace(entry.find(version), version.size(), R"("version":"v2")");
  fixture.Platform().PutUpstream(fixture.Upstream(1).Id(), entry);
}

/// Starts another daemon in place of the first, and resumes a stream there that
/// began elsewhere.
/// @return the status of the response
int ResumeAtNewDaemon(ForwarderFixture& fixture) {
  fixture.ReplaceDaemon("e2");
  CHECK(fixture.WaitUntilReady());
  fixture.SetCallerHeaders(
      {{"Last-Event-Id", "1"}, {"Resumes", "request-of-another-daemon"}});
  return fixture.Send("/stream/x").head.status;
}

}  // namespace

TEST_GROUP_BASE(SoftwareVersion, jasminehatch::testing::LeakDetectorOff){};

// Guards against a stream that goes on at the only version that is left, though
// it may have begun at one that has just left the registry.
TEST(SoftwareVersion, AStreamOfAVersionThatHasLeftIsNotJoined) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  AnswerResumed(fixture);
  UpgradeSecond(fixture);
  fixture.Platform().PutUpstream(fixture.Upstream(0).Id(), "");
  LONGS_EQUAL(503, ResumeAtNewDaemon(fixture));
  UNSIGNED_LONGS_EQUAL(0, fixture.RunCount());
}

// Guards against streams that are refused after the restart of a daemon though
// all upstreams ran one version, also if the store dropped its history.
TEST(SoftwareVersion, WithOneVersionANewDaemonResumesStreams) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  AnswerResumed(fixture);
  LONGS_EQUAL(200, ResumeAtNewDaemon(fixture));
  fixture.Platform().Compact(kRegistryTopic);
  LONGS_EQUAL(200, ResumeAtNewDaemon(fixture));
}

// Guards against a daemon whose reads of the registry fail while upstreams of
// another version join: it took the version that it knew for the only one.
TEST(SoftwareVersion, WithoutTheRegistryAStreamOfAnotherDaemonIsNotJoined) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  AnswerResumed(fixture);
  fixture.SetCallerHeaders({{"Last-Event-Id", "1"}, {"Resumes", "earlier"}});
  LONGS_EQUAL(200, fixture.Send("/stream/x").head.status);
  fixture.SetCallerHeaders({{"Last-Event-Id", "1"}, {"Resumes", "later"}});
  fixture.Platform().SetTopicDown(kRegistryTopic, true);
  // 0.8 of `drain_limit`, and the age of the latest read.
  bool waited = false;
  asio::steady_timer timer(fixture.Loop(), std::chrono::milliseconds(2500));
  timer.async_wait([&waited](const asio::error_code&) { waited = true; });
  CHECK(fixture.RunUntil([&waited] { return waited; }));
  const std::size_t runs = fixture.RunCount();
  LONGS_EQUAL(503, fixture.Send("/stream/x").head.status);
  UNSIGNED_LONGS_EQUAL(runs, fixture.RunCount());
  fixture.Platform().SetTopicDown(kRegistryTopic, false);
  CHECK(fixture.RunUntil(
      [&] { return fixture.Send("/stream/x").head.status == 200; }));
}
