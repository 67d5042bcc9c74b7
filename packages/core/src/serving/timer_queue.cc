#include "jasminehatch/detail/serving/timer_queue.h"

namespace jasminehatch::serving {

std::optional<MonotonicTime> TimerQueue::Next() const {
  return m_timers.empty() ? std::nullopt : std::optional(m_timers.begin()->at);
}

std::optional<TimerQueue::Timer> TimerQueue::PopDue(MonotonicTime now) {
  if (m_timers.empty() || m_timers.begin()->at > now) {
    return std::nullopt;
  }
  return m_timers.extract(m_timers.begin()).value();
}

}  // namespace jasminehatch::serving
