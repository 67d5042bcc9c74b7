#include "jasminehatch/detail/daemon/upstream_attempt.h"

#include <jasminehatch/codec.h>
#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "jasminehatch/detail/daemon/caller.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using daemon::Caller;
using daemon::UpstreamAttempt;
using emulator::ScriptedServer;
using serving::AttemptResult;

namespace {

constexpr std::chrono::seconds kTimeout{20};

constexpr char kRefusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: first\r\n"
    "X-Verdict: not_run\r\nContent-Length: 0\r\n\r\n";

/// Makes one attempt of a call or of a prompt and returns its result.
AttemptResult Attempt(asio::io_context& loop,
                      net::HttpClient& client,
                      const std::string& address,
                      Caller::Kind kind) {
  const net::SystemClock clock;
  std::optional<AttemptResult> result;
  UpstreamAttempt::Callbacks callbacks;
  callbacks.on_ended = [&](const serving::AttemptEnded& ended,
                           const net::HttpResult&) { result = ended.result; };
  callbacks.on_finish = [](std::string_view, const codec::Usage*) {};
  callbacks.on_chunk = [](const serving::AttemptChunk&) {};
  UpstreamAttempt attempt(loop, clock, client, {kTimeout, kTimeout},
                          std::move(callbacks));
  Caller caller;
  caller.kind = kind;
  caller.request_id = "second";
  caller.service_path = "/slots";
  caller.service_request.method = "GET";
  caller.completion = std::make_shared<codec::CompletionRequest>();
  attempt.Start({}, caller, "http://" + address, "");
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!result && std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(5));
  }
  CHECK_TRUE_TEXT(result.has_value(), "the attempt did not end");
  return *result;
}

}  // namespace

TEST_GROUP_BASE(UpstreamAttempt, jasminehatch::testing::LeakDetectorOff){};

// Guards against a refusal that an upstream writes once more on a kept
// connection and that callers get as "not run" for a later request that runs.
TEST(UpstreamAttempt, ARepeatedRefusalDoesNotRefuseTheNextRequest) {
  for (const Caller::Kind kind :
       {Caller::Kind::kIdempotentCall, Caller::Kind::kPrompt}) {
    asio::io_context loop;
    ScriptedServer server(loop, [](const ScriptedServer::Request& request) {
      const bool refused = request.connection == 0;
      return ScriptedServer::Reply{
          (refused ? kRefusal : std::string()) +
          (request.connection + request.on_connection > 0
               ? "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                 "Content-Length: 14\r\n\r\ndata: [DONE]\n\n"
               : "")};
    });
    net::HttpClient client(loop);
    CHECK(Attempt(loop, client, server.Address(), kind) ==
          AttemptResult::kRejectedNotRun);
    CHECK(Attempt(loop, client, server.Address(), kind) ==
          AttemptResult::kComplete);
  }
}
