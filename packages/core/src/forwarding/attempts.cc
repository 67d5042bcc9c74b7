#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminehatch/detail/forwarding/cache_salt.h"
#include "jasminehatch/detail/forwarding/placement.h"
#include "jasminehatch/detail/forwarding/residency.h"
#include "jasminehatch/detail/forwarding/state.h"
#include "jasminehatch/detail/routing/allowed_zones.h"
#include "reducer.h"

namespace jasminehatch::forwarding {
namespace {

/// A rejected request that was sent this many times is not sent again. Attempts
/// that may have run are limited by `Route::attempts`.
constexpr std::uint32_t kMaxSends = 4;

/// Parts with fewer tokens are not saved in a cache store, since recomputing
/// them is faster than transferring them.
constexpr std::uint32_t kMinSavedTokens = 64;

/// An attempt at a resumable stream times out when its first event does not
/// arrive within this multiple of the route's target.
constexpr int kStreamTimeoutFactor = 4;

/// Minimum timeout of an attempt at a resumable stream, for routes with a short
/// target.
constexpr std::chrono::milliseconds kMinStreamTimeout{1500};

/// Adds up the fetched and saved tokens, for the log.
void AddCacheTokens(const Prompt& prompt,
                    const CachePlan& plan,
                    Request::Attempt& attempt) {
  for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
    attempt.fetched_tokens +=
        plan.fetch[i].empty() ? 0 : prompt.parts[i].tokens;
    attempt.saved_tokens += plan.save[i].empty() ? 0 : prompt.parts[i].tokens;
  }
}

/// @return whether an attempt with this outcome got a response
bool IsResponse(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kCompleted:
    case AttemptOutcome::kErrorResponse:
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kWrongWeights:
    case AttemptOutcome::kInvalidResponse:
      return true;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kWrongUpstream:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kTimedOut:
      break;
  }
  return false;
}

/// @return whether something was received from the host of the upstream
bool ProvesContact(const AttemptEnded& event) {
  return IsResponse(event.outcome) ||
         event.outcome == AttemptOutcome::kWrongUpstream ||
         event.connect_failure == ConnectFailure::kRefused;
}

/// @return whether the attempt runs at the process of the upstream's present
/// entry. The upstream may have restarted, or moved, since the attempt began.
bool RanAtCurrentProcess(const Request& request, const Upstream& upstream) {
  return request.attempt->entry_number == upstream.entry_number;
}

}  // namespace

void Reducer::Dispatch(Request& request) {
  if (auto denial = FindTimeDenial(request)) {
    Refuse(request, std::move(*denial));
    return;
  }
  if (ForwardToPeer(request)) {
    return;
  }
  const Placement placement = ChooseUpstream(m_state, request, m_now);
  if (auto denial = FindPlacementDenial(request, placement)) {
    // A probe that no upstream takes is forwarded like other requests.
    if (const std::string* peer = ChoosePeer(request)) {
      StartAtPeer(request, *peer);
      return;
    }
    Refuse(request, std::move(*denial));
    return;
  }
  StartOn(request, placement);
  LogPlacement(request, placement, "placed", "");
}

std::optional<Denial> Reducer::FindTimeDenial(const Request& request) const {
  if (MayOutlastStop(request)) {
    return MakeStopDenial();
  }
  if (request.deadline - m_now < kMinAttemptTime) {
    return Denial{RefusalCode::kDeadlineExceeded,
                  "too little time left for an attempt"};
  }
  return std::nullopt;
}

std::optional<Denial> Reducer::FindPlacementDenial(
    const Request& request,
    const Placement& placement) const {
  const auto unavailable = placement.upstream == nullptr
                               ? FindUnavailability(m_state, request, m_now)
                               : std::nullopt;
  if (unavailable && unavailable->warming_up) {
    return MakeWarmUpDenial(request);
  }
  if (unavailable) {
    return Denial{RefusalCode::kOverloaded,
                  "all upstreams of service " + request.service +
                      " asked for no requests for some time"};
  }
  if (placement.upstream == nullptr) {
    return MakeDenialForLackOfUpstreams(request, placement);
  }
  // The caller of a stream that has begun would lose all of it.
  if (placement.overloaded && request.last_event.empty()) {
    return Denial{
        RefusalCode::kOverloaded,
        "no upstream has memory for the request, load relative to capacity " +
            std::to_string(placement.load)};
  }
  return std::nullopt;
}

Denial Reducer::MakeDenialForLackOfUpstreams(const Request& request,
                                             const Placement& placement) {
  Denial denial{RefusalCode::kNoUpstream,
                "no upstream of service " + request.service};
  switch (placement.zone_block) {
    case ZoneBlock::kEvacuated:
      denial.counter = Counter::kRefusedInEvacuatedZone;
      denial.detail += " outside the evacuated zones";
      break;
    case ZoneBlock::kRegion:
      denial.counter = Counter::kRefusedOutsideRegions;
      denial.detail += " in the allowed regions";
      break;
    case ZoneBlock::kNone:
      break;
  }
  if (request.software_version) {
    denial.detail +=
        " with the software version '" + *request.software_version + "'";
  }
  denial.detail += " can be used";
  return denial;
}

void Reducer::LogPlacement(const Request& request,
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
      {"configuration",
       std::to_string(request.table->SourceConfiguration().version)}};
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

void Reducer::StartOn(Request& request, const Placement& placement) {
  Upstream& upstream = *placement.upstream;
  const AttemptId id{m_state.next_attempt++};
  ++request.send_count;
  request.attempt =
      Request::Attempt{id, upstream.entry.id, AttemptTimeoutAt(request)};
  request.attempt->entry_number = upstream.entry_number;
  request.attempt->software_version = upstream.entry.software_version;
  upstream.OnAttemptStarted(request.expected_tokens, m_now);
  RecordColdSend(upstream);
  m_state.unreachable_zones.OnAttemptStarted(upstream.entry.zone, id, m_now);
  StartAttempt start;
  start.request = request.arrival.request;
  start.attempt = id;
  start.upstream = upstream.entry.id;
  start.started_at = upstream.entry.started_at;
  start.address = upstream.entry.address;
  start.deadline = request.deadline;
  start.timeout_at = request.attempt->timeout_at;
  start.workspace = request.workspace;
  start.priority = request.priority;
  start.route_kind = request.route->kind;
  start.resume_after = request.last_event;
  if (request.arrival.prompt) {
    start.cache_plan =
        MakeCachePlan(request, placement, SavePlanning::kReserve);
    AddCacheTokens(*request.arrival.prompt, *start.cache_plan,
                   *request.attempt);
  }
  start.fresh_connection = std::exchange(request.probes_upstreams, false);
  SetTimer(request);
  m_effects.emplace_back(std::move(start));
}

std::string Reducer::CacheScope(const std::string& workspace) const {
  const RouteTable& table = *m_state.table;
  // A workspace may have become private in records that this daemon has yet to
  // read. Its own scope is right in either case.
  const bool is_current =
      ConfigurationIsCurrent() && !m_state.lag.IsBehind(m_now);
  const bool may_share =
      is_current || table.SourceConfiguration().workspaces.empty();
  return may_share ? table.CacheScope(workspace)
                   : RouteTable::OwnCacheScope(workspace);
}

CachePlan Reducer::MakeCachePlan(const Request& request,
                                 const Placement& placement,
                                 SavePlanning saves) const {
  const Upstream& upstream = *placement.upstream;
  const std::string& model = request.arrival.prompt->model;
  CachePlan plan;
  plan.expected_version = upstream.WeightVersion(model);
  // The scope follows the newest configuration, also for a request that was
  // admitted under an earlier one.
  plan.salt =
      CacheSalt{model, plan.expected_version, CacheScope(request.workspace)}
          .ToString();
  PlanPartTransfers(request, placement, saves, plan);
  return plan;
}

void Reducer::PlanPartTransfers(const Request& request,
                                const Placement& placement,
                                SavePlanning saves,
                                CachePlan& plan) const {
  const Upstream& upstream = *placement.upstream;
  const std::string& model = request.arrival.prompt->model;
  // During a rollout, runs that continue across a change of weights may leave
  // parts that were computed with both versions. Therefore nothing is fetched
  // from the preferred upstream when newer weights than its own are published.
  const auto published = m_state.upstreams.NewestPublished(model);
  const bool fetch_from_preferred =
      placement.preferred != nullptr && placement.preferred != &upstream &&
      placement.preferred->WeightVersion(model) == plan.expected_version &&
      (!published || published->version <= plan.expected_version);
  const auto& parts = request.arrival.prompt->parts;
  plan.fetch.resize(parts.size());
  plan.save.resize(parts.size());
  if (!m_state.options.use_cache_stores) {
    return;
  }
  const bool may_use =
      m_state.cache_use.MayUse(model, plan.expected_version, m_now);
  const auto clock_ms = m_state.shared_clock.At(m_now);
  const AllowedZones allowed_zones = AllowedZonesOf(m_state, request);
  // The last part is specific to this request and is not reused.
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    const PromptPart& part = parts[i];
    const std::string_view store_address =
        may_use ? m_state.stores.Find(plan.salt, part.id, part.tokens,
                                      upstream.entry.zone, allowed_zones)
                : std::string_view();
    // A fetch without a time limit could go on when the part is freed.
    if (!store_address.empty() && clock_ms) {
      plan.fetch[i] = store_address;
      plan.fetch_until_ms = *clock_ms + CacheUseWindow::kFetchTimeout /
                                            std::chrono::milliseconds(1);
    } else if (store_address.empty() && part.tokens >= kMinSavedTokens) {
      if (may_use && saves == SavePlanning::kReserve) {
        plan.save[i] = m_state.stores.Reserve(plan.salt, part.id, part.tokens,
                                              m_now, allowed_zones);
      }
      // The preferred upstream returns the part only under the same salt. If it
      // does not have it, the failed fetch costs little.
      plan.fetch[i] = fetch_from_preferred ? placement.preferred->entry.address
                                           : std::string();
    }
  }
}

std::optional<MonotonicTime> Reducer::AttemptTimeoutAt(
    const Request& request) const {
  const bool last = request.run_count + 1 >= request.route->attempts;
  if (!request.IsRepeatable() || last) {
    return std::nullopt;
  }
  if (request.route->kind == RouteKind::kIdempotent) {
    const auto left = std::chrono::duration<double>(request.deadline - m_now);
    return m_now + std::chrono::duration_cast<Duration>(
                       left * m_state.options.attempt_time_share);
  }
  return m_now + std::max<Duration>(request.route->first_response_target *
                                        kStreamTimeoutFactor,
                                    kMinStreamTimeout);
}

void Reducer::Apply(const UpstreamLeaving& event) {
  if (!m_state.upstreams.OnLeaving(event, m_now)) {
    return;
  }
  m_effects.emplace_back(CountEvent{Counter::kUpstreamLeaving});
  m_effects.emplace_back(CloseIdleConnections{
      m_state.upstreams.Find(event.upstream)->entry.address});
  Log("upstream_leaving", {{"upstream", event.upstream}});
}

void Reducer::Apply(const UpstreamPauseRequested& event) {
  if (!m_state.upstreams.OnPauseRequested(event, m_now)) {
    return;
  }
  m_effects.emplace_back(CountEvent{Counter::kUpstreamPaused});
  Log("upstream_paused",
      {{"upstream", event.upstream}, {"pause_ms", Milliseconds(event.pause)}});
}

void Reducer::Apply(const ResponseStarted& event) {
  Request* request = Find(event.request);
  if (request == nullptr || !request->attempt ||
      request->attempt->id != event.attempt) {
    return;
  }
  if (Upstream* upstream = m_state.upstreams.Find(request->attempt->upstream)) {
    RecordResponse(*request, *upstream);
    RecordZoneContact(upstream->entry.zone);
  }
  request->response_started = true;
  request->attempt->response_started = true;
  if (!request->attempt->at_peer) {
    RecordOrigin(*request);
  }
  request->attempt->timeout_at.reset();
  SetTimer(*request);
  RecordAnswer(*request);
}

void Reducer::RecordResponse(const Request& request, Upstream& upstream) {
  if (RanAtCurrentProcess(request, upstream)) {
    upstream.OnResponse(m_now);
  }
}

void Reducer::EndAttempt(Request& request) {
  if (!request.attempt) {
    return;
  }
  if (request.attempt->at_peer) {
    m_state.peers.OnAttemptEnded(request.attempt->upstream);
  } else if (Upstream* upstream =
                 m_state.upstreams.Find(request.attempt->upstream)) {
    upstream->OnAttemptEnded(request.expected_tokens);
    m_state.unreachable_zones.OnAttemptEnded(upstream->entry.zone,
                                             request.attempt->id);
    if (upstream->notice.leaving) {
      m_effects.emplace_back(CloseIdleConnections{upstream->entry.address});
    }
  }
  request.tried_upstreams.push_back(request.attempt->upstream);
  request.attempt.reset();
}

Duration Reducer::PauseAfterRejection(const Request& request,
                                      const Upstream& upstream) const {
  const auto& prompt = request.arrival.prompt;
  const auto published =
      prompt ? m_state.upstreams.NewestPublished(prompt->model) : std::nullopt;
  return published && upstream.WeightVersion(prompt->model) < published->version
             ? m_state.options.weight_change_pause
             : m_state.options.reject_pause;
}

void Reducer::RecordOutcome(const Request& request, const AttemptEnded& event) {
  if (request.attempt->at_peer) {
    if (event.outcome != AttemptOutcome::kCompleted) {
      m_state.peers.OnFailed(request.attempt->upstream, m_now);
    }
    return;
  }
  Upstream* upstream = m_state.upstreams.Find(request.attempt->upstream);
  if (upstream == nullptr) {
    return;
  }
  if (event.outcome == AttemptOutcome::kInvalidResponse) {
    // Another process may have sent it.
    upstream->OnContact(m_now);
  } else if (IsResponse(event.outcome)) {
    RecordResponse(request, *upstream);
  }
  if (ProvesContact(event)) {
    RecordZoneContact(upstream->entry.zone);
  }
  if (event.outcome == AttemptOutcome::kBroken) {
    RecordLostConnection(request, event, *upstream);
  }
  const bool is_same_process = RanAtCurrentProcess(request, *upstream);
  switch (event.outcome) {
    case AttemptOutcome::kCompleted:
      upstream->RecordSuccess();
      if (event.response_begun) {
        RecordAnswer(request);
      }
      return;
    case AttemptOutcome::kNotRun:
      upstream->paused_until = m_now + PauseAfterRejection(request, *upstream);
      return;
    case AttemptOutcome::kNotSent:
      if (!is_same_process) {
        return;
      }
      PresumeCold(*upstream);
      upstream->RecordFailure(/*unreachable=*/true, m_now, m_state.options);
      RecordUnreachable(*upstream);
      RecordConnectFailure(*upstream, event.connect_failure);
      return;
    case AttemptOutcome::kWrongUpstream:
      if (!is_same_process) {
        return;
      }
      upstream->replacement.OnReplaced(m_now);
      RecordUpstreamFailure(*upstream, UpstreamFailure::kReplaced);
      return;
    case AttemptOutcome::kWrongWeights:
      m_state.upstreams.OnWeightsRejected(upstream->entry.id,
                                          request.arrival.prompt->model);
      return;
    case AttemptOutcome::kErrorResponse:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kInvalidResponse:
      upstream->RecordFailure(/*unreachable=*/false, m_now, m_state.options);
      return;
    case AttemptOutcome::kTimedOut:
      upstream->RecordTimeout(m_now, m_state.options);
      return;
  }
}

void Reducer::Apply(const AttemptEnded& event) {
  Request* request = Find(event.request);
  if (request == nullptr || !request->attempt ||
      request->attempt->id != event.attempt) {
    return;
  }
  RecordOutcome(*request, event);
  const bool answered = request->attempt->response_started;
  const bool at_peer = request->attempt->at_peer;
  if (!event.last_event.empty()) {
    request->last_event = event.last_event;
  }
  request->may_have_arrived =
      request->may_have_arrived || event.outcome != AttemptOutcome::kNotSent;
  EndAttempt(*request);
  switch (event.outcome) {
    case AttemptOutcome::kCompleted:
      m_effects.emplace_back(DeliverResponse{event.request, event.attempt});
      Erase(*request);
      return;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kWrongUpstream:
    case AttemptOutcome::kWrongWeights:
      HandleNotRun(*request, event);
      return;
    case AttemptOutcome::kErrorResponse:
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kInvalidResponse:
    case AttemptOutcome::kTimedOut:
      // The peer has used the attempts that the route allows.
      request->run_count =
          at_peer ? request->route->attempts : request->run_count + 1;
      HandleFailure(*request, event, answered);
      return;
  }
}

void Reducer::HandleNotRun(Request& request, const AttemptEnded& event) {
  if (request.send_count < kMaxSends &&
      Retry(request, Counter::kRetryUpstreamRefused, event.detail)) {
    return;
  }
  Refuse(request, MayOutlastStop(request)
                      ? MakeStopDenial()
                      : Denial{RefusalCode::kOverloaded, event.detail});
}

Denial Reducer::MakeStopDenial() {
  return {RefusalCode::kShuttingDown,
          "the daemon stops before the time limit of the request"};
}

void Reducer::HandleFailure(Request& request,
                            const AttemptEnded& event,
                            bool answered) {
  // Only a lost connection may mean that the request crashed the upstream.
  if (event.outcome == AttemptOutcome::kBroken &&
      RefuseIfCrashSuspect(request)) {
    return;
  }
  if (!answered && MayCrashAnother(request, event)) {
    Refuse(request, {RefusalCode::kUpstreamFailed, event.detail});
    return;
  }
  if (request.IsRepeatable() && request.run_count < request.route->attempts &&
      Retry(request, Counter::kRetryStreamBroken, event.detail)) {
    return;
  }
  if (event.outcome == AttemptOutcome::kErrorResponse) {
    m_effects.emplace_back(DeliverResponse{event.request, event.attempt});
    Erase(request);
    return;
  }
  Refuse(request, {event.outcome == AttemptOutcome::kTimedOut
                       ? RefusalCode::kDeadlineExceeded
                       : RefusalCode::kUpstreamFailed,
                   event.detail});
}

bool Reducer::Retry(Request& request,
                    Counter reason,
                    const std::string& detail) {
  // A stream that has begun loses nothing by a further attempt.
  if (request.deadline - m_now < kMinAttemptTime ||
      (MayOutlastStop(request) && !request.response_started) ||
      m_state.part_suspects.RefusalTimeLeft(request.shared_parts, m_now)) {
    return false;
  }
  if (const std::string* peer = ChoosePeer(request)) {
    // The first arrival at an upstream is no retry.
    const bool is_retry = request.may_have_arrived;
    if (is_retry &&
        !m_state.retries.TrySpend(request.service, m_now, m_state.options)) {
      return false;
    }
    m_effects.emplace_back(CountEvent{reason});
    StartAtPeer(request, *peer);
    return true;
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
