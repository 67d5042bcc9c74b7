#ifndef JASMINEHATCH_DETAIL_FORWARDING_SHARED_CLOCK_H_
#define JASMINEHATCH_DETAIL_FORWARDING_SHARED_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief The clock that all upstreams and cache stores share, as this daemon
/// knows it. The reading is never ahead of the clock itself.
class SharedClock {
 public:
  /// Records a reading that was received at `now`.
  void OnRead(std::uint64_t clock_ms, MonotonicTime now) {
    m_read_ms = clock_ms;
    m_read_at = now;
  }

  /// @return the time at `now` in milliseconds, or nothing before a reading
  std::optional<std::uint64_t> At(MonotonicTime now) const {
    if (!m_read_ms) {
      return std::nullopt;
    }
    const auto elapsed = (now - m_read_at) / std::chrono::milliseconds(1);
    return *m_read_ms + static_cast<std::uint64_t>(elapsed);
  }

 private:
  std::optional<std::uint64_t> m_read_ms;
  MonotonicTime m_read_at{};
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_SHARED_CLOCK_H_
