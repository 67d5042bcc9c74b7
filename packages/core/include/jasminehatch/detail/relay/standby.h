#ifndef JASMINEHATCH_DETAIL_RELAY_STANDBY_H_
#define JASMINEHATCH_DETAIL_RELAY_STANDBY_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch::relay {

/// @brief Keeps most daemons of a large fleet out of a task that one of them
/// does, such as a rollout under a lease: each would read the lease and try to
/// claim it. Those on standby join only when the task makes no progress.
class Standby {
 public:
  /// @param patience time without progress after which a daemon on standby
  /// joins; daemons join one after another within as much time again
  Standby(std::string_view daemon, Duration patience)
      : m_join_after(patience + JoinDelay(daemon, patience)) {}

  void SetStandby(bool on_standby) { m_on_standby = on_standby; }

  /// Records that the task began or went on.
  void OnProgress(MonotonicTime now) { m_progress_at = now; }

  /// @return whether this daemon takes part in the task
  bool TakesPart(MonotonicTime now) const {
    return !m_on_standby || now - m_progress_at >= m_join_after;
  }

 private:
  static Duration JoinDelay(std::string_view daemon, Duration patience) {
    constexpr std::uint64_t kSlots = 64;
    const auto slot =
        static_cast<Duration::rep>(forwarding::StableHash(daemon) % kSlots);
    return patience / static_cast<Duration::rep>(kSlots) * slot;
  }

  Duration m_join_after;
  MonotonicTime m_progress_at{};
  bool m_on_standby = false;
};

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_STANDBY_H_
