#include "jasminehatch/detail/daemon/serving_executor.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/daemon/caller_table.h"
#include "jasminehatch/detail/daemon/event_sink.h"
#include "jasminehatch/detail/daemon/format_request_id.h"
#include "jasminehatch/detail/daemon/upstream_attempt.h"
#include "jasminehatch/detail/http/response_writer.h"
#include "jasminehatch/detail/reducer/state.h"
#include "jasminehatch/detail/settings/daemon_settings.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {

ServingExecutor::ServingExecutor(const Context& context) : m_context(context) {}

ServingExecutor::~ServingExecutor() = default;

void ServingExecutor::Execute(const serving::Effect& effect) {
  std::visit([this](const auto& body) { Apply(body); }, effect);
}

void ServingExecutor::Apply(const serving::StartAttempt& effect) {
  Caller* caller = m_context.callers.Find(effect.request);
  if (caller == nullptr) {
    return;
  }
  if (caller->kind == Caller::Kind::kPrompt &&
      !std::exchange(caller->dispatched, true)) {
    m_context.metrics.Observe(telemetry::Latency::kQueueWait,
                              caller->completion->priority,
                              m_context.clock.Now() - caller->arrived_at);
  }
  UpstreamAttempt::Callbacks callbacks;
  callbacks.on_chunk = [this](serving::AttemptChunk chunk) {
    m_context.sink.Post(serving::Event{std::move(chunk)});
  };
  callbacks.on_finish = [this, request = effect.request](
                            std::string_view finish_reason,
                            const codec::Usage* usage) {
    Caller* finished = m_context.callers.Find(request);
    if (finished == nullptr) {
      return;
    }
    if (!finish_reason.empty()) {
      finished->finish_reason = finish_reason;
    }
    if (usage != nullptr) {
      finished->usage = *usage;
    }
  };
  callbacks.on_ended = [this](serving::AttemptEnded ended,
                              const net::HttpResult& result) {
    if (Caller* finished = m_context.callers.Find(ended.request);
        finished != nullptr &&
        finished->kind == Caller::Kind::kIdempotentCall) {
      finished->service_status = result.status;
      finished->service_content_type =
          net::FindHeader(result.headers, "Content-Type");
      finished->service_body = result.body;
    }
    m_attempts.erase(ended.attempt);
    m_context.sink.Post(serving::Event{std::move(ended)});
  };
  auto attempt = std::make_unique<UpstreamAttempt>(
      m_context.loop, m_context.clock, m_context.client,
      UpstreamAttempt::Limits{m_context.settings.first_byte_timeout,
                              m_context.settings.idle_timeout},
      std::move(callbacks));
  const std::string& url =
      m_context.state.serving.View(effect.upstream).spec.url;
  UpstreamAttempt& started =
      *m_attempts.emplace(effect.attempt, std::move(attempt)).first->second;
  std::string import_from;
  if (effect.import_from) {
    import_from =
        m_context.state.serving.stores.View(*effect.import_from).spec.name;
  }
  started.Start(effect, *caller, url, std::move(import_from));
}

void ServingExecutor::Apply(const serving::CancelAttempt& effect) {
  auto node = m_attempts.extract(effect.attempt);
  if (node.empty()) {
    return;
  }
  node.mapped()->Cancel();
  // The attempt may be delivering a chunk further up the call stack, so it is
  // destroyed later.
  asio::post(m_context.loop, [attempt = std::shared_ptr<UpstreamAttempt>(
                                  std::move(node.mapped()))] {});
  // On most engines, closing the connection cancels the run; this call covers
  // the others.
  net::HttpCall call;
  call.method = "POST";
  call.url = m_context.state.serving.View(effect.upstream).spec.url +
             "/engine/v1/cancel";
  call.headers = {{"Content-Type", "application/json"}};
  call.body =
      R"({"request_id":")" +
      FormatRequestId(m_context.settings.name,
                      m_context.state.booking.incarnation, effect.request) +
      R"(","attempt_id":)" + std::to_string(effect.attempt.value) + "}";
  call.total_timeout = std::chrono::seconds(1);
  m_context.client.Start(std::move(call),
                         [](const net::HttpResult& /*result*/) {});
}

void ServingExecutor::Apply(const serving::ForwardChunk& effect) {
  Caller* caller = m_context.callers.Find(effect.request);
  if (caller == nullptr) {
    return;
  }
  const MonotonicTime now = m_context.clock.Now();
  const auto priority = caller->completion->priority;
  if (caller->last_token_at) {
    m_context.metrics.Observe(telemetry::Latency::kTokenGap, priority,
                              now - *caller->last_token_at);
  } else {
    m_context.metrics.Observe(telemetry::Latency::kTimeToFirstToken, priority,
                              now - caller->arrived_at);
  }
  caller->last_token_at = now;
  const bool first = caller->forwarded_chunks++ == 0;
  if (!caller->completion->stream) {
    caller->text += effect.text;
    return;
  }
  if (first) {
    caller->writer->BeginStream(200, {{"Content-Type", "text/event-stream"},
                                      {"Cache-Control", "no-cache"},
                                      {"X-Request-Id", caller->request_id}});
  }
  caller->writer->Write(caller->format.FormatChunk(effect.text, first));
  if (caller->writer->UnsentBytes() > m_context.settings.unsent_limit) {
    m_context.callers.Refuse(
        effect.request, RefusalCode::kCallerTooSlow, Verdict::kMayHaveRun,
        "the caller does not read its response", std::nullopt);
    m_context.sink.Post(
        serving::Event{serving::RequestCancelled{effect.request}});
  }
}

void ServingExecutor::Apply(const serving::FinishRequest& effect) {
  Caller* caller = m_context.callers.Find(effect.request);
  if (caller == nullptr) {
    return;
  }
  m_context.metrics.CountResponse();
  if (caller->kind == Caller::Kind::kIdempotentCall) {
    caller->writer->Send(caller->service_status,
                         {{"Content-Type", caller->service_content_type},
                          {"X-Request-Id", caller->request_id}},
                         std::move(caller->service_body));
    m_context.callers.Remove(effect.request);
    return;
  }
  caller->usage.completion_tokens = caller->forwarded_chunks;
  m_context.metrics.CountTokens(caller->usage.prompt_tokens,
                                caller->usage.cached_tokens,
                                caller->forwarded_chunks);
  const std::string reason =
      caller->finish_reason.empty() ? "stop" : caller->finish_reason;
  if (caller->completion->stream) {
    if (caller->forwarded_chunks == 0) {
      caller->writer->BeginStream(200, {{"Content-Type", "text/event-stream"},
                                        {"X-Request-Id", caller->request_id}});
    }
    const auto usage = caller->completion->include_usage
                           ? std::optional<codec::Usage>(caller->usage)
                           : std::nullopt;
    caller->writer->Write(caller->format.FormatEnd(reason, usage));
    caller->writer->End();
  } else {
    caller->writer->Send(
        200,
        {{"Content-Type", "application/json"},
         {"X-Request-Id", caller->request_id}},
        caller->format.FormatWhole(caller->text, reason, caller->usage));
  }
  m_context.callers.Remove(effect.request);
}

void ServingExecutor::Apply(const serving::RefuseRequest& effect) {
  m_context.callers.Refuse(effect.request, effect.code, effect.verdict,
                           effect.detail, effect.retry_after);
}

void ServingExecutor::Apply(const serving::ResyncCache& effect) {
  if (m_on_resync) {
    m_on_resync(effect.upstream);
  }
}

void ServingExecutor::Apply(const serving::BroadcastQuarantine& effect) {
  if (m_on_quarantine) {
    m_on_quarantine(effect);
  }
}

void ServingExecutor::Apply(const serving::ReportCold& effect) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const serving::UpstreamView& view =
      m_context.state.serving.View(effect.upstream);
  telemetry::LogInfo(
      "upstream_cold",
      {{"upstream", view.spec.name},
       {"cause", std::string(effect.cause)},
       {"left_ms",
        std::to_string(duration_cast<milliseconds>(effect.left).count())},
       {"share", std::to_string(effect.share.requests)},
       {"window_ms",
        std::to_string(
            duration_cast<milliseconds>(effect.share.window).count())},
       {"daemons", std::to_string(effect.daemons)}});
}

void ServingExecutor::Apply(const CountEvent& effect) {
  m_context.metrics.Count(effect.counter);
}

}  // namespace jasminehatch::daemon
