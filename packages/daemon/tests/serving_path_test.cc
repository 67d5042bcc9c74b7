#include "fleet.h"

#include <array>
#include <cstddef>

using namespace jasminehatch;
using namespace jasminehatch::daemon::test;

namespace {

/// Allows so many attempts and retries that only a lost part of a response can
/// make a test fail.
void AllowManyRetries(codec::DaemonSettings& settings) {
  settings.serving.max_attempts = 100;
  settings.serving.retry_share = 1;
  settings.serving.retry_burst = 1e6;
  settings.serving.retry_backoff = std::chrono::milliseconds(1);
  settings.serving.crash_limit = 1'000'000;
}

void CheckStreamIsComplete(const net::HttpResult& result,
                           const std::string& text,
                           std::uint32_t tokens) {
  LONGS_EQUAL(200, result.status);
  const StreamedResponse streamed = ReadStream(result.body, true);
  STRCMP_EQUAL("", streamed.error_code.c_str());
  CHECK(streamed.ended);
  STRCMP_EQUAL(Fleet::ExpectedText(text, tokens).c_str(),
               streamed.text.c_str());
}

}  // namespace

TEST_GROUP_BASE(ServingPath, FleetTest){};

// Guards against parts of a response that are lost, duplicated or reordered,
// with and without streaming, in both interfaces.
TEST(ServingPath, AllKindsOfResponsesAreComplete) {
  struct Row {
    bool chat;
    bool stream;
  };
  constexpr std::array kRows{Row{true, true}, Row{true, false},
                             Row{false, true}, Row{false, false}};
  Fleet fleet;
  fleet.AwaitReady();
  for (const Row& row : kRows) {
    nlohmann::json body = {
        {"model", "assistant"}, {"stream", row.stream}, {"max_tokens", 20}};
    const nlohmann::json messages = {{{"role", "user"}, {"content", "hello"}}};
    const nlohmann::json prompt = "hello";
    body[row.chat ? "messages" : "prompt"] = row.chat ? messages : prompt;
    const auto result = fleet.Call(fleet.Request(
        "POST", row.chat ? "/v1/chat/completions" : "/v1/completions",
        body.dump()));
    LONGS_EQUAL(200, result.status);
    const std::string expected =
        emulator::ResponseText((row.chat ? messages : prompt).dump(), "v1", 20);
    if (row.stream) {
      const StreamedResponse streamed = ReadStream(result.body, row.chat);
      CHECK(streamed.ended);
      STRCMP_EQUAL(expected.c_str(), streamed.text.c_str());
      continue;
    }
    const auto document = nlohmann::json::parse(result.body);
    const auto& choice = document["choices"][0];
    const std::string text =
        row.chat ? choice["message"]["content"] : choice["text"];
    STRCMP_EQUAL(expected.c_str(), text.c_str());
    LONGS_EQUAL(20, document["usage"]["completion_tokens"].get<int>());
    STRCMP_EQUAL("length", choice["finish_reason"].get<std::string>().c_str());
  }
  LONGS_EQUAL(kRows.size(), fleet.StartedRuns());
}

// Guards against models of other workspaces in the list, against readiness
// before a configuration is in force, and against a 401 for a valid key that a
// starting daemon does not know yet.
TEST(ServingPath, IsReadyWithAConfigurationAndListsItsModels) {
  Fleet fleet;
  LONGS_EQUAL(503, fleet.Call(fleet.Request("GET", "/readyz")).status);
  LONGS_EQUAL(200, fleet.Call(fleet.Request("GET", "/livez")).status);
  const auto early = fleet.Call(fleet.Request("GET", "/v1/models"));
  LONGS_EQUAL(503, early.status);
  STRCMP_EQUAL("configuration_stale",
               ErrorOf(early)["code"].get<std::string>().c_str());
  fleet.AwaitReady();
  LONGS_EQUAL(200, fleet.Call(fleet.Request("GET", "/readyz")).status);
  const auto result = fleet.Call(fleet.Request("GET", "/v1/models"));
  LONGS_EQUAL(200, result.status);
  const auto models = nlohmann::json::parse(result.body)["data"];
  LONGS_EQUAL(1, models.size());
  STRCMP_EQUAL("assistant", models[0]["id"].get<std::string>().c_str());
  STRCMP_EQUAL("v1", models[0]["weight_version"].get<std::string>().c_str());
}

// Guards against a body in the response to HEAD, which would be read as the
// start of the next response on the connection.
TEST(ServingPath, PlainServicesTakeIdempotentMethods) {
  Fleet fleet;
  fleet.AwaitReady();
  for (const char* method : {"GET", "HEAD", "PUT", "DELETE", "HEAD", "GET"}) {
    const auto result =
        fleet.Call(fleet.Request(method, "/services/orders/slots/7?day=1"));
    CHECK(result.kind == net::HttpResult::Kind::kComplete);
    LONGS_EQUAL(200, result.status);
    if (std::string_view(method) == "HEAD") {
      STRCMP_EQUAL("", result.body.c_str());
      continue;
    }
    const auto document = nlohmann::json::parse(result.body);
    STRCMP_EQUAL(method, document["method"].get<std::string>().c_str());
    STRCMP_EQUAL("/slots/7", document["path"].get<std::string>().c_str());
  }
  CHECK(fleet.service.Runs().empty());
}

// Guards against upstream runs that continue after their caller has
// disconnected.
TEST(ServingPath, DisconnectCancelsTheUpstreamRun) {
  Fleet fleet(1, {}, std::chrono::milliseconds(5));
  fleet.AwaitReady();
  for (const bool stream : {true, false}) {
    const std::uint64_t before = fleet.CancelledRuns();
    const std::uint64_t started = fleet.StartedRuns();
    net::HttpClient::CallId id = 0;
    fleet.Start(fleet.Chat("leaves early", stream, 100'000), &id);
    fleet.RunUntil([&] { return fleet.StartedRuns() > started; });
    fleet.client.Cancel(id);
    fleet.RunUntil([&] { return fleet.CancelledRuns() == before + 1; });
  }
  LONGS_EQUAL(2, fleet.StartedRuns());
}

// Guards against truncated, duplicated or mixed responses when streams break at
// any token.
TEST(ServingPath, BrokenStreamsAreResumed) {
  Fleet fleet(1, AllowManyRetries);
  fleet.AwaitReady();
  for (const auto& engine : fleet.engines) {
    engine->SetFaults({.break_share = 0.5});
  }
  std::vector<Fleet::Pending> streams;
  streams.reserve(60);
  for (int i = 0; i < 60; ++i) {
    streams.push_back(
        fleet.Start(fleet.Chat("prompt " + std::to_string(i), true, 30)));
  }
  for (int i = 0; i < 60; ++i) {
    CheckStreamIsComplete(fleet.Wait(streams[static_cast<std::size_t>(i)]),
                          "prompt " + std::to_string(i), 30);
  }
  CHECK(fleet.daemons[0]->CurrentMetrics().Value(Counter::kRetryStreamBroken) >
        0);
}

// Guards against responses that are lost with the engine that ran them.
TEST(ServingPath, StreamsResumeWhenAnEngineStops) {
  Fleet fleet(1, AllowManyRetries, std::chrono::milliseconds(2));
  fleet.AwaitReady();
  std::vector<Fleet::Pending> streams;
  streams.reserve(20);
  for (int i = 0; i < 20; ++i) {
    streams.push_back(
        fleet.Start(fleet.Chat("prompt " + std::to_string(i), true, 60)));
  }
  fleet.RunUntil([&] {
    return fleet.StartedRuns() == 20 && fleet.engines[0]->StartedRuns() > 0;
  });
  fleet.engines[0]->Stop();
  for (int i = 0; i < 20; ++i) {
    CheckStreamIsComplete(fleet.Wait(streams[static_cast<std::size_t>(i)]),
                          "prompt " + std::to_string(i), 60);
  }
}

// Guards against streams that a planned stop aborts.
TEST(ServingPath, GracefulStopFinishesRequestsInProgress) {
  Fleet fleet(1, {}, std::chrono::milliseconds(2));
  fleet.AwaitReady();
  std::vector<Fleet::Pending> streams;
  streams.reserve(20);
  for (int i = 0; i < 20; ++i) {
    streams.push_back(
        fleet.Start(fleet.Chat("prompt " + std::to_string(i), true, 100)));
  }
  const auto booking = fleet.Start(fleet.Booking(NewKey("stop")));
  fleet.RunUntil([&] { return fleet.StartedRuns() == 20; });
  bool stopped = false;
  fleet.daemons[0]->Stop([&] { stopped = true; });
  CHECK_FALSE(fleet.daemons[0]->IsReady());
  const auto& metrics = fleet.daemons[0]->CurrentMetrics();
  while (metrics.Refusals(RefusalCode::kShuttingDown) == 0 && !stopped) {
    const auto late = fleet.Call(fleet.Chat("late", true));
    if (late.status != 200) {
      STRCMP_EQUAL("shutting_down",
                   ErrorOf(late)["code"].get<std::string>().c_str());
      STRCMP_EQUAL("not_run",
                   ErrorOf(late)["verdict"].get<std::string>().c_str());
    }
  }
  for (int i = 0; i < 20; ++i) {
    CheckStreamIsComplete(fleet.Wait(streams[static_cast<std::size_t>(i)]),
                          "prompt " + std::to_string(i), 100);
  }
  LONGS_EQUAL(201, fleet.Wait(booking).status);
  fleet.RunUntil([&] { return stopped; });
}
