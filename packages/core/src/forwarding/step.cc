#include "jasminehatch/detail/forwarding/step.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "jasminehatch/detail/forwarding/placement.h"
#include "jasminehatch/detail/forwarding/stable_hash.h"
#include "jasminehatch/detail/forwarding/state.h"

namespace jasminehatch::forwarding {
namespace {

/// Sends of one request that upstreams may reject as not run.
constexpr std::uint32_t kMaxSends = 4;

/// Longest wait of a request without a deadline and a route time limit.
constexpr std::chrono::seconds kDefaultDeadline{60};

/// An attempt is not started with less time left.
constexpr std::chrono::milliseconds kMinimumTime{20};

/// Shorter parts are read again sooner than they are moved.
constexpr std::uint32_t kLeastSavedTokens = 64;

/// Answers are mostly this much shorter than their callers allow.
constexpr std::uint32_t kOutputOfMaximum = 3;

/// A resumable stream without a first event is given up after this many times
/// its goal, and not before the least time.
constexpr int kStreamGiveUpFactor = 4;
constexpr std::chrono::milliseconds kStreamGiveUpLeast{1500};

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/// @return the memory that a request is expected to need on average while it
/// runs, in tokens
std::uint64_t ExpectedTokens(const Prompt& prompt) {
  const std::uint32_t output =
      prompt.output_hint > 0
          ? std::min(prompt.output_hint, prompt.max_output_tokens)
          : prompt.max_output_tokens / kOutputOfMaximum;
  return std::uint64_t{prompt.prompt_tokens} + output;
}

/// Applies one event to the state and collects the effects.
class Stepper {
 public:
  Stepper(State& state, MonotonicTime now) : m_state(state), m_now(now) {}

  void Apply(const ConfigurationRead& event);
  void Apply(const ConfigurationConfirmed& event) {
    if (!m_state.confirmed_at || event.sent_at > *m_state.confirmed_at) {
      m_state.confirmed_at = event.sent_at;
    }
  }
  void Apply(const UpstreamRegistered& event) {
    m_state.upstreams.Register(event.entry);
  }
  void Apply(const UpstreamRemoved& event) {
    m_state.upstreams.Remove(event.id, m_now);
  }
  void Apply(const UpstreamsListed& event) {
    m_state.upstreams.List(event.entries, m_now);
  }
  void Apply(const RegistryRegained& /*event*/) {
    m_state.upstreams.Regained(m_now, m_state.options);
  }
  void Apply(const WeightsNamed& event) {
    m_state.upstreams.NameWeights(event, m_now);
  }
  void Apply(const RequestReceived& event);
  void Apply(const CallerLeft& event);
  void Apply(const AnswerStarted& event);
  void Apply(const LoadObserved& event) {
    if (Upstream* upstream = m_state.upstreams.Find(event.upstream)) {
      upstream->NoteLoad(event.running, event.waiting);
    }
  }
  void Apply(const WeightsObserved& event) {
    m_state.upstreams.ObserveWeights(event);
  }
  void Apply(const UpstreamLoading& event) {
    if (Upstream* upstream = m_state.upstreams.Find(event.upstream)) {
      upstream->loading = event.loading;
    }
  }
  void Apply(const AttemptEnded& event);
  void Apply(const CacheListed& event) { m_state.stores.Apply(event); }
  void Apply(const CacheChanged& event) { m_state.stores.Apply(event); }
  void Apply(const CacheStoreLost& event) { m_state.stores.Apply(event); }
  void Apply(const PeerLoadReported& event) {
    m_state.fleet.Apply(event, m_now);
  }
  void Apply(const PeersKnown& event) { m_state.fleet.SetPeers(event.count); }
  void Apply(const TimerFired& event);

  Effects TakeEffects() { return std::move(m_effects); }

 private:
  Request* Find(RequestId id) {
    const auto found = m_state.requests.find(id);
    return found == m_state.requests.end() ? nullptr : &found->second;
  }
  bool ConfigurationIsCurrent() const {
    return m_state.table && m_state.confirmed_at &&
           m_now - *m_state.confirmed_at <= m_state.options.proof_limit;
  }

  /// @return the age of the proof that the configuration is current, for logs
  std::string ProofAge() const {
    return m_state.confirmed_at
               ? "the configuration was proved current " +
                     Milliseconds(m_now - *m_state.confirmed_at) + " ms ago"
               : "the configuration was not yet proved current";
  }

  /// @return whether the request may go on; it is refused otherwise
  bool Authorize(Request& request);
  void ChooseService(Request& request);
  void Dispatch(Request& request);
  void StartOn(Request& request, Upstream& upstream);
  PromptOrder OrderFor(const Request& request, const Upstream& upstream);
  void PlanParts(const Request& request,
                 const Upstream& upstream,
                 PromptOrder& order);
  std::optional<MonotonicTime> GiveUpTime(const Request& request) const;
  void EndAttempt(Request& request);
  void JudgeUpstream(const Request& request, const AttemptEnded& event);
  Duration PauseAfterRejection(const Request& request,
                               const Upstream& upstream) const;
  void AfterNotRun(Request& request, const AttemptEnded& event);
  void AfterFailure(Request& request, const AttemptEnded& event);
  /// @return whether another attempt was started
  bool Retry(Request& request, Counter reason, const std::string& detail);
  void Refuse(Request& request, RefusalCode code, std::string detail);
  void SetTimer(Request& request);
  void Erase(Request& request);
  Duration RetryAfter(const Request& request) const;
  void Log(const Request& request,
           std::string_view event,
           std::vector<DecisionField> fields) {
    m_effects.emplace_back(
        LogDecision{event, request.arrival.caller_id, std::move(fields)});
  }
  void LogPlacement(const Request& request,
                    const Placement& placement,
                    std::string_view event,
                    std::string cause);

  State& m_state;
  MonotonicTime m_now;
  Effects m_effects;
};

void Stepper::Apply(const ConfigurationRead& event) {
  if (m_state.table &&
      event.configuration.version <= m_state.table->Current().version) {
    return;
  }
  m_state.table = std::make_shared<const RouteTable>(event.configuration);
  m_state.stores.Configure(event.configuration.services);
}

void Stepper::Apply(const RequestReceived& event) {
  auto [entry, inserted] =
      m_state.requests.try_emplace(event.request, Request{});
  if (!inserted) {
    return;
  }
  Request& request = entry->second;
  request.arrival = event;
  request.arrived_at = m_now;
  request.last_event = event.resume_after;
  request.tokens = event.prompt ? ExpectedTokens(*event.prompt) : 0;
  request.deadline = m_now + event.time_left.value_or(kDefaultDeadline);
  if (!m_state.table) {
    Refuse(request, RefusalCode::kConfigurationStale,
           "no configuration was read yet");
    return;
  }
  request.table = m_state.table;
  request.route = m_state.table->FindRoute(event.host, event.path);
  if (!Authorize(request)) {
    return;
  }
  if (request.route->timeout > Duration::zero()) {
    request.deadline =
        std::min(request.deadline, m_now + request.route->timeout);
  }
  ChooseService(request);
  m_state.retries.NoteRequest(request.service, m_now, m_state.options);
  Dispatch(request);
}

bool Stepper::Authorize(Request& request) {
  const bool current = ConfigurationIsCurrent();
  if (request.route == nullptr) {
    Refuse(
        request,
        current ? RefusalCode::kUnknownRoute : RefusalCode::kConfigurationStale,
        "no route of the host has a prefix of the path");
    return false;
  }
  request.priority = request.route->priority;
  const bool needs_key =
      request.table->Current().has_workspaces && !request.route->is_public;
  if (!needs_key) {
    return true;
  }
  // A key may have been taken away since the newest proof.
  if (!current) {
    Refuse(request, RefusalCode::kConfigurationStale,
           "keys cannot be checked: " + ProofAge());
    return false;
  }
  const Workspace* workspace =
      request.table->FindWorkspace(request.arrival.key);
  if (workspace == nullptr) {
    Refuse(request, RefusalCode::kUnauthorized, "no workspace holds the key");
    return false;
  }
  request.workspace = workspace->name;
  request.dedicated = workspace->dedicated;
  request.priority = workspace->priority.value_or(request.priority);
  return true;
}

void Stepper::ChooseService(Request& request) {
  const auto& services = request.route->services;
  double total = 0;
  for (const WeightedService& service : services) {
    total += service.weight;
  }
  constexpr double kHashRange = 1ULL << 32U;
  const auto hash = StableHash(request.arrival.caller_id) >> 32U;
  double point = static_cast<double>(hash) / kHashRange * total;
  for (const WeightedService& service : services) {
    request.service = service.service;
    point -= service.weight;
    if (point < 0) {
      return;
    }
  }
}

void Stepper::Dispatch(Request& request) {
  if (request.deadline - m_now < kMinimumTime) {
    Refuse(request, RefusalCode::kDeadlineExceeded,
           "too little time is left for an attempt");
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
  LogPlacement(request, placement, "placed", "");
  StartOn(request, *placement.upstream);
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
  }
  if (!cause.empty()) {
    fields.push_back({"cause", std::move(cause)});
  }
  Log(request, event, std::move(fields));
}

void Stepper::StartOn(Request& request, Upstream& upstream) {
  const AttemptId id{m_state.next_attempt++};
  ++request.sends;
  request.attempt =
      Request::Attempt{id, upstream.entry.id, GiveUpTime(request), false};
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
    start.prompt = OrderFor(request, upstream);
  }
  SetTimer(request);
  m_effects.emplace_back(std::move(start));
}

PromptOrder Stepper::OrderFor(const Request& request,
                              const Upstream& upstream) {
  const std::string& model = request.arrival.prompt->model;
  PromptOrder order;
  order.expected_version = upstream.Weights(model);
  // Cached parts are shared only between requests of the same weights, and
  // those of a dedicated workspace only within it.
  order.salt = SaltPrefix(model, order.expected_version) +
               (request.dedicated ? request.workspace : "");
  PlanParts(request, upstream, order);
  return order;
}

void Stepper::PlanParts(const Request& request,
                        const Upstream& upstream,
                        PromptOrder& order) {
  const auto& parts = request.arrival.prompt->parts;
  order.fetch.resize(parts.size());
  order.save.resize(parts.size());
  // The last part is the request's own and does not return.
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    const PromptPart& part = parts[i];
    const std::string_view holder = m_state.stores.Find(
        order.salt, part.id, part.tokens, upstream.entry.zone);
    if (!holder.empty()) {
      order.fetch[i] = holder;
    } else if (part.tokens >= kLeastSavedTokens) {
      order.save[i] =
          m_state.stores.Reserve(order.salt, part.id, part.tokens, m_now);
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

void Stepper::Apply(const CallerLeft& event) {
  Request* request = Find(event.request);
  if (request == nullptr) {
    return;
  }
  if (request->attempt) {
    m_effects.emplace_back(CancelAttempt{event.request, request->attempt->id});
    EndAttempt(*request);
  }
  Log(*request, "caller_left",
      {{"age_ms", Milliseconds(m_now - request->arrived_at)}});
  Erase(*request);
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
  LogPlacement(request, placement, "retried", detail);
  StartOn(request, *placement.upstream);
  return true;
}

Duration Stepper::RetryAfter(const Request& request) const {
  const Duration base = m_state.options.retry_after;
  const auto permille =
      static_cast<Duration::rep>(request.arrival.random % 1000);
  return base + Duration(base.count() / 1000 * permille);
}

void Stepper::Refuse(Request& request, RefusalCode code, std::string detail) {
  const bool may_have_run = request.runs > 0;
  // A status that promises "not run" would be false.
  if (may_have_run && code != RefusalCode::kDeadlineExceeded) {
    code = RefusalCode::kUpstreamFailed;
  }
  RefuseRequest refusal;
  refusal.request = request.arrival.request;
  refusal.code = code;
  refusal.verdict = may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun;
  refusal.detail = std::move(detail);
  if (Describe(code).retry_can_help && !may_have_run) {
    refusal.retry_after = RetryAfter(request);
  }
  m_effects.emplace_back(std::move(refusal));
  Erase(request);
}

void Stepper::SetTimer(Request& request) {
  m_state.timers.erase({request.timer, request.arrival.request});
  request.timer = request.deadline;
  if (request.attempt && request.attempt->give_up_at) {
    request.timer = std::min(request.timer, *request.attempt->give_up_at);
  }
  m_state.timers.emplace(request.timer, request.arrival.request);
}

void Stepper::Erase(Request& request) {
  const RequestId id = request.arrival.request;
  m_state.timers.erase({request.timer, id});
  m_state.requests.erase(id);
}

void Stepper::Apply(const TimerFired& /*event*/) {
  while (!m_state.timers.empty() && m_state.timers.begin()->first <= m_now) {
    Request& request = *Find(m_state.timers.begin()->second);
    const bool out_of_time = request.deadline <= m_now;
    AttemptEnded timed_out{request.arrival.request,
                           {},
                           AttemptOutcome::kTimedOut,
                           {},
                           "no answer in time"};
    if (!request.attempt) {
      Refuse(request, RefusalCode::kDeadlineExceeded, timed_out.detail);
      continue;
    }
    timed_out.attempt = request.attempt->id;
    m_effects.emplace_back(
        CancelAttempt{request.arrival.request, request.attempt->id});
    if (out_of_time) {
      EndAttempt(request);
      ++request.runs;
      Refuse(request, RefusalCode::kDeadlineExceeded, timed_out.detail);
    } else {
      Apply(timed_out);
    }
  }
}

}  // namespace

Effects Step(const Event& event, MonotonicTime now, State& state) {
  Stepper stepper(state, now);
  std::visit([&](const auto& body) { stepper.Apply(body); }, event);
  return stepper.TakeEffects();
}

}  // namespace jasminehatch::forwarding
