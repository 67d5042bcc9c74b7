#include "jasminehatch/detail/serving/attempt_starter.h"

#include <chrono>
#include <optional>

#include "jasminehatch/detail/serving/candidate_upstreams.h"
#include "jasminehatch/detail/serving/cold_upstreams.h"
#include "jasminehatch/detail/serving/isolated_upstreams.h"
#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {
namespace {

/// @return whether the expected time to the first token ends before the
/// deadline; the estimate says nothing of later tokens
bool MeetsDeadline(const Route& route,
                   const Request& request,
                   MonotonicTime now) {
  return !request.arrival.deadline || request.next_position > 0 ||
         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             route.cost.ttft_seconds)) <= *request.arrival.deadline - now;
}

/// Weights of the score that consider the time to the first token only. The
/// usual ones may favour a slow upstream that has the prompt cached.
Options FastestOf(Options options) {
  options.ttft_weight = 1;
  options.recompute_weight = 0;
  options.link_weight = 0;
  return options;
}

}  // namespace

AttemptStarter::Outcome AttemptStarter::TryStart(ModelGroup& model,
                                                 Request& request) {
  return StartOn(request, m_candidates.Find(model, request));
}

AttemptStarter::Outcome AttemptStarter::TryStartAlone(ModelGroup& model,
                                                      Request& request) {
  const auto upstream = m_isolated.IsolateFor(model, request);
  if (!upstream) {
    return Outcome::kNoUpstream;
  }
  const UpstreamView& view = m_context.state.View(*upstream);
  if (view.in_flight > 0 || !view.broken_attempts.empty() ||
      !m_cold_upstreams.MayStart(view)) {
    return Outcome::kNoUpstream;
  }
  return StartOn(request, {&*upstream, 1});
}

AttemptStarter::Outcome AttemptStarter::StartOn(
    Request& request,
    std::span<const UpstreamId> candidates) {
  const State& state = m_context.state;
  auto route =
      ChooseUpstream(candidates, request, state, state.options, m_context.now);
  if (!route) {
    return Outcome::kNoUpstream;
  }
  if (!MeetsDeadline(*route, request, m_context.now)) {
    route = ChooseUpstream(candidates, request, state, FastestOf(state.options),
                           m_context.now);
    if (!MeetsDeadline(*route, request, m_context.now)) {
      m_requests.Refuse(request, RefusalCode::kDeadlineUnreachable,
                        "the expected time to first token exceeds the time "
                        "left until the deadline");
      return Outcome::kRefused;
    }
  }
  Start(request, *route);
  return Outcome::kStarted;
}

void AttemptStarter::Start(Request& request, const Route& route) {
  State& state = m_context.state;
  const bool alone = request.phase == Request::Phase::kSuspect;
  m_requests.StopWaiting(request);
  if (alone) {
    m_isolated.Isolate(request, route.upstream);
  }
  if (request.attempts++ == 0) {
    state.retry_budget.Earn(state.options.retry_share);
  } else if (request.next_position > 0) {
    m_context.Count(route.upstream == request.last_failed
                        ? Counter::kResumeSameUpstream
                        : Counter::kContinueOtherUpstream);
  }
  request.phase = Request::Phase::kRunning;
  request.attempt = Request::Attempt{AttemptId{state.next_attempt++},
                                     route.upstream, alone, false};
  RecordLoad(request, route);
  m_context.Emit(StartAttempt{request.arrival.request, request.attempt->id,
                              route.upstream, request.next_position,
                              request.text_so_far, route.import_from,
                              route.import_blocks});
}

void AttemptStarter::RecordLoad(const Request& request, const Route& route) {
  State& state = m_context.state;
  UpstreamView& view = state.View(route.upstream);
  m_cold_upstreams.RecordStart(view);
  view.AddRunning({request.arrival.request, request.attempt->id, m_context.now,
                   static_cast<std::uint64_t>(route.cost.prefill_tokens)});
  state.UpdateRoom(view);
  if (route.import_from) {
    state.stores.AddTransfer(*route.import_from, route.cost.link_bytes,
                             m_context.now);
  }
}

}  // namespace jasminehatch::serving
