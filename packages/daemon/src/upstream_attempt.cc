#include "jasminehatch/detail/daemon/upstream_attempt.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <memory>
#include <utility>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/daemon/caller.h"

namespace jasminehatch::daemon {
namespace {

using serving::AttemptResult;

constexpr int kTooManyRequests = 429;

/// Upstreams set this header when they did not run the request.
bool IsMarkedNotRun(const net::HttpResult& result) {
  return net::FindHeader(result.headers, "X-Verdict") == "not_run";
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

std::optional<Duration> ParseRetryAfter(const net::HttpResult& result) {
  const std::string_view text = net::FindHeader(result.headers, "Retry-After");
  int seconds = 0;
  for (const char c : text) {
    if (c < '0' || c > '9' || seconds > 3600) {
      return std::nullopt;
    }
    seconds = seconds * 10 + (c - '0');
  }
  return text.empty() ? std::nullopt
                      : std::optional<Duration>(std::chrono::seconds(seconds));
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(asio::io_context& loop,
                                 const Clock& clock,
                                 net::HttpClient& client,
                                 Limits limits,
                                 Callbacks callbacks)
    : m_loop(loop),
      m_clock(clock),
      m_client(client),
      m_limits(limits),
      m_callbacks(std::move(callbacks)),
      m_timer(loop) {}

UpstreamAttempt::~UpstreamAttempt() {
  if (!m_ended) {
    m_client.Cancel(m_call_id);
  }
}

void UpstreamAttempt::Start(const serving::StartAttempt& effect,
                            const Caller& caller,
                            const std::string& base_url,
                            std::string import_from) {
  m_effect = effect;
  m_import_from = std::move(import_from);
  m_last_progress_at = m_clock.Now();
  m_is_idempotent_call = caller.kind == Caller::Kind::kIdempotentCall;
  if (m_is_idempotent_call) {
    StartIdempotentCall(caller, base_url);
  } else {
    StartPrompt(caller, base_url);
  }
  ArmProgressTimer();
}

void UpstreamAttempt::Cancel() {
  m_ended = true;
  m_timer.cancel();
  m_client.Cancel(m_call_id);
}

// Upstreams of the product's own interface need not repeat the request's id, so
// that on a kept connection a response that an upstream writes once more could
// not be told from the response to the next request.
void UpstreamAttempt::StartPrompt(const Caller& caller,
                                  const std::string& base_url) {
  m_is_chat = caller.completion->chat;
  codec::EngineCallFields fields;
  fields.request_id = caller.request_id;
  fields.attempt_id = m_effect.attempt.value;
  fields.weight_version = caller.weight_version;
  fields.cache_keys = caller.cache_keys;
  fields.resume_from = m_effect.resume_from;
  fields.resume_text = m_effect.resume_text;
  fields.import_from = m_import_from;
  fields.import_blocks = m_effect.import_blocks;
  net::HttpCall call;
  call.method = "POST";
  call.url =
      base_url + (m_is_chat ? "/v1/chat/completions" : "/v1/completions");
  call.headers = {{"Content-Type", "application/json"},
                  {"X-Request-Id", caller.request_id}};
  call.body = codec::BuildEngineBody(*caller.completion, fields);
  call.fresh_connection = true;
  m_call_id = m_client.Start(
      std::move(call),
      [this](const net::HttpResult& result) { OnDone(result); },
      [this](std::string_view data) { OnData(data); });
}

void UpstreamAttempt::StartIdempotentCall(const Caller& caller,
                                          const std::string& base_url) {
  net::HttpCall call;
  call.method = caller.service_request.method;
  call.url = base_url + caller.service_path;
  if (!caller.service_request.query.empty()) {
    call.url += "?" + caller.service_request.query;
  }
  call.body = caller.service_request.body;
  call.fresh_connection = true;
  call.headers = {{"X-Request-Id", caller.request_id},
                  {"X-Workspace", caller.workspace}};
  for (const std::string_view name : {"Content-Type", "Accept"}) {
    const std::string_view value =
        net::FindHeader(caller.service_request.headers, name);
    if (!value.empty()) {
      call.headers.push_back({std::string(name), std::string(value)});
    }
  }
  m_call_id =
      m_client.Start(std::move(call),
                     [this](const net::HttpResult& result) { OnDone(result); });
}

void UpstreamAttempt::ArmProgressTimer() {
  m_timer.expires_at(m_last_progress_at + (m_first_event_received
                                               ? m_limits.idle
                                               : m_limits.first_byte));
  m_timer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](
                         const asio::error_code& error) {
    // The handler of an expired timer may run after the attempt is destroyed.
    if (error || alive.expired() || m_ended) {
      return;
    }
    if (m_clock.Now() <
        m_last_progress_at +
            (m_first_event_received ? m_limits.idle : m_limits.first_byte)) {
      ArmProgressTimer();
      return;
    }
    m_client.Cancel(m_call_id);
    End(AttemptResult::kTimedOut, "the upstream made no progress", {});
  });
}

void UpstreamAttempt::OnData(std::string_view data) {
  if (m_ended) {
    return;
  }
  try {
    m_parser.Feed(data, [this](std::string_view event) {
      if (!m_ended) {
        OnEvent(event);
      }
    });
  } catch (const CodecError& error) {
    m_client.Cancel(m_call_id);
    // This runs in a callback of the HTTP client, and `on_ended` destroys this
    // object, so it is called later.
    asio::post(m_loop, [done = m_callbacks.on_ended, request = m_effect.request,
                        attempt = m_effect.attempt,
                        detail = std::string(error.what())] {
      done({request, attempt, AttemptResult::kBroken, detail, std::nullopt},
           {});
    });
    m_ended = true;
  }
}

void UpstreamAttempt::OnEvent(std::string_view data) {
  // Only events are progress: an upstream in trouble may send other bytes
  // without end.
  m_last_progress_at = m_clock.Now();
  m_first_event_received = true;
  if (data == codec::kStreamEnd) {
    m_end_received = true;
    return;
  }
  const codec::EngineChunk chunk = codec::EngineChunk::Parse(data, m_is_chat);
  if (!chunk.finish_reason.empty() || chunk.usage) {
    m_callbacks.on_finish(chunk.finish_reason,
                          chunk.usage ? &*chunk.usage : nullptr);
  }
  if (chunk.position) {
    m_callbacks.on_chunk(
        {m_effect.request, m_effect.attempt, *chunk.position, chunk.text});
  }
}

void UpstreamAttempt::OnDone(const net::HttpResult& result) {
  if (m_ended) {
    return;
  }
  switch (result.kind) {
    case net::HttpResult::Kind::kNotSent:
      return End(AttemptResult::kNotSent, result.error, result);
    case net::HttpResult::Kind::kTimedOut:
      return End(AttemptResult::kTimedOut, result.error, result);
    case net::HttpResult::Kind::kBroken:
      return End(AttemptResult::kBroken, result.error, result);
    case net::HttpResult::Kind::kComplete:
      break;
  }
  if (IsMarkedNotRun(result) || result.status == kTooManyRequests) {
    return End(AttemptResult::kRejectedNotRun,
               "the upstream rejected the request with HTTP " +
                   std::to_string(result.status),
               result);
  }
  if (m_is_idempotent_call) {
    return End(AttemptResult::kComplete, "", result);
  }
  if (IsSuccess(result.status)) {
    return m_end_received ? End(AttemptResult::kComplete, "", result)
                          : End(AttemptResult::kBroken,
                                "the stream ended before its end mark", result);
  }
  const bool caller_error = result.status >= 400 && result.status < 500;
  End(caller_error ? AttemptResult::kInvalidRequest : AttemptResult::kBroken,
      "the upstream responded with HTTP " + std::to_string(result.status),
      result);
}

void UpstreamAttempt::End(AttemptResult result,
                          std::string detail,
                          const net::HttpResult& http) {
  m_ended = true;
  m_timer.cancel();
  // The callback destroys this object.
  const auto on_ended = std::move(m_callbacks.on_ended);
  on_ended({m_effect.request, m_effect.attempt, result, std::move(detail),
            ParseRetryAfter(http)},
           http);
}

}  // namespace jasminehatch::daemon
