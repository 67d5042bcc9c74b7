#ifndef JASMINEHATCH_DETAIL_ROUTING_WARM_UP_STATE_H_
#define JASMINEHATCH_DETAIL_ROUTING_WARM_UP_STATE_H_

#include <chrono>
#include <optional>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch {

/// A restarted upstream may serve requests for this long before a daemon reads
/// its new registry entry.
inline constexpr std::chrono::seconds kMaxRegistrationDelay{3};

/// @brief What is known of the warm-up of one process of an upstream.
class WarmUpState {
 public:
  /// Applies a registry entry.
  /// @param left its remaining warm-up time. The age of a record is not known,
  /// so the time counts from now.
  /// @param just_written false for an entry of a snapshot, which may be older
  /// than the latest failure
  void OnEntry(Duration left, bool just_written, MonotonicTime now);

  /// Records that the upstream could not be reached, so that it may have
  /// restarted under its id.
  /// @param warm_up_time for which it is cold after a restart
  void OnUnreachable(Duration warm_up_time, MonotonicTime now);

  /// Records a response. After a failure, the warm-up time counts from the
  /// first one.
  void OnContact(MonotonicTime now);

  /// @return the end of the warm-up if the upstream is cold at `now`
  std::optional<MonotonicTime> ColdUntil(MonotonicTime now) const;

  /// @return whether the upstream counts as cold only because it could not be
  /// reached
  bool IsPresumedCold(MonotonicTime now) const;

  /// @return whether the upstream is cold and was not when it was last asked,
  /// for logs
  bool TakeColdStart(MonotonicTime now);

 private:
  /// End of the warm-up according to the registry.
  std::optional<MonotonicTime> m_listed_until;
  /// The latest failure to reach it, or the first response after it.
  std::optional<MonotonicTime> m_presumed_cold_at;
  bool m_contacted = false;  ///< Whether there was a response after it.
  Duration m_presumed_time{};
  std::optional<MonotonicTime> m_reported_until;
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_ROUTING_WARM_UP_STATE_H_
