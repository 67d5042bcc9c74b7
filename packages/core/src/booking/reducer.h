#ifndef JASMINEHATCH_SRC_BOOKING_REDUCER_H_
#define JASMINEHATCH_SRC_BOOKING_REDUCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "jasminehatch/detail/booking/effect.h"
#include "jasminehatch/detail/booking/event.h"
#include "jasminehatch/detail/booking/state.h"

namespace jasminehatch::booking {

/// @brief Applies one event to the state and collects the effects. Implemented
/// in callers.cc, claims.cc, records.cc, appends.cc and step.cc.
class Reducer {
 public:
  using Phase = Claim::Phase;

  Reducer(State& state, MonotonicTime now) : m_state(state), m_now(now) {}

  void Apply(const BookingArrived& event);
  void Apply(const BookingQueried& event);
  void Apply(const BookingCancelled& event);
  void Apply(const AppendEnded& event);
  void Apply(const RecordsRead& event);
  void Apply(const DispatchEnded& event);
  void Apply(const ProcessGone& event);
  void Apply(const ZoneChanged& event);
  void Apply(const HandoffReceived& event);
  void Apply(const ShutdownRequested& /*event*/) {
    m_state.shutting_down = true;
  }
  void Apply(const TimerFired& /*event*/);

  Effects TakeEffects();

 private:
  using ClaimIterator = std::map<std::uint64_t, Claim>::iterator;
  using AppendIterator = std::map<AppendId, PendingAppend>::iterator;

  // Callers.
  void JoinOrAppendIntent(BookingArrived arrival);
  void AddWaiter(BookingArrived arrival);
  Waiter RemoveWaiter(RequestId request);
  void RefuseWaiter(RequestId request);
  void RespondToWaiters(const BookingKey& key,
                        const BookingIndex::Entry& entry);
  /// Refuses the waiters whose body differs from the intent's, and all waiters
  /// if the outcome is lost.
  void RefuseUnservableWaiters(const BookingIndex::Entry& entry);
  void AppendIntentForWaiters(const BookingKey& key);
  void RespondFromLog(RequestId request, const BookingIndex::Entry& entry);
  void RefuseUnknownOutcome(RequestId request);
  void Refuse(RequestId request,
              RefusalCode code,
              Verdict verdict,
              std::string detail);

  // Claims.
  void AppendIntent(BookingArrived arrival);
  void OnOwnIntent(ClaimIterator claim, BookingIndex::Change change);
  void SendDispatch(Claim& claim);
  void VoidClaim(ClaimIterator claim,
                 RefusalCode code,
                 Verdict verdict,
                 std::string detail);
  void VoidLateClaim(ClaimIterator claim);
  void EndClaim(ClaimIterator claim);
  void ReleaseCaller(Claim& claim);
  void OnClaimTimer(ClaimIterator claim);

  // Other processes.
  bool IsOwn(const IntentId& id) const {
    return id.daemon == m_state.daemon && id.incarnation == m_state.incarnation;
  }
  /// @return whether the process of the intent ended, or ended its claim, so
  /// that an outcome that is not recorded yet never will be
  bool IsOutcomeLost(const IntentId& id) const;
  bool MarkEndedBelow(const std::string& daemon, std::uint64_t incarnation);
  void RefuseAllUnservableWaiters();
  void ForgetOldKeys(WallTime wall_now);

  // Appends.
  void Enqueue(LogEntry entry);
  void ScheduleBatch();
  void FlushBatch();
  void StartAppend(AppendIterator append);
  void OnAppendTimer(AppendIterator append);
  void ReplyToHandoffs(PendingAppend& append, AppendResult result);

  void SetTimer(std::optional<MonotonicTime>& timer,
                std::optional<MonotonicTime> at,
                Timer::Kind kind,
                std::uint64_t id);
  void Count(Counter counter) { m_effects.emplace_back(CountEvent{counter}); }

  State& m_state;
  MonotonicTime m_now;
  Effects m_effects;
};

}  // namespace jasminehatch::booking

#endif  // JASMINEHATCH_SRC_BOOKING_REDUCER_H_
