#ifndef JASMINEHATCH_DETAIL_RELAY_READ_SCHEDULE_H_
#define JASMINEHATCH_DETAIL_RELAY_READ_SCHEDULE_H_

#include <optional>

#include "jasminehatch/detail/base/log_position.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/relay/feed_role.h"

namespace jasminehatch::relay {

/// @brief Decides when a daemon reads a topic of the store by itself.
///
/// A reader and an independent daemon read all the time. A follower reads when
/// what it knows is too old, or when there are records that did not reach it.
/// While other daemons look for one that can read, it waits longer, but not
/// without limit before its own first failure: it may be able to read.
class ReadSchedule {
 public:
  /// @param max_relayed_age age of what a follower knows from which it reads
  explicit ReadSchedule(Duration max_relayed_age)
      : m_max_relayed_age(max_relayed_age) {}

  void SetRole(FeedRole role) { m_role = role; }
  FeedRole Role() const { return m_role; }

  /// Records that nothing followed the end offset at this time.
  void OnKnown(MonotonicTime known_at);

  /// @return when nothing followed the end offset; empty before the first read
  std::optional<MonotonicTime> KnownAt() const { return m_known_at; }

  /// Leaves it to others to read until then, while this daemon is a follower.
  void Defer(MonotonicTime until) { m_deferred_until = until; }

  /// Records that a peer knows records up to a position.
  void OnAnnounced(LogPosition end, MonotonicTime now);

  void OnReadSucceeded();

  /// @brief Records a failed read.
  /// @param draw random number from 0 to 1, so that daemons that lost the store
  /// together do not retry together
  /// @return the delay after which to read again
  Duration OnReadFailed(MonotonicTime now, double draw);

  /// @return the time for which this daemon is no reader because its reads
  /// fail; zero if they do not
  Duration ReadPause(MonotonicTime now) const;

  /// @return the pause to report to others. It is longer, so that they do not
  /// turn to this daemon before it has tried again.
  Duration ReportedPause(MonotonicTime now) const;

  /// @return the time for which the next read is not needed
  Duration TimeLeft(MonotonicTime now, LogPosition end) const;

  /// @return whether this daemon reads for a freshness proof that it lacks
  bool MayReadForProof(MonotonicTime now) const;

 private:
  bool IsDeferred(MonotonicTime now) const;

  Duration m_max_relayed_age;
  FeedRole m_role = FeedRole::kIndependent;
  std::optional<MonotonicTime> m_known_at;
  MonotonicTime m_deferred_until{};
  LogPosition m_announced_end;
  MonotonicTime m_announced_at{};
  Duration m_retry_delay{};        ///< Of the latest failure; 0 for none.
  Duration m_read_pause{};         ///< Length of the latest pause.
  MonotonicTime m_paused_until{};  ///< End of the latest pause.
};

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_READ_SCHEDULE_H_
