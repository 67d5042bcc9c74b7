#include "jasminehatch/detail/routing/warm_up_state.h"

#include <algorithm>
#include <utility>

namespace jasminehatch {

void WarmUpState::OnEntry(Duration left, bool just_written, MonotonicTime now) {
  m_listed_until =
      left > Duration::zero() ? std::optional(now + left) : std::nullopt;
  // By now, the entry of a process that restarted before would have been read
  // instead.
  if (just_written && m_presumed_cold_at &&
      now - *m_presumed_cold_at >= kMaxRegistrationDelay) {
    m_presumed_cold_at.reset();
  }
}

void WarmUpState::OnUnreachable(Duration warm_up_time, MonotonicTime now) {
  m_presumed_cold_at = now;
  m_contacted = false;
  m_presumed_time = warm_up_time;
}

void WarmUpState::OnContact(MonotonicTime now) {
  if (m_presumed_cold_at && !std::exchange(m_contacted, true)) {
    m_presumed_cold_at = now;
  }
}

std::optional<MonotonicTime> WarmUpState::ColdUntil(MonotonicTime now) const {
  const MonotonicTime listed = m_listed_until.value_or(now);
  const MonotonicTime presumed_until =
      m_presumed_cold_at ? *m_presumed_cold_at + m_presumed_time : now;
  const MonotonicTime until = std::max(listed, presumed_until);
  return until > now ? std::optional(until) : std::nullopt;
}

bool WarmUpState::IsPresumedCold(MonotonicTime now) const {
  return ColdUntil(now) && m_listed_until.value_or(now) <= now;
}

bool WarmUpState::TakeColdStart(MonotonicTime now) {
  const auto until = ColdUntil(now);
  const bool reported = m_reported_until && now < *m_reported_until;
  m_reported_until = until;
  return until && !reported;
}

}  // namespace jasminehatch
