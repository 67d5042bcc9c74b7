#include "jasminehatch/detail/relay/read_schedule.h"

#include <algorithm>
#include <chrono>

namespace jasminehatch::relay {
namespace {

using std::chrono::milliseconds;

/// A failed read is retried after this time, which doubles with each further
/// failure. The platform charges for each call to the store, including rejected
/// ones.
constexpr milliseconds kInitialRetryDelay{250};
constexpr milliseconds kMaxRetryDelay{1200};

/// Each delay is drawn at random between this fraction of its length and the
/// full length.
constexpr double kMinDelayFraction = 0.6;

/// Time for which a daemon whose reads fail leaves the reading to others of its
/// zone. Doubles with each further failure.
constexpr milliseconds kInitialReadPause{2000};
constexpr milliseconds kMaxReadPause{8000};

/// Time after a pause in which the daemon becomes the reader, reads and fails
/// again: two poll intervals and a short read.
constexpr milliseconds kReturnMargin{1000};

/// Time in which records that a peer knows of usually arrive through the relay:
/// one poll interval, and the reader's read.
constexpr milliseconds kRelayTime{600};

/// Age of what a follower knows, as a multiple of the age from which it would
/// read otherwise, from which it does not wait for others any more. The rest of
/// the time limit behind that age is for its own read.
constexpr double kMaxDeferredAgeFactor = 1.4;

}  // namespace

void ReadSchedule::OnKnown(MonotonicTime known_at) {
  m_known_at = std::max(m_known_at.value_or(known_at), known_at);
  if (known_at > m_announced_at) {
    m_announced_end = {};
  }
}

bool ReadSchedule::IsDeferred(MonotonicTime now) const {
  if (m_role != FeedRole::kFollower || now >= m_deferred_until) {
    return false;
  }
  const bool has_failed = m_read_pause > Duration::zero();
  const bool may_wait =
      m_known_at &&
      now - *m_known_at < std::chrono::duration_cast<Duration>(
                              m_max_relayed_age * kMaxDeferredAgeFactor);
  return has_failed || may_wait;
}

void ReadSchedule::OnAnnounced(LogPosition end, MonotonicTime now) {
  if (end > m_announced_end) {
    m_announced_end = end;
    m_announced_at = now;
  }
}

void ReadSchedule::OnReadSucceeded() {
  m_retry_delay = Duration::zero();
  m_read_pause = Duration::zero();
  m_paused_until = MonotonicTime{};
}

Duration ReadSchedule::OnReadFailed(MonotonicTime now, double draw) {
  m_retry_delay = std::clamp<Duration>(m_retry_delay * 2, kInitialRetryDelay,
                                       kMaxRetryDelay);
  if (m_role != FeedRole::kIndependent) {
    // By the next read, another daemon has taken over if it can.
    m_retry_delay = kMaxRetryDelay;
    if (now >= m_paused_until) {
      m_read_pause = std::clamp<Duration>(m_read_pause * 2, kInitialReadPause,
                                          kMaxReadPause);
      m_paused_until = now + m_read_pause;
    }
  }
  const double fraction = kMinDelayFraction + (1 - kMinDelayFraction) * draw;
  return std::chrono::duration_cast<Duration>(m_retry_delay * fraction);
}

Duration ReadSchedule::ReadPause(MonotonicTime now) const {
  return std::max<Duration>(m_paused_until - now, Duration::zero());
}

Duration ReadSchedule::ReportedPause(MonotonicTime now) const {
  return m_read_pause == Duration::zero()
             ? Duration::zero()
             : std::max<Duration>(m_paused_until + kReturnMargin - now,
                                  Duration::zero());
}

Duration ReadSchedule::TimeLeft(MonotonicTime now, LogPosition end) const {
  // A reader whose reads fail may know the feed from another daemon.
  const bool reads =
      m_role == FeedRole::kIndependent ||
      (m_role == FeedRole::kReader && ReadPause(now) == Duration::zero());
  if (reads || !m_known_at) {
    return Duration::zero();
  }
  Duration left = *m_known_at + m_max_relayed_age - now;
  if (m_announced_end > end) {
    left = std::min<Duration>(left, m_announced_at + kRelayTime - now);
  }
  if (IsDeferred(now)) {
    left = std::max<Duration>(left, m_deferred_until - now);
    if (m_read_pause == Duration::zero()) {
      left = std::min<Duration>(
          left, *m_known_at +
                    std::chrono::duration_cast<Duration>(
                        m_max_relayed_age * kMaxDeferredAgeFactor) -
                    now);
    }
  }
  return std::max(left, Duration::zero());
}

bool ReadSchedule::MayReadForProof(MonotonicTime now) const {
  return !IsDeferred(now);
}

}  // namespace jasminehatch::relay
