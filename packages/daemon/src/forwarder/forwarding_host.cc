#include "jasminehatch/detail/forwarder/forwarding_host.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/forwarding/step.h"
#include "jasminehatch/net.h"
#include "jasminehatch/platform.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

using forwarding::AttemptOutcome;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

/// Largest answer that is held until it is whole, in bytes.
constexpr std::size_t kBodyLimit = 16UL << 20U;

/// Bytes of a stream that a slow caller may leave unread.
constexpr std::size_t kUnsentLimit = 512UL << 10U;

std::optional<std::uint64_t> Number(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::string RefusalBody(RefusalCode code,
                        Verdict verdict,
                        std::string_view request,
                        std::string_view detail) {
  const RefusalInfo& info = Describe(code);
  const nlohmann::json body{{"error",
                             {{"code", info.name},
                              {"number", info.number},
                              {"verdict", ToString(verdict)},
                              {"request", request},
                              {"message", detail}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace

ForwardingHost::ForwardingHost(asio::io_context& loop,
                               const Clock& clock,
                               net::StreamClient& client,
                               telemetry::DecisionLog& log,
                               telemetry::Metrics& metrics,
                               forwarding::Options options)
    : m_clock(clock),
      m_client(client),
      m_log(log),
      m_metrics(metrics),
      m_timer(loop) {
  m_state.options = std::move(options);
}

void ForwardingHost::Apply(const forwarding::Event& event) {
  for (const auto& effect : forwarding::Step(event, m_clock.Now(), m_state)) {
    std::visit([this](const auto& body) { Execute(body); }, effect);
  }
  ArmTimer();
}

std::vector<forwarding::UpstreamShare> ForwardingHost::ZoneShares(
    std::span<const forwarding::UpstreamShare> own) {
  return m_state.fleet.ZoneShares(own, m_clock.Now());
}

void ForwardingHost::ArmTimer() {
  const auto next = m_state.NextTimer();
  if (!next || (m_timer_at && *m_timer_at <= *next)) {
    return;
  }
  m_timer_at = next;
  m_timer.expires_after(*next - m_clock.Now());
  m_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      m_timer_at.reset();
      Apply(forwarding::TimerFired{});
    }
  });
}

void ForwardingHost::RefuseMalformed(net::ServerExchange& exchange,
                                     std::string_view cause) {
  constexpr RefusalCode kCode = RefusalCode::kMalformedRequest;
  m_metrics.CountRefusal(kCode);
  const std::array fields{DecisionLogField{"detail", cause}};
  m_log.Write(DecisionLog::Level::kNotable, "malformed_request", fields);
  exchange.Send(Describe(kCode).http_status,
                {{"Content-Type", "application/json"}},
                RefusalBody(kCode, Verdict::kNotRun, "", cause));
}

void ForwardingHost::OnRequest(
    const std::shared_ptr<net::ServerExchange>& exchange) {
  m_metrics.CountRequest();
  const RequestId id{m_next_request++};
  forwarding::RequestReceived received;
  try {
    received =
        platform::DecodeCallerRequest(exchange->Request(), id, m_random());
  } catch (const CodecError& error) {
    RefuseMalformed(*exchange, error.what());
    return;
  }
  Running running;
  running.caller_id = received.caller_id;
  running.model = received.prompt ? received.prompt->model : "";
  running.last_event = received.resume_after;
  running.received_at = m_clock.Now();
  running.exchange = exchange;
  m_running.emplace(id, std::move(running));
  exchange->SetClosedCallback([this, id] {
    if (m_running.contains(id)) {
      Apply(forwarding::CallerLeft{id});
      m_running.erase(id);
    }
  });
  Apply(received);
}

ForwardingHost::Running* ForwardingHost::Find(RequestId id, AttemptId attempt) {
  const auto found = m_running.find(id);
  if (found == m_running.end() || found->second.attempt != attempt) {
    return nullptr;
  }
  return &found->second;
}

void ForwardingHost::Execute(const forwarding::StartAttempt& effect) {
  const auto found = m_running.find(effect.request);
  if (found == m_running.end()) {
    return;
  }
  Running& running = found->second;
  running.attempt = effect.attempt;
  running.upstream = effect.upstream;
  running.repeat = effect.repeat;
  running.head = {};
  running.facts = {};
  running.body.clear();
  running.splitter.Clear();
  running.streaming = false;
  auto call = platform::EncodeAttempt(running.exchange->Request(), effect,
                                      m_clock.Now());
  const RequestId id = effect.request;
  const AttemptId attempt = effect.attempt;
  net::StreamClient::Callbacks callbacks;
  callbacks.on_head = [this, id, attempt](net::StreamHead head) {
    OnHead(id, attempt, std::move(head));
  };
  callbacks.on_data = [this, id, attempt](std::string_view data) {
    OnData(id, attempt, data);
  };
  callbacks.on_end = [this, id, attempt](const net::StreamEnd& end) {
    OnEnd(id, attempt, end);
  };
  running.call = m_client.Start(std::move(call), std::move(callbacks));
}

void ForwardingHost::OnHead(RequestId id,
                            AttemptId attempt,
                            net::StreamHead head) {
  Running* running = Find(id, attempt);
  if (running == nullptr) {
    return;
  }
  running->facts = platform::DecodeResponseHead(head);
  running->head = std::move(head);
  if (running->facts.request_id != running->caller_id) {
    m_client.Cancel(running->call);
    EndAttempt(id, AttemptOutcome::kBadAnswer, "answer to another request");
    return;
  }
  const bool success = running->head.status / 100 == 2;
  running->streaming = success && running->facts.is_authentic &&
                       running->facts.is_stream &&
                       running->repeat == forwarding::Repeat::kStream;
  const std::string upstream = running->upstream;
  const std::string model = running->model;
  const auto weights = running->facts.weight_version;
  if (running->facts.load) {
    auto load = *running->facts.load;
    load.upstream = upstream;
    Apply(load);
  }
  if (weights && !model.empty()) {
    Apply(forwarding::WeightsObserved{upstream, model, *weights});
  }
}

void ForwardingHost::OnData(RequestId id,
                            AttemptId attempt,
                            std::string_view data) {
  Running* running = Find(id, attempt);
  if (running == nullptr) {
    return;
  }
  if (!running->streaming) {
    if (running->body.size() + data.size() > kBodyLimit) {
      m_client.Cancel(running->call);
      EndAttempt(id, AttemptOutcome::kBadAnswer, "the answer is too large");
      return;
    }
    running->body += data;
    return;
  }
  running->splitter.Feed(data, [&](const codec::EventSplitter::Event& event) {
    PassOn(id, *running, event);
  });
  if (running->exchange->UnsentBytes() > kUnsentLimit) {
    const auto exchange = running->exchange;
    Apply(forwarding::CallerLeft{id});
    m_running.erase(id);
    exchange->Abort();
  }
}

void ForwardingHost::PassOn(RequestId id,
                            Running& running,
                            const codec::EventSplitter::Event& event) {
  const auto number = Number(event.id);
  const auto last = Number(running.last_event);
  if (number && last && *number <= *last) {
    // The upstream that resumed the stream repeats an event.
    m_metrics.Count(Counter::kDuplicateChunkDropped);
    return;
  }
  const MonotonicTime now = m_clock.Now();
  if (!running.begun) {
    running.begun = true;
    running.first_event_at = now;
    running.exchange->BeginStream(
        running.head.status,
        platform::FilterResponseHeaders(running.head.headers));
    m_metrics.Observe(telemetry::Latency::kTimeToFirstToken,
                      serving::Priority::kInteractive,
                      now - running.received_at);
  } else {
    m_metrics.Observe(telemetry::Latency::kTokenGap,
                      serving::Priority::kInteractive,
                      now - running.last_event_at);
  }
  running.last_event_at = now;
  if (!event.id.empty()) {
    running.last_event = std::string(event.id);
  }
  running.exchange->Write(event.bytes);
  const AttemptId attempt = running.attempt;
  const auto request = m_state.requests.find(id);
  if (request != m_state.requests.end() && request->second.attempt &&
      !request->second.attempt->answer_started) {
    Apply(forwarding::AnswerStarted{id, attempt});
  }
}

AttemptOutcome ForwardingHost::Judge(const Running& running,
                                     const net::StreamEnd& end) const {
  using Kind = net::StreamEnd::Kind;
  switch (end.kind) {
    case Kind::kNotSent:
      return AttemptOutcome::kNotSent;
    case Kind::kBroken:
      return AttemptOutcome::kBroken;
    case Kind::kMalformed:
      return AttemptOutcome::kBadAnswer;
    case Kind::kTimedOut:
      return AttemptOutcome::kTimedOut;
    case Kind::kComplete:
      break;
  }
  const int status = running.head.status;
  const platform::UpstreamResponseHead& facts = running.facts;
  constexpr int kMisdirected = 421;
  if (status == kMisdirected) {
    const bool other =
        !facts.upstream.empty() && facts.upstream != running.upstream;
    return other || running.model.empty() ? AttemptOutcome::kWrongUpstream
                                          : AttemptOutcome::kWrongWeights;
  }
  if (facts.not_run && (status == 503 || status == 429)) {
    return AttemptOutcome::kNotRun;
  }
  if (running.begun && !running.streaming) {
    // It was to go on with a stream of which the caller has a part.
    return AttemptOutcome::kBadAnswer;
  }
  if (status / 100 == 2) {
    const bool cut = running.splitter.PendingBytes() > 0;
    return facts.is_authentic && !cut ? AttemptOutcome::kAnswered
                                      : AttemptOutcome::kBadAnswer;
  }
  return status >= 500 ? AttemptOutcome::kFailedAnswer
                       : AttemptOutcome::kAnswered;
}

void ForwardingHost::OnEnd(RequestId id,
                           AttemptId attempt,
                           const net::StreamEnd& end) {
  Running* running = Find(id, attempt);
  if (running == nullptr) {
    return;
  }
  const AttemptOutcome outcome = Judge(*running, end);
  std::string detail = end.detail;
  if (detail.empty() && running->head.status != 0) {
    detail = "status " + std::to_string(running->head.status);
  }
  EndAttempt(id, outcome, std::move(detail));
}

void ForwardingHost::EndAttempt(RequestId id,
                                AttemptOutcome outcome,
                                std::string detail) {
  const Running& running = m_running.at(id);
  if (outcome != AttemptOutcome::kAnswered) {
    const std::array fields{DecisionLogField{"request", running.caller_id},
                            DecisionLogField{"upstream", running.upstream},
                            DecisionLogField{"detail", detail}};
    m_log.Write(DecisionLog::Level::kNotable, "attempt_failed", fields);
  }
  Apply(forwarding::AttemptEnded{id, running.attempt, outcome,
                                 running.last_event, std::move(detail)});
}

void ForwardingHost::Execute(const forwarding::CancelAttempt& effect) {
  if (const Running* running = Find(effect.request, effect.attempt)) {
    m_client.Cancel(running->call);
  }
}

void ForwardingHost::LogAnswer(const Running& running) {
  const auto age = [&](MonotonicTime at) {
    return std::to_string((at - running.received_at) /
                          std::chrono::milliseconds(1));
  };
  const MonotonicTime now = m_clock.Now();
  const std::string status = std::to_string(running.head.status);
  const std::string first = age(running.begun ? running.first_event_at : now);
  const std::string total = age(now);
  const std::array fields{DecisionLogField{"request", running.caller_id},
                          DecisionLogField{"upstream", running.upstream},
                          DecisionLogField{"status", status},
                          DecisionLogField{"first_ms", first},
                          DecisionLogField{"total_ms", total}};
  m_log.Write(DecisionLog::Level::kRoutine, "answered", fields);
}

void ForwardingHost::Execute(const forwarding::DeliverAnswer& effect) {
  const auto node = m_running.extract(effect.request);
  if (node.empty()) {
    return;
  }
  const Running& running = node.mapped();
  m_metrics.CountAnswer();
  LogAnswer(running);
  if (running.begun) {
    running.exchange->End();
    return;
  }
  m_metrics.Observe(telemetry::Latency::kWholeAnswer,
                    serving::Priority::kInteractive,
                    m_clock.Now() - running.received_at);
  running.exchange->Send(running.head.status,
                         platform::FilterResponseHeaders(running.head.headers),
                         running.body);
}

void ForwardingHost::Execute(const forwarding::RefuseRequest& effect) {
  const auto node = m_running.extract(effect.request);
  if (node.empty()) {
    return;
  }
  const Running& running = node.mapped();
  const RefusalInfo& info = Describe(effect.code);
  m_metrics.CountRefusal(effect.code);
  const std::array fields{DecisionLogField{"request", running.caller_id},
                          DecisionLogField{"code", info.name},
                          DecisionLogField{"verdict", ToString(effect.verdict)},
                          DecisionLogField{"upstream", running.upstream},
                          DecisionLogField{"detail", effect.detail}};
  m_log.Write(DecisionLog::Level::kNotable, "refused", fields);
  if (running.begun) {
    running.exchange->Abort();
    return;
  }
  running.exchange->Send(
      info.http_status,
      platform::BuildRefusalHeaders(running.exchange->Request(), effect),
      RefusalBody(effect.code, effect.verdict, running.caller_id,
                  effect.detail));
}

void ForwardingHost::Execute(const forwarding::ShareCrash& effect) {
  if (m_on_crash) {
    m_on_crash(effect.report);
  }
}

void ForwardingHost::Execute(const forwarding::LogDecision& effect) {
  std::vector<DecisionLogField> fields{{"request", effect.request}};
  for (const forwarding::DecisionField& field : effect.fields) {
    fields.push_back({field.name, field.value});
  }
  m_log.Write(DecisionLog::Level::kRoutine, effect.event, fields);
}

void ForwardingHost::Execute(const CountEvent& effect) {
  m_metrics.Count(effect.counter);
}

}  // namespace jasminehatch::daemon
