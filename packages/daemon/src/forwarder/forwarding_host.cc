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
#include "jasminehatch/detail/forwarding/explain.h"
#include "jasminehatch/detail/forwarding/step.h"
#include "jasminehatch/net.h"
#include "jasminehatch/platform.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

using forwarding::AttemptOutcome;
using forwarding::ConnectFailure;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

/// Largest response that is buffered as a whole, in bytes.
constexpr std::size_t kMaxBufferedBytes = 16UL << 20U;

/// Buffered bytes of one request from which on it shares
/// `kMaxTotalBufferedBytes`.
constexpr std::size_t kSmallResponseBytes = 16UL << 10U;

/// Sum of all buffered responses and incomplete events above which the largest
/// one ends, in bytes. A VM has as little as 88 MB.
constexpr std::size_t kMaxTotalBufferedBytes = 20UL << 20U;

/// Unsent bytes of a stream at which a slow caller is disconnected.
constexpr std::size_t kMaxUnsentBytes = 512UL << 10U;

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

/// Appends to a body of at most `kMaxBufferedBytes`, whose buffer grows to no
/// more than that.
void AppendBody(std::string_view data, std::string& body) {
  const std::size_t size = body.size() + data.size();
  if (size > body.capacity()) {
    body.reserve(
        std::min(std::max(size, 2 * body.capacity()), kMaxBufferedBytes));
  }
  body += data;
}

std::string MakeRefusalBody(RefusalCode code,
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

/// @return why no connection was made for the call
ConnectFailure ToConnectFailure(const net::StreamEnd& end) {
  using ConnectError = net::StreamEnd::ConnectError;
  switch (end.connect_error) {
    case ConnectError::kRefused:
      return ConnectFailure::kRefused;
    case ConnectError::kTimedOut:
      return ConnectFailure::kTimedOut;
    case ConnectError::kNone:
      break;
  }
  return ConnectFailure::kNone;
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

forwarding::Explanation ForwardingHost::Explain(
    const forwarding::RequestReceived& arrival) {
  return forwarding::Explain(m_state, arrival, m_clock.Now());
}

std::vector<forwarding::UpstreamLoad> ForwardingHost::ZoneLoads(
    std::span<const forwarding::UpstreamLoad> own) {
  return m_state.fleet.ZoneLoads(own, m_clock.Now());
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
                MakeRefusalBody(kCode, Verdict::kNotRun, "", cause));
}

void ForwardingHost::OnForwardedRequest(
    const std::shared_ptr<net::ServerExchange>& exchange) {
  m_metrics.Count(Counter::kForwardedByPeer);
  Receive(exchange, /*forwarded=*/true);
}

void ForwardingHost::Receive(
    const std::shared_ptr<net::ServerExchange>& exchange,
    bool forwarded) {
  m_metrics.CountRequest();
  const RequestId id{m_next_request_id++};
  forwarding::RequestReceived received;
  try {
    received =
        platform::DecodeCallerRequest(exchange->Request(), id, m_random());
  } catch (const CodecError& error) {
    RefuseMalformed(*exchange, error.what());
    return;
  }
  received.forwarded = forwarded;
  ActiveRequest active;
  active.forwarded = forwarded;
  active.caller_id = received.caller_id;
  active.model = received.prompt ? received.prompt->model : "";
  active.last_event_id = received.resume_after;
  active.received_at = m_clock.Now();
  active.exchange = exchange;
  m_active_requests.emplace(id, std::move(active));
  exchange->SetClosedCallback([this, id] {
    if (m_active_requests.contains(id)) {
      Apply(forwarding::CallerDisconnected{id});
      m_active_requests.erase(id);
    }
  });
  Apply(received);
}

ForwardingHost::ActiveRequest* ForwardingHost::FindAttempt(RequestId id,
                                                           AttemptId attempt) {
  const auto found = m_active_requests.find(id);
  if (found == m_active_requests.end() || found->second.attempt != attempt) {
    return nullptr;
  }
  return &found->second;
}

void ForwardingHost::Execute(const forwarding::StartAttempt& effect) {
  const auto found = m_active_requests.find(effect.request);
  if (found == m_active_requests.end()) {
    return;
  }
  ActiveRequest& active = found->second;
  active.attempt = effect.attempt;
  active.upstream = effect.upstream;
  active.at_peer = effect.to_peer;
  active.attempt_started_at = m_clock.Now();
  active.upstream_started_at = effect.started_at;
  active.route_kind = effect.route_kind;
  active.head = {};
  active.metadata = {};
  // The memory of the failed attempt is freed, too.
  std::string().swap(active.body);
  active.splitter.Clear();
  active.streaming = false;
  active.event_received = false;
  const std::shared_ptr<const net::HttpRequest> request(
      active.exchange, &active.exchange->Request());
  auto call =
      effect.to_peer
          ? platform::EncodeForwardedRequest(request, effect, m_clock.Now())
          : platform::EncodeAttempt(request, effect, m_clock.Now());
  // An upstream may write a refusal once more on a kept connection. The id does
  // not tell it from the response to the same request, sent there again.
  call.fresh_connection =
      call.fresh_connection ||
      std::find(active.sent_to.begin(), active.sent_to.end(), effect.address) !=
          active.sent_to.end();
  active.sent_to.push_back(effect.address);
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
  active.call_id = m_client.Start(std::move(call), std::move(callbacks));
}

void ForwardingHost::OnHead(RequestId id,
                            AttemptId attempt,
                            net::StreamHead head) {
  ActiveRequest* active = FindAttempt(id, attempt);
  if (active == nullptr) {
    return;
  }
  active->metadata = platform::DecodeResponseHead(head);
  active->head = std::move(head);
  if (active->head.on_new_connection && !active->at_peer) {
    Apply(forwarding::UpstreamConnected{active->attempt_started_at});
  }
  // A daemon that sheds a request before it reads the id does not name it.
  const bool shed_by_peer = active->at_peer && IsShedding(*active);
  if (active->metadata.request_id != active->caller_id && !shed_by_peer) {
    m_client.Cancel(active->call_id);
    EndAttempt(id, AttemptOutcome::kInvalidResponse,
               "response to another request");
    return;
  }
  const bool success = active->head.status / 100 == 2;
  active->streaming = success && active->metadata.is_signed_and_unencoded &&
                      active->metadata.is_stream &&
                      active->route_kind == forwarding::RouteKind::kStreaming;
  if (!active->at_peer) {
    // A response to another request, which a faulty upstream may repeat later,
    // is no evidence; it was rejected above.
    ApplyNotices(*active);
  }
}

void ForwardingHost::ApplyNotices(const ActiveRequest& active) {
  // The request may end while a notice is applied.
  const std::string upstream = active.upstream;
  const std::string model = active.model;
  const auto weights = active.metadata.weight_version;
  const auto leaving = platform::DecodeLeaving(active.head.headers, upstream,
                                               active.upstream_started_at);
  const auto pause =
      platform::DecodePause(active.head.status, active.head.headers, upstream,
                            active.upstream_started_at);
  if (active.metadata.load) {
    auto load = *active.metadata.load;
    load.upstream = upstream;
    Apply(load);
  }
  if (weights && !model.empty()) {
    Apply(forwarding::WeightsObserved{upstream, model, *weights});
  }
  if (leaving) {
    Apply(*leaving);
  }
  if (pause) {
    Apply(*pause);
  }
}

void ForwardingHost::OnData(RequestId id,
                            AttemptId attempt,
                            std::string_view data) {
  ActiveRequest* active = FindAttempt(id, attempt);
  if (active == nullptr) {
    return;
  }
  const std::size_t bytes_before = active->BufferedBytes();
  if (!active->streaming) {
    if (active->body.size() + data.size() > kMaxBufferedBytes) {
      m_client.Cancel(active->call_id);
      EndAttempt(id, AttemptOutcome::kInvalidResponse,
                 "the response body is too large");
      return;
    }
    AppendBody(data, active->body);
    LimitBufferedBytes(*active, bytes_before);
    return;
  }
  try {
    active->splitter.Feed(data, [&](const codec::EventSplitter::Event& event) {
      ForwardEvent(id, *active, event);
    });
  } catch (const CodecError& error) {
    m_client.Cancel(active->call_id);
    EndAttempt(id, AttemptOutcome::kInvalidResponse, error.what());
    return;
  }
  if (active->exchange->UnsentBytes() > kMaxUnsentBytes) {
    const auto exchange = active->exchange;
    Apply(forwarding::CallerDisconnected{id});
    m_active_requests.erase(id);
    exchange->Abort();
    return;
  }
  LimitBufferedBytes(*active, bytes_before);
}

void ForwardingHost::LimitBufferedBytes(const ActiveRequest& grown,
                                        std::size_t before) {
  // Buffers grow by a factor, so that few parts of a large response come here.
  if (grown.BufferedBytes() <= std::max(before, kSmallResponseBytes)) {
    return;
  }
  std::size_t total = 0;
  auto largest = m_active_requests.begin();
  for (auto it = m_active_requests.begin(); it != m_active_requests.end();
       ++it) {
    total += it->second.BufferedBytes();
    if (it->second.BufferedBytes() > largest->second.BufferedBytes()) {
      largest = it;
    }
  }
  if (total > kMaxTotalBufferedBytes) {
    // Most responses are small, so the largest one is the least likely to be
    // sound.
    m_client.Cancel(largest->second.call_id);
    EndAttempt(largest->first, AttemptOutcome::kInvalidResponse,
               "the responses in progress take too much memory");
  }
}

void ForwardingHost::ForwardEvent(RequestId id,
                                  ActiveRequest& active,
                                  const codec::EventSplitter::Event& event) {
  active.event_received = true;
  const auto number = ParseNumber(event.id);
  const auto last = ParseNumber(active.last_event_id);
  if (number && last && *number <= *last) {
    // The upstream that resumed the stream repeated an event.
    m_metrics.Count(Counter::kDuplicateChunkDropped);
    return;
  }
  const MonotonicTime now = m_clock.Now();
  if (!active.head_sent) {
    active.head_sent = true;
    active.first_event_at = now;
    active.exchange->BeginStream(
        active.head.status,
        platform::FilterResponseHeaders(active.head.headers));
    m_metrics.Observe(telemetry::Latency::kTimeToFirstToken,
                      serving::Priority::kInteractive,
                      now - active.received_at);
  } else {
    m_metrics.Observe(telemetry::Latency::kTokenGap,
                      serving::Priority::kInteractive,
                      now - active.last_event_at);
  }
  active.last_event_at = now;
  if (!event.id.empty()) {
    active.last_event_id = std::string(event.id);
  }
  active.exchange->Write(event.bytes);
  const AttemptId attempt = active.attempt;
  const auto request = m_state.requests.find(id);
  if (request != m_state.requests.end() && request->second.attempt &&
      !request->second.attempt->response_started) {
    Apply(forwarding::ResponseStarted{id, attempt});
  }
}

/// @return whether the response of another daemon is one of its server, which
/// refused the request before it could run
bool ForwardingHost::IsShedding(const ActiveRequest& active) {
  constexpr std::array kStatuses{408, 413, 429, 431, 503};
  return active.metadata.request_id.empty() &&
         !active.metadata.is_signed_and_unencoded &&
         std::find(kStatuses.begin(), kStatuses.end(), active.head.status) !=
             kStatuses.end();
}

/// @return the outcome of a complete response of another daemon
AttemptOutcome ForwardingHost::ClassifyPeerResponse(
    const ActiveRequest& active) {
  const platform::UpstreamResponseHead& metadata = active.metadata;
  if (metadata.peer_verdict == ToString(Verdict::kNotRun) ||
      IsShedding(active)) {
    return AttemptOutcome::kNotRun;
  }
  const bool truncated = active.splitter.PendingBytes() > 0;
  const bool is_success = active.head.status / 100 == 2;
  const bool is_sound = is_success
                            ? metadata.is_signed_and_unencoded && !truncated
                            : !active.head_sent;
  return is_sound ? AttemptOutcome::kCompleted
                  : AttemptOutcome::kInvalidResponse;
}

AttemptOutcome ForwardingHost::ClassifyOutcome(
    const ActiveRequest& active,
    const net::StreamEnd& end) const {
  using Kind = net::StreamEnd::Kind;
  switch (end.kind) {
    case Kind::kNotSent:
      return AttemptOutcome::kNotSent;
    case Kind::kBroken:
      return AttemptOutcome::kBroken;
    case Kind::kMalformed:
      return AttemptOutcome::kInvalidResponse;
    case Kind::kTimedOut:
      return AttemptOutcome::kTimedOut;
    case Kind::kComplete:
      break;
  }
  if (active.at_peer) {
    return ClassifyPeerResponse(active);
  }
  const int status = active.head.status;
  const platform::UpstreamResponseHead& metadata = active.metadata;
  constexpr int kMisdirectedRequest = 421;
  if (status == kMisdirectedRequest) {
    const bool other_upstream =
        !metadata.upstream.empty() && metadata.upstream != active.upstream;
    return other_upstream || active.model.empty()
               ? AttemptOutcome::kWrongUpstream
               : AttemptOutcome::kWrongWeights;
  }
  if (metadata.not_run && (status == 503 || status == 429)) {
    return AttemptOutcome::kNotRun;
  }
  if (active.head_sent && !active.streaming) {
    // The caller has received a part of a stream, and this response does not
    // continue it.
    return AttemptOutcome::kInvalidResponse;
  }
  if (status / 100 == 2) {
    const bool truncated = active.splitter.PendingBytes() > 0;
    // Without a length and chunks, the loss of the connection looks like the
    // end, also for a stream whose upstream stopped before the first event.
    if (active.streaming && end.ended_by_close && !metadata.not_run &&
        (truncated || !active.event_received)) {
      return AttemptOutcome::kBroken;
    }
    return metadata.is_signed_and_unencoded && !metadata.not_run && !truncated
               ? AttemptOutcome::kCompleted
               : AttemptOutcome::kInvalidResponse;
  }
  return status >= 500 ? AttemptOutcome::kErrorResponse
                       : AttemptOutcome::kCompleted;
}

void ForwardingHost::OnEnd(RequestId id,
                           AttemptId attempt,
                           const net::StreamEnd& end) {
  ActiveRequest* active = FindAttempt(id, attempt);
  if (active == nullptr) {
    return;
  }
  const AttemptOutcome outcome = ClassifyOutcome(*active, end);
  std::string detail = end.detail;
  if (detail.empty() && active->head.status != 0) {
    detail = "status " + std::to_string(active->head.status);
  }
  EndAttempt(id, outcome, std::move(detail), ToConnectFailure(end),
             end.closed_by_peer || end.ended_by_close);
}

void ForwardingHost::EndAttempt(RequestId id,
                                AttemptOutcome outcome,
                                std::string detail,
                                ConnectFailure connect_failure,
                                bool closed_by_upstream) {
  const ActiveRequest& active = m_active_requests.at(id);
  if (outcome != AttemptOutcome::kCompleted) {
    const std::array fields{DecisionLogField{"request", active.caller_id},
                            DecisionLogField{"upstream", active.upstream},
                            DecisionLogField{"detail", detail}};
    m_log.Write(DecisionLog::Level::kNotable, "attempt_failed", fields);
  }
  Apply(forwarding::AttemptEnded{
      id, active.attempt, outcome, active.last_event_id, std::move(detail),
      active.head.status / 100 == 2, connect_failure, closed_by_upstream});
}

void ForwardingHost::Execute(const forwarding::CancelAttempt& effect) {
  if (const ActiveRequest* active =
          FindAttempt(effect.request, effect.attempt)) {
    m_client.Cancel(active->call_id);
  }
}

void ForwardingHost::Execute(const forwarding::CloseIdleConnections& effect) {
  m_client.CloseIdleConnections(effect.address);
}

void ForwardingHost::LogResponse(const ActiveRequest& active) {
  const auto elapsed_ms = [&](MonotonicTime at) {
    return std::to_string((at - active.received_at) /
                          std::chrono::milliseconds(1));
  };
  const MonotonicTime now = m_clock.Now();
  const std::string status = std::to_string(active.head.status);
  const std::string first =
      elapsed_ms(active.head_sent ? active.first_event_at : now);
  const std::string total = elapsed_ms(now);
  const std::array fields{DecisionLogField{"request", active.caller_id},
                          DecisionLogField{"upstream", active.upstream},
                          DecisionLogField{"status", status},
                          DecisionLogField{"first_ms", first},
                          DecisionLogField{"total_ms", total}};
  m_log.Write(DecisionLog::Level::kRoutine, "answered", fields);
}

void ForwardingHost::Execute(const forwarding::DeliverResponse& effect) {
  const auto node = m_active_requests.extract(effect.request);
  if (node.empty()) {
    return;
  }
  const ActiveRequest& active = node.mapped();
  m_metrics.CountResponse();
  LogResponse(active);
  if (active.head_sent) {
    active.exchange->End();
    return;
  }
  m_metrics.Observe(telemetry::Latency::kWholeResponse,
                    serving::Priority::kInteractive,
                    m_clock.Now() - active.received_at);
  active.exchange->Send(active.head.status,
                        platform::FilterResponseHeaders(active.head.headers),
                        active.body);
}

void ForwardingHost::Execute(const forwarding::RefuseRequest& effect) {
  const auto node = m_active_requests.extract(effect.request);
  if (node.empty()) {
    return;
  }
  const ActiveRequest& active = node.mapped();
  const RefusalInfo& info = Describe(effect.code);
  m_metrics.CountRefusal(effect.code);
  const std::array fields{DecisionLogField{"request", active.caller_id},
                          DecisionLogField{"code", info.name},
                          DecisionLogField{"verdict", ToString(effect.verdict)},
                          DecisionLogField{"upstream", active.upstream},
                          DecisionLogField{"detail", effect.detail}};
  m_log.Write(DecisionLog::Level::kNotable, "refused", fields);
  if (active.head_sent) {
    active.exchange->Abort();
    return;
  }
  net::HttpHeaders headers =
      platform::BuildRefusalHeaders(active.exchange->Request(), effect);
  if (active.forwarded) {
    platform::AddPeerVerdict(effect.verdict, headers);
  }
  active.exchange->Send(info.http_status, headers,
                        MakeRefusalBody(effect.code, effect.verdict,
                                        active.caller_id, effect.detail));
}

void ForwardingHost::Execute(const forwarding::ShareCrashReport& effect) {
  if (m_on_crash_report) {
    m_on_crash_report(effect.report);
  }
}

void ForwardingHost::Execute(const forwarding::ShareStreamOrigins& effect) {
  if (m_on_stream_origins) {
    m_on_stream_origins(effect.origins);
  }
}

void ForwardingHost::Execute(const forwarding::LogDecision& effect) {
  std::vector<DecisionLogField> fields{{"request", effect.request}};
  for (const forwarding::DecisionField& field : effect.fields) {
    fields.push_back({field.name, field.value});
  }
  m_log.Write(effect.is_state_change ? DecisionLog::Level::kState
                                     : DecisionLog::Level::kRoutine,
              effect.event, fields);
}

void ForwardingHost::Execute(const CountEvent& effect) {
  m_metrics.Count(effect.counter);
}

}  // namespace jasminehatch::daemon
