#include "jasminehatch/detail/booking/step.h"

#include <algorithm>
#include <array>
#include <utility>

#include "jasminehatch/detail/booking/state.h"
#include "reducer.h"

namespace jasminehatch::booking {

void Reducer::SetTimer(std::optional<MonotonicTime>& timer,
                       std::optional<MonotonicTime> at,
                       Timer::Kind kind,
                       std::uint64_t id) {
  if (timer) {
    m_state.timers.erase(Timer{*timer, kind, id});
  }
  timer = at;
  if (timer) {
    m_state.timers.insert(Timer{*timer, kind, id});
  }
}

Effects Reducer::TakeEffects() {
  // The batcher collects entries of the whole zone; a delay here would add to
  // its batch interval.
  if (!m_state.batch.empty() && !m_state.batcher.empty()) {
    FlushBatch();
  }
  return std::move(m_effects);
}

void Reducer::Apply(const TimerFired& /*event*/) {
  if (m_state.batch_due && *m_state.batch_due <= m_now) {
    FlushBatch();
  }
  while (!m_state.timers.empty() && m_state.timers.begin()->at <= m_now) {
    const Timer timer = *m_state.timers.begin();
    switch (timer.kind) {
      case Timer::Kind::kAppend:
        OnAppendTimer(m_state.appends.find(AppendId{timer.id}));
        break;
      case Timer::Kind::kClaim:
        OnClaimTimer(m_state.claims.find(timer.id));
        break;
      case Timer::Kind::kWaiter:
        RefuseWaiter(RequestId{timer.id});
        break;
    }
  }
}

std::optional<MonotonicTime> State::NextTimer() const {
  if (timers.empty()) {
    return batch_due;
  }
  return batch_due ? std::min(*batch_due, timers.begin()->at)
                   : timers.begin()->at;
}

Effects Step(const Event& event, MonotonicTime now, State& state) {
  Reducer reducer(state, now);
  std::visit([&](const auto& body) { reducer.Apply(body); }, event);
  return reducer.TakeEffects();
}

std::string_view ToString(Stage stage) {
  static constexpr std::array<std::string_view, 4> kNames{"unknown", "accepted",
                                                          "sent", "done"};
  return kNames.at(static_cast<std::size_t>(stage));
}

}  // namespace jasminehatch::booking
