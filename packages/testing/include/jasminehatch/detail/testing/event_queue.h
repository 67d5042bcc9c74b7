#ifndef JASMINEHATCH_DETAIL_TESTING_EVENT_QUEUE_H_
#define JASMINEHATCH_DETAIL_TESTING_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::testing {

/// @brief Simulated time: actions run in order of time, then of scheduling.
class EventQueue {
 public:
  using Action = std::function<void()>;

  MonotonicTime Now() const { return m_now; }
  double Seconds() const {
    return std::chrono::duration<double>(m_now.time_since_epoch()).count();
  }

  void After(double seconds, Action action) {
    m_entries.push({m_now + std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(seconds)),
                    m_next++, std::move(action)});
  }

  /// Runs all actions that are due by `seconds` since the start.
  void RunUntil(double seconds) {
    while (!m_entries.empty()) {
      const auto due = m_entries.top().due;
      if (std::chrono::duration<double>(due.time_since_epoch()).count() >
          seconds) {
        return;
      }
      // The action may schedule others, so it leaves the queue first.
      Action action = m_entries.top().action;
      m_entries.pop();
      m_now = due;
      action();
    }
  }

 private:
  struct Entry {
    MonotonicTime due;
    std::uint64_t number;
    Action action;

    bool operator<(const Entry& other) const {
      return std::pair(other.due, other.number) < std::pair(due, number);
    }
  };

  MonotonicTime m_now{};
  std::uint64_t m_next = 0;
  std::priority_queue<Entry> m_entries;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_EVENT_QUEUE_H_
