#include "mixed_fault_run.h"

#include <jasminehatch/codec.h>
#include <jasminehatch/emulator.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <utility>

namespace jasminehatch::test {
namespace {

using nlohmann::json;

constexpr std::string_view kKey = "mixed-fault-key";
constexpr std::size_t kEngineCount = 3;
constexpr std::size_t kDaemonCount = 3;
constexpr std::uint32_t kTokens = 24;
constexpr std::uint32_t kMaxSends = 5;
constexpr std::size_t kMaxPrintedPerKind = 20;
/// Far above the duration of any request, pauses included; a request that
/// reaches it hangs.
constexpr std::chrono::seconds kCallTimeout{60};
/// At least three complete blocks of `codec::kBlockTextBytes` (8,000) bytes.
constexpr std::size_t kContextBytes = 25'000;

}  // namespace

/// The daemon stays paused for 15% of the run, which has to be longer than the
/// claim time of 1 s.
const MixedFaultRun::Fault MixedFaultRun::kFaults[] = {
    {0.02, &MixedFaultRun::BreakStreamsAndLoseResponses},
    {0.15, &MixedFaultRun::KillEngine},
    {0.25, &MixedFaultRun::RestartEngine},
    {0.30, &MixedFaultRun::PauseDaemon},
    {0.45, &MixedFaultRun::ResumeDaemon},
    {0.50, &MixedFaultRun::StopLog},
    {0.65, &MixedFaultRun::ResumeLog},
    {0.70, &MixedFaultRun::KillDaemon},
    {0.80, &MixedFaultRun::RestartDaemon},
};

MixedFaultRun::MixedFaultRun(Options options)
    : m_options(std::move(options)), m_random(m_options.seed) {}

bool MixedFaultRun::Run() {
  StartFleet();
  m_next_arrival = std::chrono::steady_clock::now();
  SendNext();
  while (m_sent < m_options.requests || m_in_progress > 0) {
    m_loop.run_one();
  }
  CheckBookings();
  for (const char* kind :
       {"prompts answered", "bookings answered", "bookings replayed",
        "bookings refused not_run", "bookings of unknown outcome"}) {
    if (m_counts[kind] == 0) {
      AddViolation("no request ended in this way", kind);
    }
  }
  for (const auto& [kind, count] : m_counts) {
    std::cout << kind << ": " << count << '\n';
  }
  std::uint64_t violations = 0;
  for (const auto& [kind, count] : m_violations) {
    violations += count;
    std::cout << "VIOLATION " << kind << ": " << count << '\n';
  }
  std::cout << "violations: " << violations << '\n';
  return violations == 0;
}

void MixedFaultRun::StartFleet() {
  const std::string emulator = m_options.bin_dir + "/jasminehatch_emulator";
  const std::string seed = "--seed=" + std::to_string(m_options.seed);
  m_log = std::make_unique<testing::Process>(
      std::vector<std::string>{emulator, "--role=log", seed},
      m_options.work_dir + "/log.err");
  m_service = std::make_unique<testing::Process>(
      std::vector<std::string>{emulator, "--role=service", seed},
      m_options.work_dir + "/service.err");
  m_engines.resize(kEngineCount);
  config::ConfigChange change;
  change.change_id = "mixed-fault-run";
  change.author = "test";
  change.updates.push_back(
      {{"workspace", "fountain"},
       config::Fields{{"key_sha256", codec::Sha256Hex(kKey)},
                      {"models", "assistant@v1"},
                      {"services", "orders"}}});
  for (std::size_t i = 0; i < kEngineCount; ++i) {
    StartEngine(i, 0);
    change.updates.push_back({{"upstream", "engine-" + std::to_string(i)},
                              config::Fields{{"zone", "zone-a"},
                                             {"url", m_engines[i]->Url()},
                                             {"model", "assistant"},
                                             {"weight_version", "v1"}}});
  }
  change.updates.push_back({{"upstream", "orders"},
                            config::Fields{{"zone", "zone-a"},
                                           {"url", m_service->Url()},
                                           {"service", "orders"}}});
  net::HttpCall call;
  call.method = "POST";
  call.url = m_log->Url() + "/v1/streams/config/records";
  call.body = codec::EncodeConfigChange(change);
  Call(std::move(call));
  m_daemons.resize(kDaemonCount);
  for (std::size_t i = 0; i < kDaemonCount; ++i) {
    StartDaemon(i, 0);
    AwaitReady(i);
  }
}

void MixedFaultRun::StartEngine(std::size_t index, std::uint16_t port) {
  m_engines[index] = std::make_unique<testing::Process>(
      std::vector<std::string>{
          m_options.bin_dir + "/jasminehatch_emulator", "--role=engine",
          "--seed=" + std::to_string(m_options.seed + index),
          "--port=" + std::to_string(port), "--prefill_rate=1000000"},
      m_options.work_dir + "/engine-" + std::to_string(index) + ".err");
}

void MixedFaultRun::StartDaemon(std::size_t index, std::uint16_t port) {
  const std::string name = "entry-" + std::to_string(index);
  const std::string file = m_options.work_dir + "/" + name + ".ini";
  std::ofstream(file) << "[daemon]\nname = " << name
                      << "\nzone = zone-a\nport = " << port
                      << "\n[platform]\nlog_url = " << m_log->Url()
                      << "\n[upstreams]\nload_interval = 50ms\n"
                         "[routing]\nretry_share = 1\n"
                         "[bookings]\nclaim_time = 1s\noutcome_wait = 1s\n";
  m_daemons[index].process = std::make_unique<testing::Process>(
      std::vector<std::string>{m_options.bin_dir + "/jasminehatchd",
                               "--settings", file},
      m_options.work_dir + "/" + name + ".err");
}

void MixedFaultRun::AwaitReady(std::size_t daemon) {
  while (Call(MakeCall(daemon, "/readyz")).status != 200) {
    m_timer.expires_after(std::chrono::milliseconds(20));
    m_timer.wait();
  }
}

void MixedFaultRun::SetFaults(const std::string& url, const json& faults) {
  net::HttpCall call;
  call.method = "POST";
  call.url = url + "/admin/faults";
  call.body = faults.dump();
  ++m_in_progress;
  m_client.Start(std::move(call), [this](const net::HttpResult& result) {
    --m_in_progress;
    if (result.status != 200) {
      AddViolation("a fault could not be set", result.error);
    }
  });
}

void MixedFaultRun::BreakStreamsAndLoseResponses() {
  for (const auto& engine : m_engines) {
    SetFaults(engine->Url(), {{"break_share", 0.2}, {"drop_events", 0.1}});
  }
  SetFaults(m_log->Url(), {{"lose_answers", 0.2}});
  SetFaults(m_service->Url(), {{"lose_answers", 0.1}, {"refuse", 0.1}});
}

void MixedFaultRun::KillEngine() {
  m_engines[0]->Kill();
}

void MixedFaultRun::RestartEngine() {
  StartEngine(0, m_engines[0]->Port());
  SetFaults(m_engines[0]->Url(), {{"break_share", 0.2}});
}

void MixedFaultRun::PauseDaemon() {
  m_daemons[1].process->Signal(SIGSTOP);
}

void MixedFaultRun::ResumeDaemon() {
  m_daemons[1].process->Signal(SIGCONT);
}

void MixedFaultRun::StopLog() {
  SetFaults(m_log->Url(), {{"outage", true}});
}

void MixedFaultRun::ResumeLog() {
  SetFaults(m_log->Url(), {{"outage", false}});
}

void MixedFaultRun::KillDaemon() {
  ++m_daemons[0].kills;
  m_daemons[0].process->Kill();
}

void MixedFaultRun::RestartDaemon() {
  StartDaemon(0, m_daemons[0].process->Port());
}

void MixedFaultRun::SendNext() {
  while (m_next_fault < std::size(kFaults) &&
         static_cast<double>(m_sent) >=
             kFaults[m_next_fault].at *
                 static_cast<double>(m_options.requests)) {
    (this->*kFaults[m_next_fault++].inject)();
  }
  if (m_sent == m_options.requests) {
    return;
  }
  ++m_sent;
  if (Chance(0.3)) {
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::system_clock::now().time_since_epoch());
    SendBooking(std::to_string(now.count()) + "-" + std::to_string(m_sent));
  } else {
    SendPrompt();
  }
  m_next_arrival += std::chrono::microseconds(
      static_cast<std::int64_t>(1e6 / m_options.rate));
  m_timer.expires_at(m_next_arrival);
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      SendNext();
    }
  });
}

void MixedFaultRun::SendPrompt() {
  std::string context;
  if (!m_contexts.empty() && Chance(0.3)) {
    context = m_contexts[m_random() % m_contexts.size()];
    ++m_counts["returning prompts sent"];
  } else if (Chance(0.1)) {
    while (context.size() < kContextBytes) {
      context += "entry " + std::to_string(m_random()) + "\n";
    }
    m_contexts.push_back(context);
  }
  const bool stream = Chance(0.7);
  const json messages = {
      {{"role", "system"}, {"content", context}},
      {{"role", "user"}, {"content", "question " + std::to_string(m_sent)}}};
  const std::size_t daemon = ChooseDaemon();
  net::HttpCall call = MakeCall(daemon, "/v1/chat/completions");
  call.method = "POST";
  call.body = json{
      {"model", "assistant"},
      {"messages", messages},
      {"stream", stream},
      {"max_tokens",
       kTokens}}.dump();
  const std::uint64_t kills = m_daemons[daemon].kills;
  ++m_in_progress;
  m_client.Start(std::move(call), [this, stream, daemon, kills,
                                   expected = emulator::ResponseText(
                                       messages.dump(), "v1", kTokens)](
                                      const net::HttpResult& result) {
    --m_in_progress;
    OnPrompt(expected, stream, m_daemons[daemon].kills > kills, result);
  });
}

void MixedFaultRun::OnPrompt(const std::string& expected,
                             bool stream,
                             bool daemon_was_killed,
                             const net::HttpResult& result) {
  if (result.kind != net::HttpResult::Kind::kComplete) {
    ++m_counts["prompts without an answer"];
    if (!daemon_was_killed && result.kind != net::HttpResult::Kind::kNotSent) {
      AddViolation("a live daemon cut off a prompt", result.error);
    }
    return;
  }
  if (result.status != 200) {
    ++m_counts["prompts refused " + CheckRefusal(result.body)];
    return;
  }
  if (!stream) {
    const json document = json::parse(result.body, nullptr, false);
    if (document["choices"][0]["message"]["content"] != expected) {
      AddViolation("a complete response is wrong", result.body);
    }
    ++m_counts["prompts answered"];
    return;
  }
  std::string text;
  bool ended = false;
  std::string error;
  codec::SseParser parser;
  parser.Feed(result.body, [&](std::string_view event) {
    if (event == codec::kStreamEnd) {
      ended = true;
    } else if (event.find("\"error\"") != std::string_view::npos) {
      error = event;
    } else {
      text += codec::EngineChunk::Parse(event, true).text;
    }
  });
  if (ended == !error.empty()) {
    AddViolation("a stream does not have exactly one end", error);
  }
  if (ended ? text != expected : expected.compare(0, text.size(), text) != 0) {
    AddViolation("a streamed response is wrong",
                 text + " instead of " + expected);
  }
  if (ended) {
    ++m_counts["prompts answered"];
  } else {
    ++m_counts["prompts ended with an error, " + CheckRefusal(error)];
  }
}

void MixedFaultRun::SendBooking(const std::string& key) {
  ++m_bookings[key].sends;
  const std::size_t daemon = ChooseDaemon();
  net::HttpCall call = MakeCall(daemon, "/services/orders/bookings");
  call.method = "POST";
  call.headers.push_back({"Idempotency-Key", key});
  call.body = R"({"bottles":2})";
  // libcurl resends a request when a reused connection breaks, so that one send
  // could arrive twice.
  call.fresh_connection = true;
  const std::uint64_t kills = m_daemons[daemon].kills;
  ++m_in_progress;
  m_client.Start(std::move(call),
                 [this, key, daemon, kills](const net::HttpResult& result) {
                   --m_in_progress;
                   OnBooking(key, m_daemons[daemon].kills > kills, result);
                 });
}

void MixedFaultRun::OnBooking(const std::string& key,
                              bool daemon_was_killed,
                              const net::HttpResult& result) {
  Booking& booking = m_bookings[key];
  double resend_share = 0.5;
  if (result.kind != net::HttpResult::Kind::kComplete) {
    ++m_counts["bookings without an answer"];
    if (result.kind == net::HttpResult::Kind::kNotSent) {
      ++booking.not_run;
    } else if (!daemon_was_killed) {
      AddViolation("a live daemon cut off a booking", result.error);
    }
  } else if (result.status == 201) {
    const bool replayed =
        net::FindHeader(result.headers, "Idempotent-Replayed") == "true";
    ++m_counts[replayed ? "bookings replayed" : "bookings answered"];
    const json document = json::parse(result.body, nullptr, false);
    if (!document.is_object() || document.value("booked", "") != key ||
        (booking.ran && booking.response_body != result.body)) {
      AddViolation("a booking has a foreign or changed response",
                   key + ": " + result.body);
    }
    booking.ran = true;
    booking.response_body = result.body;
    resend_share = 0.3;
  } else {
    const std::string verdict = CheckRefusal(result.body);
    if (verdict == "not_run") {
      ++booking.not_run;
      ++m_counts["bookings refused not_run"];
    } else {
      ++m_counts["bookings of unknown outcome"];
    }
  }
  if (booking.sends < kMaxSends && Chance(resend_share)) {
    SendBooking(key);
  }
}

void MixedFaultRun::CheckBookings() {
  net::HttpCall call;
  call.url = m_service->Url() + "/runs";
  const json runs = json::parse(Call(std::move(call)).body);
  for (const auto& [key, booking] : m_bookings) {
    const auto count = runs.value(key, std::uint64_t{0});
    if (count > 1) {
      AddViolation("a booking ran more than once", key);
    }
    if (booking.ran && count == 0) {
      AddViolation("a booking with a response did not run", key);
    }
    if (booking.not_run == booking.sends && count > 0) {
      AddViolation("a booking ran although all its sends ended as not run",
                   key);
    }
    const net::HttpResult result = Call(MakeCall(2, "/v1/bookings/" + key));
    const json stage = json::parse(result.body, nullptr, false);
    if (stage.value("stage", "") == "done" && count != 1) {
      AddViolation("the stage is done without a run", key);
    }
    ++m_counts["stage " + stage.value("stage", "none")];
  }
  m_counts["bookings run"] = runs.size();
}

std::string MixedFaultRun::CheckRefusal(const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object() || document.size() != 1 ||
      !document.contains("error") || document["error"].size() != 5) {
    AddViolation("a refusal has the wrong shape", body);
    return "";
  }
  const json& error = document["error"];
  std::string verdict = error.value("verdict", "");
  if (error.value("code", "").empty() || error.value("number", 0) == 0 ||
      error.value("message", "").empty() ||
      error.value("request_id", "").empty() ||
      (verdict != "not_run" && verdict != "may_have_run" && verdict != "ran")) {
    AddViolation("a refusal has the wrong shape", body);
  }
  ++m_counts["refusals " + error.value("code", "")];
  return verdict;
}

net::HttpResult MixedFaultRun::Call(net::HttpCall call) {
  std::optional<net::HttpResult> result;
  call.total_timeout = kCallTimeout;
  m_client.Start(std::move(call),
                 [&result](net::HttpResult done) { result = std::move(done); });
  while (!result) {
    m_loop.run_one();
  }
  return std::move(*result);
}

net::HttpCall MixedFaultRun::MakeCall(std::size_t daemon,
                                      const std::string& path) const {
  net::HttpCall call;
  call.url = m_daemons[daemon].process->Url() + path;
  call.headers = {{"Authorization", "Bearer " + std::string(kKey)},
                  {"Content-Type", "application/json"}};
  call.total_timeout = kCallTimeout;
  return call;
}

std::size_t MixedFaultRun::ChooseDaemon() {
  return m_random() % kDaemonCount;
}

bool MixedFaultRun::Chance(double share) {
  return std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

void MixedFaultRun::AddViolation(std::string_view kind,
                                 const std::string& detail) {
  if (++m_violations[std::string(kind)] <= kMaxPrintedPerKind) {
    std::cerr << "VIOLATION " << kind << ": " << detail << '\n';
  }
}

}  // namespace jasminehatch::test
