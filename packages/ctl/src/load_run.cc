#include "jasminehatch/detail/ctl/load_run.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <random>
#include <utility>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/http/http_client.h"

namespace jasminehatch::ctl {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kProgressInterval{1};

double Milliseconds(Clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// One prompt in progress.
struct Prompt {
  std::string priority;
  std::uint64_t context = 0;
  bool returning = false;
  std::string messages;
  Clock::time_point due;
  std::optional<Clock::time_point> last_token;
  codec::SseParser parser;
  std::string text;
  std::string error;
  std::uint32_t tokens = 0;
  bool ended = false;
};

std::string RefusalCode(std::string_view body) {
  const json document = json::parse(body, nullptr, false);
  return document.is_object() && document.contains("error") &&
                 document["error"].is_object()
             ? document["error"].value("code", "no code")
             : "no code";
}

}  // namespace

class LoadRun::Impl {
 public:
  Impl(LoadOptions options, std::ostream& progress, ResponseCheck check)
      : m_options(std::move(options)),
        m_progress(progress),
        m_check(std::move(check)),
        m_random(m_options.seed) {}

  LoadReport Run() {
    m_start = Clock::now();
    m_end = m_start + m_options.duration;
    m_next_arrival = m_start;
    SendDueArrivals();
    ShowProgress();
    while (m_arriving || m_in_progress > 0) {
      m_loop.run_one();
    }
    return std::move(m_report);
  }

 private:
  /// Sends all requests that are due, then waits for the next arrival.
  void SendDueArrivals() {
    while (m_next_arrival <= Clock::now() && m_next_arrival < m_end) {
      if (!m_options.service.empty() && Chance(m_options.booking_share)) {
        SendBooking(m_next_arrival);
      } else {
        SendPrompt(m_next_arrival);
      }
      m_next_arrival += std::chrono::nanoseconds(
          static_cast<std::int64_t>(1e9 / m_options.rate));
    }
    if (m_next_arrival >= m_end) {
      m_arriving = false;
      return;
    }
    m_timer.expires_at(m_next_arrival);
    m_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        SendDueArrivals();
      }
    });
  }

  void SendPrompt(Clock::time_point due) {
    auto prompt = std::make_shared<Prompt>();
    prompt->due = due;
    const double draw = DrawUniform();
    prompt->priority = draw < m_options.batch_share ? "batch"
                       : draw < m_options.batch_share + m_options.standard_share
                           ? "standard"
                           : "interactive";
    if (!m_returns.empty() && m_returns.front().first <= due) {
      prompt->context = m_returns.front().second;
      prompt->returning = true;
      m_returns.pop_front();
    } else {
      prompt->context = m_next_context++;
    }
    const json messages = {
        {{"role", "system"}, {"content", MakeContext(prompt->context)}},
        {{"role", "user"},
         {"content", "Question " + std::to_string(m_next_question++)}}};
    prompt->messages = messages.dump();
    net::HttpCall call = MakeCall("/v1/chat/completions");
    call.body = json{{"model", m_options.model},
                     {"messages", messages},
                     {"stream", true},
                     {"stream_options", {{"include_usage", true}}},
                     {"priority", prompt->priority},
                     {"max_tokens", m_options.tokens}}
                    .dump();
    ++Results(*prompt).sent;
    ++m_in_progress;
    m_client.Start(
        std::move(call),
        [this, prompt](const net::HttpResult& result) {
          --m_in_progress;
          OnPromptEnd(*prompt, result);
        },
        [this, prompt](std::string_view data) {
          prompt->parser.Feed(
              data, [&](std::string_view event) { OnEvent(*prompt, event); });
        });
  }

  void OnEvent(Prompt& prompt, std::string_view event) {
    if (event == codec::kStreamEnd) {
      prompt.ended = true;
      return;
    }
    if (event.substr(0, 9) == R"({"error":)") {
      prompt.error = RefusalCode(event);
      return;
    }
    const codec::EngineChunk chunk = codec::EngineChunk::Parse(event, true);
    LoadReport::Class& results = Results(prompt);
    if (chunk.usage) {
      results.prompt_tokens += chunk.usage->prompt_tokens;
      results.cached_tokens += chunk.usage->cached_tokens;
    }
    if (chunk.text.empty()) {
      return;
    }
    const auto now = Clock::now();
    if (prompt.last_token) {
      results.token_gap_ms.push_back(Milliseconds(now - *prompt.last_token));
    } else {
      results.first_token_ms.push_back(Milliseconds(now - prompt.due));
    }
    prompt.last_token = now;
    prompt.text += chunk.text;
    ++prompt.tokens;
  }

  void OnPromptEnd(const Prompt& prompt, const net::HttpResult& result) {
    LoadReport::Class& results = Results(prompt);
    if (result.kind != net::HttpResult::Kind::kComplete) {
      ++results.cut_off;
      return;
    }
    if (result.status != 200 || !prompt.error.empty()) {
      ++results.refusals[prompt.error.empty() ? RefusalCode(result.body)
                                              : prompt.error];
      return;
    }
    if (!prompt.ended) {
      ++results.cut_off;
      return;
    }
    const bool correct =
        prompt.tokens > 0 && prompt.tokens <= m_options.tokens &&
        (!m_check || m_check(prompt.messages, m_options.tokens, prompt.text));
    ++(correct ? results.correct : results.wrong);
    const auto now = Clock::now();
    results.total_ms.push_back(Milliseconds(now - prompt.due));
    if (!prompt.returning && Chance(m_options.return_share)) {
      m_returns.emplace_back(now + m_options.return_gap, prompt.context);
    }
  }

  void SendBooking(Clock::time_point due) {
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::string key = std::to_string(now.count()) + "-" +
                            std::to_string(m_run_id) + "." +
                            std::to_string(m_next_booking++);
    net::HttpCall call =
        MakeCall("/services/" + m_options.service + "/bookings");
    call.headers.push_back({"Idempotency-Key", key});
    call.body = json{{"key", key}}.dump();
    call.fresh_connection = true;
    ++m_report.classes["booking"].sent;
    ++m_in_progress;
    m_client.Start(std::move(call), [this, due](const net::HttpResult& result) {
      --m_in_progress;
      LoadReport::Class& results = m_report.classes["booking"];
      if (result.kind != net::HttpResult::Kind::kComplete) {
        ++results.cut_off;
      } else if (net::FindHeader(result.headers, "X-Verdict") == "ran") {
        ++results.correct;
        results.total_ms.push_back(Milliseconds(Clock::now() - due));
      } else {
        ++results.refusals[RefusalCode(result.body)];
      }
    });
  }

  net::HttpCall MakeCall(const std::string& path) {
    net::HttpCall call;
    call.method = "POST";
    call.url =
        m_options.daemons[m_next_daemon++ % m_options.daemons.size()] + path;
    call.headers = {{"Authorization", "Bearer " + m_options.key},
                    {"Content-Type", "application/json"}};
    call.total_timeout = m_options.call_timeout;
    return call;
  }

  std::string MakeContext(std::uint64_t id) const {
    const std::string line = "run " + std::to_string(m_run_id) + " context " +
                             std::to_string(id) + "\n";
    std::string text;
    text.reserve(m_options.context_bytes + line.size());
    while (text.size() < m_options.context_bytes) {
      text += line;
    }
    return text;
  }

  void ShowProgress() {
    std::uint64_t correct = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    for (const auto& [name, results] : m_report.classes) {
      correct += results.correct;
      failed += results.wrong + results.cut_off;
      for (const auto& [code, count] : results.refusals) {
        refused += count;
      }
    }
    m_progress << static_cast<int>(Milliseconds(Clock::now() - m_start) / 1000)
               << " s: in progress " << m_in_progress << ", answered "
               << correct << ", refused " << refused << ", wrong or cut off "
               << failed << std::endl;
    m_progress_timer.expires_after(kProgressInterval);
    m_progress_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        ShowProgress();
      }
    });
  }

  LoadReport::Class& Results(const Prompt& prompt) {
    return m_report
        .classes[prompt.priority + (prompt.returning ? " returning" : " new")];
  }

  double DrawUniform() {
    return std::uniform_real_distribution<>(0, 1)(m_random);
  }
  bool Chance(double share) { return DrawUniform() < share; }

  LoadOptions m_options;
  std::ostream& m_progress;
  ResponseCheck m_check;
  std::mt19937_64 m_random;
  /// Differs from run to run, so that contexts and keys do too.
  std::uint64_t m_run_id =
      std::random_device{}() ^ (std::uint64_t{std::random_device{}()} << 32U);
  asio::io_context m_loop{1};
  net::HttpClient m_client{m_loop};
  asio::steady_timer m_timer{m_loop};
  asio::steady_timer m_progress_timer{m_loop};
  Clock::time_point m_start;
  Clock::time_point m_end;
  Clock::time_point m_next_arrival;
  std::deque<std::pair<Clock::time_point, std::uint64_t>> m_returns;
  LoadReport m_report;
  std::uint64_t m_in_progress = 0;
  std::uint64_t m_next_context = 0;
  std::uint64_t m_next_question = 0;
  std::uint64_t m_next_booking = 0;
  std::uint64_t m_next_daemon = 0;
  bool m_arriving = true;
};

LoadRun::LoadRun(LoadOptions options,
                 std::ostream& progress,
                 ResponseCheck check)
    : m_impl(std::make_unique<Impl>(std::move(options),
                                    progress,
                                    std::move(check))) {}

LoadRun::~LoadRun() = default;

LoadReport LoadRun::Run() {
  return m_impl->Run();
}

}  // namespace jasminehatch::ctl
