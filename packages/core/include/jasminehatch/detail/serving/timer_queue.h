#ifndef JASMINEHATCH_DETAIL_SERVING_TIMER_QUEUE_H_
#define JASMINEHATCH_DETAIL_SERVING_TIMER_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::serving {

/// @brief Timers ordered by time; setting and clearing take logarithmic time.
class TimerQueue {
 public:
  enum class Kind {
    kRequestDeadline,   ///< `id` is a request.
    kRequestWaitLimit,  ///< `id` is a request.
    kRequestRetry,      ///< `id` is a request.
    kUpstreamPauseEnd,  ///< `id` is an upstream that requested a pause.
    kCacheResync,       ///< `id` is an upstream whose listing is missing.
    kUpstreamRoom,      ///< `id` is a cold upstream that may get a request.
  };

  struct Timer {
    MonotonicTime at{};
    Kind kind{};
    std::uint64_t id = 0;

    friend auto operator<=>(const Timer&, const Timer&) = default;
  };

  void Set(const Timer& timer) { m_timers.insert(timer); }
  void Clear(const Timer& timer) { m_timers.erase(timer); }

  /// @return the earliest time, if any timer is set
  std::optional<MonotonicTime> Next() const;

  /// @brief Removes and returns the earliest timer that is due.
  std::optional<Timer> PopDue(MonotonicTime now);

  std::size_t Size() const { return m_timers.size(); }

 private:
  std::set<Timer> m_timers;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_TIMER_QUEUE_H_
