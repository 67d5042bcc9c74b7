#include <jasminehatch/core.h>
#include <jasminehatch/testing.h>

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::testing;
using namespace std::chrono_literals;
using serving::AttemptResult;

// Guards against unintended changes of decisions: the effects of each event of
// a session are compared with recorded ones.
TEST_GROUP(ServingGolden) {
  ServingSession m_session;

  void CheckGolden(const char* name) {
    STRCMP_EQUAL("", m_session.Violation().c_str());
    STRCMP_EQUAL(
        "", CompareWithGolden(JASMINEHATCH_TEST_DATA, name, m_session.Record())
                .c_str());
  }

  void ReportAll(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      m_session.Send(Report(i));
    }
  }
};

TEST(ServingGolden, ReturningPrompt) {
  m_session.Note(
      "The second turn is sent to the upstream that has the first cached.");
  m_session.Send(Engines(3));
  ReportAll(3);
  auto prompt = Prompt(1);
  prompt.prompt_tokens = 4000;
  prompt.keys = {NumberedDigest(101), NumberedDigest(102)};
  m_session.Send(prompt);
  m_session.Send(Chunk(1, 1, 0));
  m_session.Send(Ended(1, 1));
  m_session.Send(serving::CacheChanged{
      UpstreamId{0}, {{1, prompt.keys[0], true}, {2, prompt.keys[1], true}}});
  m_session.Advance(1h);
  m_session.Note("Another prompt puts a slight load on the upstream.");
  m_session.Send(Prompt(2));
  prompt.request = RequestId{3};
  prompt.prompt_tokens = 6000;
  prompt.keys.push_back(NumberedDigest(103));
  m_session.Send(prompt);
  CheckGolden("serving_returning_prompt.txt");
}

TEST(ServingGolden, BrokenStream) {
  m_session.Note("The upstream is alive: the stream is resumed there.");
  m_session.Send(Engines(2));
  ReportAll(2);
  m_session.Send(Prompt(1));
  m_session.Send(Chunk(1, 1, 0));
  m_session.Send(Chunk(1, 1, 1));
  m_session.Advance(10ms);
  m_session.Send(Ended(1, 1, AttemptResult::kBroken));
  m_session.Advance(50ms);
  m_session.Send(Report(0));
  m_session.Note("A late chunk of the broken stream is dropped.");
  m_session.Send(Chunk(1, 1, 2));
  m_session.Send(Chunk(1, 2, 2));
  m_session.Advance(10ms);
  m_session.Note("It breaks again, and the upstream is unreachable.");
  m_session.Send(Ended(1, 2, AttemptResult::kBroken));
  m_session.Advance(100ms);
  m_session.Send(serving::UpstreamUnreachable{UpstreamId{0}});
  m_session.Send(Chunk(1, 3, 3));
  m_session.Send(Ended(1, 3));
  CheckGolden("serving_broken_stream.txt");
}

TEST(ServingGolden, RetiredVersion) {
  m_session.Send(Engines(2));
  ReportAll(2);
  m_session.Send(Prompt(1));
  m_session.Send(Chunk(1, 1, 0));
  m_session.Advance(1s);
  m_session.Note("The first upstream changes its weights; its run continues.");
  m_session.Send(Report(0, 1, "v2"));
  m_session.Send(Chunk(1, 1, 1));
  m_session.Note("A broken run continues on the old version only.");
  m_session.Send(Ended(1, 1, AttemptResult::kBroken));
  m_session.Advance(1s);
  m_session.Send(Report(0, 1, "v2"));
  m_session.Send(Chunk(1, 2, 2));
  m_session.Note("New requests for either version are sent to its upstream.");
  auto prompt = Prompt(2);
  prompt.weight_version = "v2";
  m_session.Send(prompt);
  m_session.Send(Prompt(3));
  m_session.Note("No upstream has the old version any more.");
  m_session.Send(Report(1, 1, "v2"));
  m_session.Send(Prompt(4));
  m_session.Send(Ended(1, 2));
  CheckGolden("serving_retired_version.txt");
}

TEST(ServingGolden, GracefulStop) {
  m_session.Send(Engines(1, 1));
  ReportAll(1);
  m_session.Send(Prompt(1));
  m_session.Send(Prompt(2));
  m_session.Send(serving::ShutdownRequested{});
  m_session.Note("New requests are refused; the queued one still runs.");
  m_session.Send(Prompt(3));
  m_session.Send(Chunk(1, 1, 0));
  m_session.Send(Ended(1, 1));
  m_session.Send(Chunk(2, 2, 0));
  m_session.Send(Ended(2, 2));
  CheckGolden("serving_graceful_stop.txt");
}

TEST(ServingGolden, CrashingRequest) {
  m_session.Note("Requests 1 and 3 share the upstream that request 1 crashes.");
  m_session.Send(Engines(2));
  ReportAll(2);
  m_session.Send(Prompt(1));
  m_session.Send(Prompt(2));
  m_session.Send(Prompt(3));
  m_session.Advance(100ms);
  m_session.Send(Ended(1, 1, AttemptResult::kBroken));
  m_session.Send(Ended(3, 3, AttemptResult::kBroken));
  m_session.Advance(50ms);
  m_session.Send(serving::UpstreamUnreachable{UpstreamId{0}});
  m_session.Note("The first suspect waits until the other upstream is empty.");
  m_session.Send(Prompt(4));
  m_session.Send(Ended(2, 2));
  m_session.Advance(100ms);
  m_session.Send(Ended(1, 4, AttemptResult::kBroken));
  m_session.Send(Report(0, 2));
  m_session.Advance(50ms);
  m_session.Note("The second crash quarantines it; request 3 runs alone.");
  m_session.Send(Report(1, 2));
  m_session.Advance(100ms);
  const auto running = m_session.Checker().RunningAttempts();
  for (const auto& [id, attempt] : running) {
    m_session.Send(Ended(attempt.request.value, id.value));
  }
  m_session.Note("The caller sends request 1 again.");
  auto again = Prompt(5);
  again.fingerprint = NumberedDigest(1);
  m_session.Send(again);
  CheckGolden("serving_crashing_request.txt");
}

TEST(ServingGolden, LeavingUpstream) {
  m_session.Send(Engines(2));
  ReportAll(2);
  m_session.Send(Prompt(1));
  m_session.Send(Chunk(1, 1, 0));
  m_session.Note("The run in progress continues; new requests go elsewhere.");
  m_session.Send(serving::UpstreamLeaving{UpstreamId{0}});
  m_session.Send(Prompt(2));
  m_session.Send(Prompt(3));
  m_session.Send(Prompt(4));
  m_session.Send(Chunk(1, 1, 1));
  m_session.Send(Ended(1, 1));
  m_session.Note("The old process still reports; only a new one serves again.");
  m_session.Advance(1s);
  m_session.Send(Report(0, 1));
  m_session.Advance(1s);
  m_session.Send(Report(0, 2));
  CheckGolden("serving_leaving_upstream.txt");
}
