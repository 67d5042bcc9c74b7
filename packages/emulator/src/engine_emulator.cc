#include "jasminehatch/detail/emulator/engine_emulator.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/hash/block_keys.h"
#include "jasminehatch/detail/hash/sha256.h"
#include "jasminehatch/detail/http/response_writer.h"
#include "jasminehatch/detail/json/upstream_report.h"
#include "json_response.h"

namespace jasminehatch::emulator {
namespace {

using nlohmann::json;

const net::HttpHeaders kStreamHeaders{{"Content-Type", "text/event-stream"}};

constexpr std::uint32_t kBytesPerToken = 4;
constexpr std::uint32_t kBlockTokens = codec::kBlockTextBytes / kBytesPerToken;
/// Newest cache events that are kept for `/engine/v1/events`.
constexpr std::size_t kMaxChanges = 10'000;
/// Tokens that are sent before the run yields to other work when there is no
/// pause between tokens.
constexpr std::uint32_t kTokensPerBatch = 8;

std::string TokenText(const Digest& seed, std::uint32_t position) {
  std::uint64_t mixed = position * 0x9E3779B97F4A7C15ULL;
  for (const std::uint8_t byte : seed.bytes) {
    mixed = (mixed ^ byte) * 0x100000001B3ULL;
  }
  return "t" + std::to_string(position) + "-" + std::to_string(mixed % 10'000) +
         " ";
}

Digest ResponseSeed(std::string_view prompt, std::string_view weight_version) {
  return codec::ComputeDigest({"answer", prompt, weight_version});
}

}  // namespace

std::string ResponseToken(std::string_view prompt,
                          std::string_view weight_version,
                          std::uint32_t position) {
  return TokenText(ResponseSeed(prompt, weight_version), position);
}

std::string ResponseText(std::string_view prompt,
                         std::string_view weight_version,
                         std::uint32_t count) {
  const Digest seed = ResponseSeed(prompt, weight_version);
  std::string text;
  for (std::uint32_t i = 0; i < count; ++i) {
    text += TokenText(seed, i);
  }
  return text;
}

/// One request from prefill to the last token.
struct EngineEmulator::Run {
  explicit Run(asio::io_context& loop) : timer(loop) {}

  std::string id;
  bool chat = true;
  Writer writer;
  asio::steady_timer timer;
  std::vector<BlockKey> keys;
  Digest seed;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t import_blocks = 0;
  std::uint32_t position = 0;
  std::uint32_t end = kDefaultResponseTokens;
  std::optional<std::uint32_t> break_at;
  bool decoding = false;
  bool ended = false;
};

EngineEmulator::EngineEmulator(asio::io_context& loop,
                               Options options,
                               std::function<void()> crash)
    : m_loop(loop),
      m_options(std::move(options)),
      m_crash(std::move(crash)),
      m_random(m_options.seed),
      m_server(loop,
               m_options.server,
               [this](const net::HttpRequest& request, const Writer& writer) {
                 OnRequest(request, writer);
               }) {}

EngineEmulator::~EngineEmulator() = default;

void EngineEmulator::OnRequest(const net::HttpRequest& request,
                               const Writer& writer) {
  if (request.path == "/v1/chat/completions") {
    OnCompletion(request, true, writer);
  } else if (request.path == "/v1/completions") {
    OnCompletion(request, false, writer);
  } else if (request.path == "/engine/v1/load") {
    writer->Send(200, kJsonHeaders, codec::BuildLoadReport(CurrentLoad()));
  } else if (request.path == "/engine/v1/events") {
    SendEvents(request, writer);
  } else if (request.path == "/engine/v1/cache") {
    writer->Send(
        200, kJsonHeaders,
        codec::BuildCacheListing(
            {UpstreamId{}, m_sequence, {m_cache.begin(), m_cache.end()}}));
  } else if (request.path == "/engine/v1/cancel") {
    OnCancel(request.body, writer);
  } else if (request.path == "/engine/v1/orders") {
    OnOrder(request.body, writer);
  } else if (request.path == "/admin/faults") {
    OnFaults(request.body, writer);
  } else {
    writer->Send(404, kJsonHeaders, R"({"error":"unknown path"})");
  }
}

void EngineEmulator::OnCompletion(const net::HttpRequest& request,
                                  bool chat,
                                  const Writer& writer) {
  const json body = json::parse(request.body, nullptr, false);
  const char* content = chat ? "messages" : "prompt";
  if (!body.is_object() || !body.contains(content)) {
    writer->Send(400, kJsonHeaders, R"({"error":"no prompt"})");
    return;
  }
  if (m_faults.draining || !m_loading.empty() ||
      body.value("weight_version", m_options.weight_version) !=
          m_options.weight_version) {
    writer->Send(
        503, {{"Content-Type", "application/json"}, {"X-Verdict", "not_run"}},
        R"({"error":"not serving"})");
    return;
  }
  ++m_started_runs;
  const std::string prompt = body[content].dump();
  if (!m_options.crash_text.empty() &&
      prompt.find(m_options.crash_text) != std::string::npos) {
    m_crash();
    return;
  }
  auto run = std::make_shared<Run>(m_loop);
  run->id =
      body.value("request_id", "") + "/" +
      std::to_string(body.value("attempt_id", std::uint64_t{m_started_runs}));
  run->chat = chat;
  run->writer = writer;
  run->seed = ResponseSeed(prompt, m_options.weight_version);
  run->position = body.value("resume_from", 0U);
  run->end = body.value("max_tokens", kDefaultResponseTokens);
  run->prompt_tokens = static_cast<std::uint32_t>(
      (prompt.size() + body.value("resume_text", "").size()) / kBytesPerToken);
  if (body.contains("import_from")) {
    run->import_blocks = body.value("import_blocks", 0U);
  }
  for (const json& key : body.value("cache_keys", json::array())) {
    run->keys.push_back(codec::ParseDigest(key.get<std::string>()));
  }
  if (std::uniform_real_distribution<>(0, 1)(m_random) < m_faults.break_share &&
      run->end > run->position) {
    run->break_at = std::uniform_int_distribution<std::uint32_t>(
        run->position, run->end - 1)(m_random);
  }
  writer->SetClosedCallback([this, weak = std::weak_ptr<Run>(run)] {
    if (const auto closed = weak.lock()) {
      CancelRun(closed);
    }
  });
  m_runs.insert_or_assign(run->id, run);
  m_prefill_queue.push_back(std::move(run));
  StartNextPrefill();
}

void EngineEmulator::StartNextPrefill() {
  if (m_prefilling || m_prefill_queue.empty()) {
    return;
  }
  m_prefilling = m_prefill_queue.front();
  m_prefill_queue.pop_front();
  const std::shared_ptr<Run>& run = m_prefilling;
  std::uint32_t blocks = 0;
  while (blocks < run->keys.size() && m_cached.contains(run->keys[blocks])) {
    ++blocks;
  }
  const std::uint32_t imported =
      std::min<std::uint32_t>(run->import_blocks, run->keys.size());
  const auto import_time =
      m_options.import_time * (imported > blocks ? imported - blocks : 0);
  blocks = std::max(blocks, imported);
  run->cached_tokens = std::min(blocks * kBlockTokens, run->prompt_tokens);
  const double seconds = (run->prompt_tokens - run->cached_tokens) /
                         m_options.prefill_tokens_per_second;
  run->timer.expires_after(
      import_time +
      std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
  run->timer.async_wait([this, run](const asio::error_code& /*error*/) {
    m_prefilling.reset();
    if (!run->ended) {
      OnPrefillDone(run);
    }
    StartNextPrefill();
  });
}

void EngineEmulator::OnPrefillDone(const std::shared_ptr<Run>& run) {
  StoreBlocks(run->keys);
  m_decode_queue.push_back(run);
  StartNextDecode();
}

void EngineEmulator::StartNextDecode() {
  while (m_decoding < m_options.slots && !m_decode_queue.empty()) {
    const std::shared_ptr<Run> run = m_decode_queue.front();
    m_decode_queue.pop_front();
    if (run->ended) {
      continue;
    }
    ++m_decoding;
    run->decoding = true;
    if (run->break_at) {
      run->writer->BeginTruncatedStream(200, kStreamHeaders);
    } else {
      run->writer->BeginStream(200, kStreamHeaders);
    }
    EmitTokens(run);
  }
}

void EngineEmulator::EmitTokens(const std::shared_ptr<Run>& run) {
  const std::uint32_t batch =
      m_options.token_interval.count() == 0 ? kTokensPerBatch : 1;
  for (std::uint32_t i = 0; i < batch && !run->ended; ++i) {
    if (run->position >= run->end || run->break_at == run->position) {
      FinishRun(run);
      return;
    }
    const std::string text = TokenText(run->seed, run->position);
    std::string event = "data: {\"position\":" + std::to_string(run->position) +
                        ",\"choices\":[{\"index\":0,";
    event += run->chat ? "\"delta\":{\"content\":\"" + text + "\"}"
                       : "\"text\":\"" + text + "\"";
    ++run->position;
    run->writer->Write(event + "}]}\n\n");
  }
  if (run->ended) {
    return;
  }
  if (m_options.token_interval.count() == 0) {
    asio::post(m_loop, [this, run] { EmitTokens(run); });
    return;
  }
  run->timer.expires_after(m_options.token_interval);
  run->timer.async_wait([this, run](const asio::error_code& error) {
    if (!error && !run->ended) {
      EmitTokens(run);
    }
  });
}

void EngineEmulator::FinishRun(const std::shared_ptr<Run>& run) {
  if (!run->break_at) {
    const json usage = {
        {"prompt_tokens", run->prompt_tokens},
        {"completion_tokens", run->position},
        {"prompt_tokens_details", {{"cached_tokens", run->cached_tokens}}}};
    const json last = {
        {"choices", {{{"index", 0}, {"finish_reason", "length"}}}},
        {"usage", usage}};
    run->writer->Write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
  }
  run->ended = true;
  run->writer->End();
  m_runs.erase(run->id);
  --m_decoding;
  StartNextDecode();
}

void EngineEmulator::CancelRun(const std::shared_ptr<Run>& run) {
  if (run->ended) {
    return;
  }
  run->ended = true;
  ++m_cancelled_runs;
  std::erase(m_prefill_queue, run);
  if (m_prefilling == run) {
    run->timer.cancel();
  }
  m_runs.erase(run->id);
  if (run->decoding) {
    run->timer.cancel();
    run->writer->End();
    --m_decoding;
    StartNextDecode();
  }
}

void EngineEmulator::Stop() {
  m_server.Close();
  m_faults.draining = true;
  for (const auto& [id, run] : std::exchange(m_runs, {})) {
    run->ended = true;
    run->timer.cancel();
    if (!run->decoding) {
      run->writer->BeginTruncatedStream(200, kStreamHeaders);
    }
    run->writer->End();
  }
}

void EngineEmulator::OnCancel(const std::string& body, const Writer& writer) {
  const json document = json::parse(body, nullptr, false);
  if (document.is_object()) {
    const auto run = m_runs.find(
        document.value("request_id", "") + "/" +
        std::to_string(document.value("attempt_id", std::uint64_t{0})));
    if (run != m_runs.end()) {
      CancelRun(std::shared_ptr<Run>(run->second));
    }
  }
  writer->Send(200, kJsonHeaders, "{}");
}

void EngineEmulator::StoreBlocks(const std::vector<BlockKey>& keys) {
  for (const BlockKey& key : keys) {
    const auto cached = m_cached.find(key);
    if (cached != m_cached.end()) {
      m_cache.splice(m_cache.end(), m_cache, cached->second);
      continue;
    }
    m_cached.emplace(key, m_cache.insert(m_cache.end(), key));
    RecordChange(key, true);
    if (m_cache.size() > m_options.cache_blocks) {
      const BlockKey evicted = m_cache.front();
      m_cached.erase(evicted);
      m_cache.pop_front();
      RecordChange(evicted, false);
    }
  }
}

void EngineEmulator::RecordChange(const BlockKey& key, bool stored) {
  ++m_sequence;
  if (std::uniform_real_distribution<>(0, 1)(m_random) <
      m_faults.lost_event_share) {
    return;
  }
  m_changes.push_back({m_sequence, key, stored});
  if (m_changes.size() > kMaxChanges) {
    m_changes.pop_front();
  }
}

void EngineEmulator::SendEvents(const net::HttpRequest& request,
                                const Writer& writer) const {
  const std::string_view after_text =
      net::FindQueryParameter(request.query, "after");
  std::uint64_t after = 0;
  std::from_chars(after_text.data(), after_text.data() + after_text.size(),
                  after);
  const auto first = std::upper_bound(
      m_changes.begin(), m_changes.end(), after,
      [](std::uint64_t sequence, const serving::CacheChange& change) {
        return sequence < change.sequence;
      });
  writer->Send(200, kJsonHeaders,
               codec::BuildCacheChanges({first, m_changes.end()}));
}

serving::LoadReported EngineEmulator::CurrentLoad() const {
  serving::LoadReported load;
  load.running = m_decoding;
  load.slots = m_options.slots;
  load.queued = static_cast<std::uint32_t>(
      m_prefill_queue.size() + m_decode_queue.size() + (m_prefilling ? 1 : 0));
  for (const auto& run : m_prefill_queue) {
    load.queued_prefill_tokens += run->prompt_tokens;
  }
  load.incarnation = m_options.incarnation;
  load.weight_version = m_options.weight_version;
  load.draining = m_faults.draining;
  load.loading = !m_loading.empty();
  load.fencing = m_fencing;
  return load;
}

void EngineEmulator::OnOrder(const std::string& body, const Writer& writer) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    writer->Send(400, kJsonHeaders, kExpectedObject);
    return;
  }
  const auto fencing = document.value("fencing", std::uint64_t{0});
  if (m_options.checks_fencing && fencing < m_fencing) {
    ++m_rejected_orders;
    writer->Send(
        409, kJsonHeaders,
        json{{"error", "stale fencing token"}, {"fencing", m_fencing}}.dump());
    return;
  }
  m_fencing = std::max(m_fencing, fencing);
  const std::string order = document.value("order", "");
  const std::string version = document.value("version", "");
  if (order == "load" && !version.empty()) {
    StartLoading(version);
  } else if (order == "drain") {
    m_faults.draining = true;
  } else if (order == "serve") {
    m_faults.draining = false;
  } else {
    writer->Send(
        400, kJsonHeaders,
        R"({"error":"order must be load (with version), drain or serve"})");
    return;
  }
  writer->Send(200, kJsonHeaders, "{}");
}

void EngineEmulator::StartLoading(std::string version) {
  if (version == m_loading ||
      (m_loading.empty() && version == m_options.weight_version)) {
    return;
  }
  m_loading = std::move(version);
  m_load_timer =
      std::make_unique<asio::steady_timer>(m_loop, m_options.load_time);
  m_load_timer->async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    // Runs in progress keep their version: their tokens were seeded with it.
    m_options.weight_version = std::exchange(m_loading, {});
    ClearCache();
  });
}

void EngineEmulator::ClearCache() {
  for (const BlockKey& key : m_cache) {
    RecordChange(key, false);
  }
  m_cache.clear();
  m_cached.clear();
}

void EngineEmulator::OnFaults(const std::string& body, const Writer& writer) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    writer->Send(400, kJsonHeaders, kExpectedObject);
    return;
  }
  m_faults.break_share = document.value("break_share", m_faults.break_share);
  m_faults.lost_event_share =
      document.value("drop_events", m_faults.lost_event_share);
  m_faults.draining = document.value("draining", m_faults.draining);
  writer->Send(200, kJsonHeaders, "{}");
}

}  // namespace jasminehatch::emulator
