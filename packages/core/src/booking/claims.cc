#include <algorithm>
#include <utility>

#include "reducer.h"

namespace jasminehatch::booking {

void Reducer::AppendIntent(BookingArrived arrival) {
  const std::uint64_t sequence = m_state.next_sequence++;
  Claim claim;
  claim.intent = Intent{IntentId{m_state.daemon, m_state.incarnation, sequence},
                        arrival.key, arrival.body_digest, arrival.key_time};
  claim.expires = m_now + m_state.options.claim_time;
  if (arrival.deadline) {
    claim.expires = std::min(claim.expires, *arrival.deadline);
  }
  claim.arrival = std::move(arrival);
  SetTimer(claim.timer, claim.expires, Timer::Kind::kClaim, sequence);
  Enqueue(claim.intent);
  Count(Counter::kBookingIntentAppended);
  m_state.appending.emplace(claim.intent.key, sequence);
  m_state.callers.emplace(claim.arrival.request, sequence);
  m_state.claims.emplace(sequence, std::move(claim));
}

void Reducer::ReleaseCaller(Claim& claim) {
  m_state.callers.erase(claim.arrival.request);
  claim.caller_released = true;
}

void Reducer::EndClaim(ClaimIterator claim) {
  SetTimer(claim->second.timer, std::nullopt, Timer::Kind::kClaim,
           claim->first);
  ReleaseCaller(claim->second);
  m_state.claims.erase(claim);
}

void Reducer::OnOwnIntent(ClaimIterator claim, BookingIndex::Change change) {
  if (claim->second.phase != Phase::kAppending ||
      change == BookingIndex::Change::kNone) {
    return;
  }
  if (change == BookingIndex::Change::kExpired) {
    VoidClaim(claim, RefusalCode::kBookingKeyExpired, Verdict::kMayHaveRun,
              "the key is older than the window in which keys are remembered");
    return;
  }
  if (change == BookingIndex::Change::kWon) {
    m_state.appending.erase(claim->second.intent.key);
    if (m_now >= claim->second.expires) {
      VoidLateClaim(claim);
    } else {
      SendDispatch(claim->second);
    }
    return;
  }
  Count(Counter::kBookingForeignIntentWon);
  m_state.appending.erase(claim->second.intent.key);
  const bool caller_released = claim->second.caller_released;
  BookingArrived arrival = std::move(claim->second.arrival);
  m_state.callers.erase(arrival.request);
  SetTimer(claim->second.timer, std::nullopt, Timer::Kind::kClaim,
           claim->first);
  m_state.claims.erase(claim);
  if (!caller_released) {
    JoinOrAppendIntent(std::move(arrival));
  }
}

void Reducer::SendDispatch(Claim& claim) {
  claim.phase = Phase::kDispatched;
  SetTimer(claim.timer,
           claim.caller_released ? std::nullopt : claim.arrival.deadline,
           Timer::Kind::kClaim, claim.intent.id.sequence);
  const BookingArrived& arrival = claim.arrival;
  m_effects.emplace_back(
      Dispatch{arrival.request, claim.intent.id, claim.intent.key,
               arrival.service, arrival.path, arrival.content_type,
               arrival.body, claim.dispatches, claim.expires});
  ++claim.dispatches;
  Count(Counter::kBookingDispatched);
}

void Reducer::VoidClaim(ClaimIterator claim,
                        RefusalCode code,
                        Verdict verdict,
                        std::string detail) {
  Claim& voided = claim->second;
  if (!voided.caller_released) {
    Refuse(voided.arrival.request, code, verdict, std::move(detail));
    ReleaseCaller(voided);
  }
  if (voided.phase == Phase::kAppending) {
    const auto appending = m_state.appending.find(voided.intent.key);
    if (appending != m_state.appending.end() &&
        appending->second == claim->first) {
      m_state.appending.erase(appending);
    }
  }
  voided.phase = Phase::kVoiding;
  voided.arrival.body.clear();
  SetTimer(voided.timer, std::nullopt, Timer::Kind::kClaim, claim->first);
  Enqueue(Void{voided.intent.id, voided.intent.key, voided.intent.key_time});
  Count(Counter::kBookingVoided);
  AppendIntentForWaiters(voided.intent.key);
}

void Reducer::VoidLateClaim(ClaimIterator claim) {
  const auto& deadline = claim->second.arrival.deadline;
  if (deadline && *deadline <= m_now) {
    VoidClaim(claim, RefusalCode::kDeadlineExceeded, Verdict::kNotRun,
              "the deadline passed before the log confirmed the booking");
  } else {
    VoidClaim(claim, RefusalCode::kBookingLogUnavailable, Verdict::kNotRun,
              "the log did not confirm the booking in time");
  }
}

void Reducer::OnClaimTimer(ClaimIterator claim) {
  Claim& late = claim->second;
  if (late.phase == Phase::kAppending) {
    VoidLateClaim(claim);
    return;
  }
  SetTimer(late.timer, std::nullopt, Timer::Kind::kClaim, claim->first);
  if (late.phase == Phase::kDispatched && !late.caller_released) {
    Refuse(late.arrival.request, RefusalCode::kDeadlineExceeded,
           Verdict::kMayHaveRun,
           "the deadline passed before the service responded");
    ReleaseCaller(late);
  }
}

void Reducer::Apply(const DispatchEnded& event) {
  const auto entry = m_state.claims.find(event.intent.sequence);
  if (!IsOwn(event.intent) || entry == m_state.claims.end()) {
    return;
  }
  Claim& claim = entry->second;
  if (claim.phase != Phase::kDispatched ||
      event.earlier_dispatches + 1 != claim.dispatches) {
    return;
  }
  if (event.result == DispatchResult::kNotRun) {
    if (claim.dispatches < m_state.options.max_dispatches &&
        m_now < claim.expires && !claim.caller_released) {
      SendDispatch(claim);
    } else {
      VoidClaim(entry, RefusalCode::kBookingNotDispatched, Verdict::kNotRun,
                event.detail);
    }
    return;
  }
  if (event.result == DispatchResult::kUnknown) {
    if (!claim.caller_released) {
      Refuse(claim.arrival.request, RefusalCode::kBookingOutcomeUnknown,
             Verdict::kMayHaveRun, event.detail);
    }
    const BookingKey key = claim.intent.key;
    EndClaim(entry);
    if (const BookingIndex::Entry* live = m_state.index.Find(key)) {
      RefuseUnservableWaiters(*live);
    }
    return;
  }
  Outcome outcome{claim.intent.id,    claim.intent.key, event.status,
                  event.content_type, event.body,       false};
  if (outcome.body.size() > m_state.options.response_body_limit) {
    outcome.body.clear();
    outcome.body_dropped = true;
  }
  if (!claim.caller_released) {
    m_effects.emplace_back(RespondToBooking{claim.arrival.request, event.status,
                                            event.content_type, event.body,
                                            false});
    ReleaseCaller(claim);
  }
  claim.phase = Phase::kRecording;
  claim.arrival.body.clear();
  SetTimer(claim.timer, std::nullopt, Timer::Kind::kClaim, entry->first);
  Enqueue(std::move(outcome));
}

}  // namespace jasminehatch::booking
