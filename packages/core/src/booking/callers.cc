#include <algorithm>
#include <utility>

#include "reducer.h"

namespace jasminehatch::booking {

void Reducer::Refuse(RequestId request,
                     RefusalCode code,
                     Verdict verdict,
                     std::string detail) {
  m_effects.emplace_back(
      RefuseBooking{request, code, verdict, std::move(detail), std::nullopt});
}

void Reducer::RefuseUnknownOutcome(RequestId request) {
  Refuse(request, RefusalCode::kBookingOutcomeUnknown, Verdict::kMayHaveRun,
         "the booking may have been dispatched and its outcome is not known");
}

void Reducer::Apply(const BookingArrived& event) {
  m_state.wall_now = event.wall_now;
  if (m_state.shutting_down) {
    Refuse(event.request, RefusalCode::kShuttingDown, Verdict::kNotRun,
           "the daemon is stopping");
  } else if (event.key_time + m_state.options.key_window < event.wall_now ||
             event.key_time < m_state.index.Floor()) {
    Refuse(event.request, RefusalCode::kBookingKeyExpired, Verdict::kMayHaveRun,
           "the key is older than the window in which keys are remembered");
  } else if (event.key_time > event.wall_now + m_state.options.clock_skew) {
    Refuse(event.request, RefusalCode::kMalformedIdempotencyKey,
           Verdict::kNotRun, "the creation time in the key is in the future");
  } else {
    JoinOrAppendIntent(event);
  }
}

void Reducer::JoinOrAppendIntent(BookingArrived arrival) {
  const auto reused = [this, &arrival](const Intent& intent) {
    const bool differs = intent.body_digest != arrival.body_digest;
    if (differs) {
      Refuse(arrival.request, RefusalCode::kIdempotencyKeyReused,
             Verdict::kNotRun, "the key was used with another body");
    }
    return differs;
  };
  if (const BookingIndex::Entry* entry = m_state.index.Find(arrival.key)) {
    if (reused(entry->intent)) {
      return;
    }
    if (entry->outcome) {
      RespondFromLog(arrival.request, *entry);
    } else if (IsOutcomeLost(entry->intent.id)) {
      RefuseUnknownOutcome(arrival.request);
    } else {
      AddWaiter(std::move(arrival));
    }
    return;
  }
  const auto appending = m_state.appending.find(arrival.key);
  if (appending != m_state.appending.end()) {
    if (!reused(m_state.claims.at(appending->second).intent)) {
      AddWaiter(std::move(arrival));
    }
    return;
  }
  if (arrival.deadline && *arrival.deadline <= m_now) {
    Refuse(arrival.request, RefusalCode::kDeadlineExceeded, Verdict::kNotRun,
           "the deadline passed before an intent for the booking was appended");
  } else if (m_state.claims.size() >= m_state.options.claim_limit) {
    Refuse(arrival.request, RefusalCode::kBookingLogUnavailable,
           Verdict::kNotRun, "too many bookings wait for the log");
  } else {
    AppendIntent(std::move(arrival));
  }
}

void Reducer::AddWaiter(BookingArrived arrival) {
  const RequestId request = arrival.request;
  MonotonicTime expires = m_now + m_state.options.outcome_wait;
  if (arrival.deadline) {
    expires = std::min(expires, *arrival.deadline);
  }
  m_state.waiters_of_key[arrival.key].push_back(request);
  m_state.waiters.emplace(request, Waiter{std::move(arrival), expires});
  m_state.timers.insert(Timer{expires, Timer::Kind::kWaiter, request.value});
  if (expires <= m_now) {
    RefuseWaiter(request);
  }
}

Waiter Reducer::RemoveWaiter(RequestId request) {
  Waiter waiter = std::move(m_state.waiters.extract(request).mapped());
  m_state.timers.erase(
      Timer{waiter.expires, Timer::Kind::kWaiter, request.value});
  const auto queue = m_state.waiters_of_key.find(waiter.arrival.key);
  std::erase(queue->second, request);
  if (queue->second.empty()) {
    m_state.waiters_of_key.erase(queue);
  }
  return waiter;
}

void Reducer::RefuseWaiter(RequestId request) {
  const Waiter waiter = RemoveWaiter(request);
  if (waiter.arrival.deadline && *waiter.arrival.deadline <= m_now) {
    Refuse(request, RefusalCode::kDeadlineExceeded, Verdict::kMayHaveRun,
           "the deadline passed while another request with the key was in "
           "progress");
  } else {
    RefuseUnknownOutcome(request);
  }
}

void Reducer::RespondToWaiters(const BookingKey& key,
                               const BookingIndex::Entry& entry) {
  const auto node = m_state.waiters_of_key.extract(key);
  if (node.empty()) {
    return;
  }
  for (const RequestId request : node.mapped()) {
    const auto waiter = m_state.waiters.find(request);
    m_state.timers.erase(
        Timer{waiter->second.expires, Timer::Kind::kWaiter, request.value});
    m_state.waiters.erase(waiter);
    RespondFromLog(request, entry);
  }
}

void Reducer::RefuseUnservableWaiters(const BookingIndex::Entry& entry) {
  const auto queue = m_state.waiters_of_key.find(entry.intent.key);
  if (queue == m_state.waiters_of_key.end()) {
    return;
  }
  const bool outcome_lost = !entry.outcome && IsOutcomeLost(entry.intent.id);
  const std::deque<RequestId> requests = queue->second;
  for (const RequestId request : requests) {
    // The winning intent may have another body than the one waited for.
    if (m_state.waiters.at(request).arrival.body_digest !=
        entry.intent.body_digest) {
      RemoveWaiter(request);
      Refuse(request, RefusalCode::kIdempotencyKeyReused, Verdict::kNotRun,
             "the key was used with another body");
    } else if (outcome_lost) {
      RemoveWaiter(request);
      RefuseUnknownOutcome(request);
    }
  }
}

void Reducer::AppendIntentForWaiters(const BookingKey& key) {
  // One waiter appends a new intent and the others wait for it. If that waiter
  // is refused, the next one is tried.
  auto queue = m_state.waiters_of_key.find(key);
  while (queue != m_state.waiters_of_key.end() &&
         !m_state.appending.contains(key) &&
         m_state.index.Find(key) == nullptr) {
    JoinOrAppendIntent(RemoveWaiter(queue->second.front()).arrival);
    queue = m_state.waiters_of_key.find(key);
  }
}

void Reducer::RespondFromLog(RequestId request,
                             const BookingIndex::Entry& entry) {
  const Outcome& outcome = *entry.outcome;
  if (outcome.body_dropped) {
    Refuse(request, RefusalCode::kBookingOutcomeUnknown, Verdict::kRan,
           "the booking ran with status " + std::to_string(outcome.status) +
               "; its response body was too large to keep");
    return;
  }
  Count(Counter::kBookingReplayed);
  m_effects.emplace_back(RespondToBooking{
      request, outcome.status, outcome.content_type, outcome.body, true});
}

void Reducer::Apply(const BookingCancelled& event) {
  if (m_state.waiters.contains(event.request)) {
    RemoveWaiter(event.request);
  }
  const auto caller = m_state.callers.find(event.request);
  if (caller != m_state.callers.end()) {
    // The booking continues; a retry with the same key gets its outcome.
    ReleaseCaller(m_state.claims.at(caller->second));
  }
}

void Reducer::Apply(const BookingQueried& event) {
  const BookingIndex::Entry* entry = m_state.index.Find(event.key);
  RespondWithStage response{event.request, Stage::kUnknown, std::nullopt};
  if (entry != nullptr && entry->outcome) {
    response.stage = Stage::kDone;
    response.outcome = entry->outcome;
  } else if (entry != nullptr && !IsOutcomeLost(entry->intent.id)) {
    const bool own = IsOwn(entry->intent.id);
    const Phase phase = own ? m_state.claims.at(entry->intent.id.sequence).phase
                            : Phase::kAppending;
    response.stage = phase == Phase::kDispatched || phase == Phase::kRecording
                         ? Stage::kSent
                         : Stage::kAccepted;
  }
  m_effects.emplace_back(std::move(response));
}

}  // namespace jasminehatch::booking
