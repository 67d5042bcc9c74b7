#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminehatch/detail/forwarding/placement.h"
#include "jasminehatch/detail/forwarding/stable_hash.h"
#include "jasminehatch/detail/forwarding/state.h"
#include "stepper.h"

namespace jasminehatch::forwarding {
namespace {

/// Maximum attempts of one request, including those that were rejected.
constexpr std::uint32_t kMaxSends = 4;

/// Parts with fewer tokens are not saved, since recomputing them is faster than
/// transferring them.
constexpr std::uint32_t kLeastSavedTokens = 64;

/// An attempt at a resumable stream times out when its first event does not
/// arrive within this multiple of the route's target, but not before the
/// minimum.
constexpr int kStreamGiveUpFactor = 4;
constexpr std::chrono::milliseconds kStreamGiveUpLeast{1500};

/// Adds up the fetched and saved tokens, for the log.
void NoteCacheUse(const Prompt& prompt,
                  const PromptOrder& order,
                  Request::Attempt& attempt) {
  for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
    attempt.fetched_tokens +=
        order.fetch[i].empty() ? 0 : prompt.parts[i].tokens;
    attempt.saved_tokens += order.save[i].empty() ? 0 : prompt.parts[i].tokens;
  }
}

}  // namespace

void Stepper::Dispatch(Request& request) {
  if (request.deadline - m_now < kMinimumTime) {
    Refuse(request, RefusalCode::kDeadlineExceeded,
           "too little time left for an attempt");
    return;
  }
  const Placement placement = ChooseUpstream(m_state, request, m_now);
  if (placement.upstream == nullptr) {
    Refuse(request, RefusalCode::kNoUpstream,
           "no upstream of service " + request.service + " can be used");
    return;
  }
  if (placement.overloaded) {
    Refuse(request, RefusalCode::kOverloaded,
           "no upstream has memory for the request, load " +
               std::to_string(placement.load));
    return;
  }
  StartOn(request, placement);
  LogPlacement(request, placement, "placed", "");
}

void Stepper::LogPlacement(const Request& request,
                           const Placement& placement,
                           std::string_view event,
                           std::string cause) {
  const Upstream& upstream = *placement.upstream;
  std::vector<DecisionField> fields{
      {"route", request.route->name},
      {"workspace", request.workspace},
      {"upstream", upstream.entry.id},
      {"candidates", std::to_string(placement.candidates)},
      {"load", std::to_string(placement.load)},
      {"mean_load", std::to_string(placement.mean_load)},
      {"by", placement.by_prompt ? "prompt" : "load"},
      {"left_ms", Milliseconds(request.deadline - m_now)},
      {"configuration", std::to_string(request.table->Current().version)}};
  if (const auto& prompt = request.arrival.prompt) {
    std::string parts;
    for (const PromptPart& part : prompt->parts) {
      parts += (parts.empty() ? "" : ",") + std::to_string(part.tokens);
    }
    fields.push_back({"parts", std::move(parts)});
    fields.push_back(
        {"output_tokens", std::to_string(prompt->max_output_tokens)});
    fields.push_back(
        {"fetched_tokens", std::to_string(request.attempt->fetched_tokens)});
    fields.push_back(
        {"saved_tokens", std::to_string(request.attempt->saved_tokens)});
  }
  if (!cause.empty()) {
    fields.push_back({"cause", std::move(cause)});
  }
  Log(request, event, std::move(fields));
}

void Stepper::StartOn(Request& request, const Placement& placement) {
  Upstream& upstream = *placement.upstream;
  const AttemptId id{m_state.next_attempt++};
  ++request.sends;
  request.attempt =
      Request::Attempt{id, upstream.entry.id, GiveUpTime(request)};
  upstream.NoteSent(request.tokens);
  StartAttempt start;
  start.request = request.arrival.request;
  start.attempt = id;
  start.upstream = upstream.entry.id;
  start.address = upstream.entry.address;
  start.deadline = request.deadline;
  start.give_up_at = request.attempt->give_up_at;
  start.workspace = request.workspace;
  start.priority = request.priority;
  start.repeat = request.route->repeat;
  start.resume_after = request.last_event;
  if (request.arrival.prompt) {
    start.prompt = OrderFor(request, placement);
    NoteCacheUse(*request.arrival.prompt, *start.prompt, *request.attempt);
  }
  SetTimer(request);
  m_effects.emplace_back(std::move(start));
}

PromptOrder Stepper::OrderFor(const Request& request,
                              const Placement& placement) {
  const Upstream& upstream = *placement.upstream;
  const std::string& model = request.arrival.prompt->model;
  PromptOrder order;
  order.expected_version = upstream.Weights(model);
  // Cached parts are shared only between requests with the same weights, and
  // those of a dedicated workspace only within that workspace.
  order.salt = SaltPrefix(model, order.expected_version) +
               (request.dedicated ? request.workspace : "");
  PlanParts(request, placement, order);
  return order;
}

void Stepper::PlanParts(const Request& request,
                        const Placement& placement,
                        PromptOrder& order) {
  const Upstream& upstream = *placement.upstream;
  const std::string& model = request.arrival.prompt->model;
  // During a rollout, runs that continue across a change of weights may leave
  // parts that were computed with both versions.
  const auto named = m_state.upstreams.Named(model);
  const bool elsewhere =
      placement.home != nullptr && placement.home != &upstream &&
      placement.home->Weights(model) == order.expected_version &&
      (!named || named->version <= order.expected_version);
  const auto& parts = request.arrival.prompt->parts;
  order.fetch.resize(parts.size());
  order.save.resize(parts.size());
  if (!m_state.options.use_cache_stores) {
    return;
  }
  // The last part belongs to this request only and is not reused.
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    const PromptPart& part = parts[i];
    const std::string_view holder = m_state.stores.Find(
        order.salt, part.id, part.tokens, upstream.entry.zone);
    if (!holder.empty()) {
      order.fetch[i] = holder;
    } else if (part.tokens >= kLeastSavedTokens) {
      order.save[i] =
          m_state.stores.Reserve(order.salt, part.id, part.tokens, m_now);
      // The preferred upstream returns the part only under the same salt; a
      // miss costs little.
      order.fetch[i] =
          elsewhere ? placement.home->entry.address : std::string();
    }
  }
}

std::optional<MonotonicTime> Stepper::GiveUpTime(const Request& request) const {
  const bool last = request.runs + 1 >= request.route->attempts;
  if (!request.Repeatable() || last) {
    return std::nullopt;
  }
  if (request.route->repeat == Repeat::kIdempotent) {
    const auto left = std::chrono::duration<double>(request.deadline - m_now);
    return m_now + std::chrono::duration_cast<Duration>(
                       left * m_state.options.hedge_share);
  }
  return m_now + std::max<Duration>(
                     request.route->first_answer_goal * kStreamGiveUpFactor,
                     kStreamGiveUpLeast);
}

void Stepper::Apply(const AnswerStarted& event) {
  Request* request = Find(event.request);
  if (request == nullptr || !request->attempt ||
      request->attempt->id != event.attempt) {
    return;
  }
  request->answer_started = true;
  request->attempt->answer_started = true;
  request->attempt->give_up_at.reset();
  SetTimer(*request);
}

void Stepper::EndAttempt(Request& request) {
  if (!request.attempt) {
    return;
  }
  if (Upstream* upstream = m_state.upstreams.Find(request.attempt->upstream)) {
    upstream->NoteEnded(request.tokens);
  }
  request.tried.push_back(request.attempt->upstream);
  request.attempt.reset();
}

Duration Stepper::PauseAfterRejection(const Request& request,
                                      const Upstream& upstream) const {
  const auto& prompt = request.arrival.prompt;
  const auto named =
      prompt ? m_state.upstreams.Named(prompt->model) : std::nullopt;
  return named && upstream.Weights(prompt->model) < named->version
             ? m_state.options.change_pause
             : m_state.options.reject_pause;
}

void Stepper::JudgeUpstream(const Request& request, const AttemptEnded& event) {
  Upstream* upstream = m_state.upstreams.Find(request.attempt->upstream);
  if (upstream == nullptr) {
    return;
  }
  if (event.outcome == AttemptOutcome::kBroken) {
    const UpstreamEntry& entry = upstream->entry;
    NoteCrash(
        {request.arrival.fingerprint, StableHash(entry.id, entry.started_at)});
  }
  switch (event.outcome) {
    case AttemptOutcome::kAnswered:
      upstream->NoteSuccess();
      return;
    case AttemptOutcome::kNotRun:
      upstream->paused_until = m_now + PauseAfterRejection(request, *upstream);
      return;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kWrongUpstream:
      upstream->NoteFailure(true, m_now, m_state.options);
      return;
    case AttemptOutcome::kWrongWeights:
      m_state.upstreams.RejectWeights(upstream->entry.id,
                                      request.arrival.prompt->model);
      return;
    case AttemptOutcome::kFailedAnswer:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kBadAnswer:
    case AttemptOutcome::kTimedOut:
      upstream->NoteFailure(false, m_now, m_state.options);
      return;
  }
}

void Stepper::Apply(const AttemptEnded& event) {
  Request* request = Find(event.request);
  if (request == nullptr || !request->attempt ||
      request->attempt->id != event.attempt) {
    return;
  }
  JudgeUpstream(*request, event);
  if (!event.last_event.empty()) {
    request->last_event = event.last_event;
  }
  EndAttempt(*request);
  switch (event.outcome) {
    case AttemptOutcome::kAnswered:
      m_effects.emplace_back(DeliverAnswer{event.request, event.attempt});
      Erase(*request);
      return;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kWrongUpstream:
    case AttemptOutcome::kWrongWeights:
      AfterNotRun(*request, event);
      return;
    case AttemptOutcome::kFailedAnswer:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kBadAnswer:
    case AttemptOutcome::kTimedOut:
      ++request->runs;
      AfterFailure(*request, event);
      return;
  }
}

void Stepper::AfterNotRun(Request& request, const AttemptEnded& event) {
  if (request.sends < kMaxSends &&
      Retry(request, Counter::kRetryUpstreamRefused, event.detail)) {
    return;
  }
  Refuse(request, RefusalCode::kOverloaded, event.detail);
}

void Stepper::AfterFailure(Request& request, const AttemptEnded& event) {
  if (event.outcome == AttemptOutcome::kBroken && RefuseCrashSuspect(request)) {
    return;
  }
  if (request.Repeatable() && request.runs < request.route->attempts &&
      Retry(request, Counter::kRetryStreamBroken, event.detail)) {
    return;
  }
  if (event.outcome == AttemptOutcome::kFailedAnswer) {
    m_effects.emplace_back(DeliverAnswer{event.request, event.attempt});
    Erase(request);
    return;
  }
  Refuse(request,
         event.outcome == AttemptOutcome::kTimedOut
             ? RefusalCode::kDeadlineExceeded
             : RefusalCode::kUpstreamFailed,
         event.detail);
}

bool Stepper::Retry(Request& request,
                    Counter reason,
                    const std::string& detail) {
  if (request.deadline - m_now < kMinimumTime) {
    return false;
  }
  const Placement placement = ChooseUpstream(m_state, request, m_now);
  if (placement.upstream == nullptr ||
      !m_state.retries.TrySpend(request.service, m_now, m_state.options)) {
    return false;
  }
  m_effects.emplace_back(CountEvent{reason});
  StartOn(request, placement);
  LogPlacement(request, placement, "retried", detail);
  return true;
}

}  // namespace jasminehatch::forwarding
