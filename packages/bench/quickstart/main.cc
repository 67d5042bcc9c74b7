// Client of scripts/quickstart: sends a prompt, the same context again through
// another daemon, and one booking twice.

#include <gflags/gflags.h>
#include <jasminehatch/codec.h>
#include <jasminehatch/ctl.h>
#include <jasminehatch/emulator.h>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

DEFINE_string(first_daemon, "", "base URL of a daemon");
DEFINE_string(second_daemon, "", "base URL of another daemon");
DEFINE_string(service, "", "base URL of the emulated booking service");
DEFINE_string(key, "quickstart-key", "bearer key of the workspace");

namespace {

using namespace jasminehatch;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t kResponseTokens = 40;
/// About 40,000 tokens of context.
constexpr std::size_t kContextBytes = 160'000;
/// Pause between the two prompts, which stands for hours of use. It gives the
/// daemons time to learn which prompt prefix is cached.
constexpr std::chrono::milliseconds kPauseBetweenPrompts{500};

struct PromptResult {
  double ttft_ms = 0;
  double recomputed_share = 0;
  bool complete = false;
};

std::string MakeContext() {
  std::string text;
  for (int line = 0; text.size() < kContextBytes; ++line) {
    text += "delivery " + std::to_string(line) +
            ": two bottles, signed at the dock\n";
  }
  return text;
}

PromptResult SendPrompt(ctl::SyncClient& client,
                        const std::string& daemon,
                        const nlohmann::json& messages) {
  const nlohmann::json body = {{"model", "assistant"},
                               {"messages", messages},
                               {"stream", true},
                               {"stream_options", {{"include_usage", true}}},
                               {"max_tokens", kResponseTokens}};
  net::HttpCall call;
  call.method = "POST";
  call.url = daemon + "/v1/chat/completions";
  call.headers = {{"Authorization", "Bearer " + FLAGS_key},
                  {"Content-Type", "application/json"}};
  call.body = body.dump();
  PromptResult result;
  std::string text;
  bool ended = false;
  codec::SseParser parser;
  const auto start = Clock::now();
  const net::HttpResult http =
      client.Call(std::move(call), [&](std::string_view data) {
        parser.Feed(data, [&](std::string_view event) {
          if (event == codec::kStreamEnd) {
            ended = true;
            return;
          }
          const codec::EngineChunk chunk =
              codec::EngineChunk::Parse(event, true);
          if (text.empty() && !chunk.text.empty()) {
            result.ttft_ms =
                std::chrono::duration<double, std::milli>(Clock::now() - start)
                    .count();
          }
          text += chunk.text;
          if (chunk.usage && chunk.usage->prompt_tokens > 0) {
            result.recomputed_share =
                1.0 - static_cast<double>(chunk.usage->cached_tokens) /
                          chunk.usage->prompt_tokens;
          }
        });
      });
  result.complete =
      http.status == 200 && ended &&
      text == emulator::ResponseText(messages.dump(), "v1", kResponseTokens);
  if (!result.complete) {
    std::cerr << "HTTP " << http.status << " " << http.error << " " << http.body
              << '\n';
  }
  return result;
}

bool SendBooking(ctl::SyncClient& client,
                 const std::string& daemon,
                 const std::string& idempotency_key) {
  net::HttpCall call;
  call.method = "POST";
  call.url = daemon + "/services/orders/bookings";
  call.headers = {{"Authorization", "Bearer " + FLAGS_key},
                  {"Content-Type", "application/json"},
                  {"Idempotency-Key", idempotency_key}};
  call.body = R"({"office":"dock 4","bottles":2})";
  const net::HttpResult result = client.Call(std::move(call));
  if (result.status != 201) {
    std::cerr << "HTTP " << result.status << " " << result.error << " "
              << result.body << '\n';
  }
  return result.status == 201;
}

int Run() {
  ctl::SyncClient client;
  const std::string context = MakeContext();
  const nlohmann::json first = {
      {{"role", "system"}, {"content", context}},
      {{"role", "user"}, {"content", "Sum up the account."}}};
  const nlohmann::json second = {
      {{"role", "system"}, {"content", context}},
      {{"role", "user"}, {"content", "Is anything overdue?"}}};
  const PromptResult first_result =
      SendPrompt(client, FLAGS_first_daemon, first);
  std::this_thread::sleep_for(kPauseBetweenPrompts);
  const PromptResult returning_result =
      SendPrompt(client, FLAGS_second_daemon, second);
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  const std::string idempotency_key = std::to_string(seconds) + "-quickstart";
  const bool booked =
      SendBooking(client, FLAGS_first_daemon, idempotency_key) &&
      SendBooking(client, FLAGS_second_daemon, idempotency_key);
  net::HttpCall runs_call;
  runs_call.url = FLAGS_service + "/runs";
  const auto runs = nlohmann::json::parse(
      client.Call(std::move(runs_call)).body, nullptr, false);
  const std::uint64_t run_count =
      runs.is_object() ? runs.value(idempotency_key, std::uint64_t{0}) : 0;
  std::cout << std::fixed << std::setprecision(1)
            << "first prompt:     time to first token " << first_result.ttft_ms
            << " ms, recomputed " << first_result.recomputed_share * 100
            << "%\n"
            << "returning prompt: time to first token "
            << returning_result.ttft_ms << " ms, recomputed "
            << returning_result.recomputed_share * 100 << "%\n"
            << "bookings run: " << run_count << '\n';
  return first_result.complete && returning_result.complete && booked &&
                 run_count == 1
             ? 0
             : 1;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return Run();
}
