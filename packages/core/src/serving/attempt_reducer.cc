#include "jasminehatch/detail/serving/attempt_reducer.h"

#include <algorithm>
#include <cstdint>

#include "jasminehatch/detail/base/exponential_delay.h"
#include "jasminehatch/detail/base/permille.h"
#include "jasminehatch/detail/serving/cold_upstreams.h"
#include "jasminehatch/detail/serving/crash_tracker.h"
#include "jasminehatch/detail/serving/dispatcher.h"
#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {
namespace {

/// Bits by which the random number of a request is shifted for each attempt.
constexpr std::uint32_t kRandomBitsPerAttempt = 5;

/// Attempts from which the shift stays the same, so that enough bits are left.
constexpr std::uint32_t kMaxShiftedAttempts = 10;

bool MayHaveRun(AttemptResult result) {
  return result != AttemptResult::kNotSent &&
         result != AttemptResult::kRejectedNotRun;
}

Counter RetryReason(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNotSent:
      return Counter::kRetryConnectFailed;
    case AttemptResult::kRejectedNotRun:
      return Counter::kRetryUpstreamRefused;
    case AttemptResult::kTimedOut:
      return Counter::kRetryTimedOut;
    default:
      return Counter::kRetryStreamBroken;
  }
}

bool IsPlainServiceCall(const Request& request) {
  return request.arrival.model.starts_with("service:");
}

}  // namespace

void AttemptReducer::Apply(const AttemptChunk& event) {
  Request* request = m_requests.FindAttempt(event.request, event.attempt);
  if (request == nullptr) {
    DropChunk(event);
    return;
  }
  m_cold_upstreams.OnContact(m_context.state.View(request->attempt->upstream));
  if (event.position < request->next_position) {
    m_context.Count(Counter::kDuplicateChunkDropped);
    return;
  }
  request->may_have_run = true;
  if (event.position > request->next_position) {
    OnChunkGap(*request);
    return;
  }
  ++request->next_position;
  request->failures_since_chunk = 0;
  request->text_so_far += event.text;
  m_context.Emit(ForwardChunk{event.request, event.position, event.text});
}

void AttemptReducer::DropChunk(const AttemptChunk& event) {
  const Request* request = m_requests.Find(event.request);
  const bool unknown_attempt =
      request != nullptr &&
      std::find(request->past_attempts.begin(), request->past_attempts.end(),
                event.attempt) == request->past_attempts.end();
  m_context.Count(unknown_attempt ? Counter::kForeignChunkDropped
                                  : Counter::kLateChunkDropped);
}

void AttemptReducer::OnChunkGap(Request& request) {
  // The missing chunk cannot arrive on this stream any more. The upstream is
  // alive, so that no loss has to be confirmed.
  const UpstreamId upstream = request.attempt->upstream;
  m_requests.CancelAttempt(request);
  request.last_failed = upstream;
  Retry(request, Counter::kRetryAnswerGap, "gap in the response");
  m_dispatcher.DispatchAfter(upstream);
}

void AttemptReducer::Apply(const AttemptEnded& event) {
  Request* request = m_requests.FindAttempt(event.request, event.attempt);
  if (request == nullptr) {
    return;
  }
  const UpstreamId upstream = request->attempt->upstream;
  RecordContact(m_context.state.View(upstream), event.result);
  if (event.result == AttemptResult::kComplete) {
    OnComplete(*request);
    m_dispatcher.DispatchAfter(upstream);
    return;
  }
  if (event.retry_after) {
    Pause(upstream, *event.retry_after);
  }
  OnFailure(*request, event);
  if (event.retry_after) {
    // Requests that avoid this upstream may have no other one left.
    m_dispatcher.DispatchModel(m_context.state.View(upstream).spec.model);
  } else {
    m_dispatcher.DispatchAfter(upstream);
  }
}

void AttemptReducer::RecordContact(UpstreamView& view, AttemptResult result) {
  if (result == AttemptResult::kNotSent) {
    m_cold_upstreams.OnUnreachable(view);
  } else if (result == AttemptResult::kComplete ||
             result == AttemptResult::kRejectedNotRun ||
             result == AttemptResult::kInvalidRequest) {
    m_cold_upstreams.OnContact(view);
  }
}

void AttemptReducer::OnComplete(Request& request) {
  if (request.attempt->alone &&
      m_context.state.crashes.Clear(request.arrival.fingerprint)) {
    m_context.Count(Counter::kSuspectCleared);
  }
  m_context.Emit(FinishRequest{request.arrival.request});
  m_requests.Erase(request);
}

void AttemptReducer::Pause(UpstreamId upstream, Duration pause) {
  UpstreamView& view = m_context.state.View(upstream);
  const MonotonicTime until = m_context.now + pause;
  if (view.paused_until && *view.paused_until >= until) {
    return;
  }
  m_context.Count(Counter::kUpstreamPaused);
  view.paused_until = until;
  m_context.state.MarkServingChanged(view.spec.model);
  m_context.state.timers.Set(
      {until, TimerQueue::Kind::kUpstreamPauseEnd, upstream.value});
}

void AttemptReducer::OnFailure(Request& request, const AttemptEnded& event) {
  const Request::Attempt attempt = *request.attempt;
  const bool ran = MayHaveRun(event.result);
  request.may_have_run = request.may_have_run || ran;
  request.last_failed = attempt.upstream;
  m_requests.ReleaseAttempt(request);
  if (event.result == AttemptResult::kInvalidRequest) {
    m_requests.Refuse(request, RefusalCode::kMalformedRequest, event.detail);
    return;
  }
  if (ran && !attempt.loss_counted) {
    m_crashes.OnAttemptBroken(request, m_context.state.View(attempt.upstream));
    if (m_requests.Find(event.request) == nullptr) {
      return;
    }
  }
  Retry(request, RetryReason(event.result), event.detail);
}

void AttemptReducer::Retry(Request& request,
                           Counter reason,
                           const std::string& detail) {
  State& state = m_context.state;
  request.phase = Request::Phase::kHeld;
  // The response of a plain service cannot be resumed.
  const bool partly_delivered =
      IsPlainServiceCall(request) && request.next_position > 0;
  if (partly_delivered || request.attempts >= state.options.max_attempts) {
    m_requests.Refuse(request, RefusalCode::kUpstreamFailed, detail);
    return;
  }
  if (!state.retry_budget.TrySpend(state.options.retry_burst)) {
    m_requests.Refuse(request, RefusalCode::kRetryBudgetExhausted, detail);
    return;
  }
  m_context.Count(reason);
  // A stream that broke twice without a new chunk in between is not resumed on
  // the same upstream again.
  request.resume_on.reset();
  if (request.next_position > 0 && request.failures_since_chunk++ == 0 &&
      (reason == Counter::kRetryStreamBroken ||
       reason == Counter::kRetryTimedOut ||
       reason == Counter::kRetryAnswerGap)) {
    request.resume_on = request.last_failed;
  }
  request.not_before = m_context.now + Backoff(request);
  request.retry_timer =
      request.unconfirmed_loss
          ? std::max(*request.not_before,
                     m_context.now + state.options.loss_confirm_time)
          : *request.not_before;
  state.timers.Set({*request.retry_timer, TimerQueue::Kind::kRequestRetry,
                    request.arrival.request.value});
}

Duration AttemptReducer::Backoff(const Request& request) const {
  const Options& options = m_context.state.options;
  const std::uint32_t earlier_attempts =
      request.attempts > 0 ? request.attempts - 1 : 0;
  const Duration mean = ExponentialDelay(
      options.retry_backoff, earlier_attempts, options.max_retry_backoff);
  // Jitter by a factor of 0.5 to 1.5. The shift gives each attempt other bits
  // of the request's random number.
  const std::uint32_t shift =
      kRandomBitsPerAttempt * std::min(earlier_attempts, kMaxShiftedAttempts);
  return PermilleOf(mean, 500 + (request.arrival.random >> shift) % 1000);
}

}  // namespace jasminehatch::serving
