#include "jasminehatch/detail/forwarding/upstream.h"

#include <algorithm>
#include <chrono>

#include "jasminehatch/detail/base/exponential_delay.h"

namespace jasminehatch::forwarding {
namespace {

/// Weight of the latest attempt in the moving average of failures.
constexpr double kFailureWeight = 0.15;

/// Consecutive failures after which a reachable upstream is suspended.
constexpr std::uint32_t kFailureLimit = 3;

/// A sound upstream may be silent for about a second.
constexpr std::chrono::milliseconds kMaxSoundSilence{1500};

/// @return a share of failures with one more failure
double AddFailure(double share) {
  return share * (1 - kFailureWeight) + kFailureWeight;
}

}  // namespace

UpstreamNotice UpstreamNotice::AfterRestart(MonotonicTime now) const {
  UpstreamNotice notice;
  // A recent request for a pause may be of the new process.
  if (now - pause_requested_at < kMaxRegistrationDelay) {
    notice.pause_until = pause_until;
    notice.pause_requested_at = pause_requested_at;
  }
  return notice;
}

void UpstreamNotice::ExtendPause(Duration pause, MonotonicTime now) {
  pause_until = std::max(pause_until.value_or(now), now + pause);
  pause_requested_at = now;
}

void Upstream::RecordSuccess() {
  consecutive_failures = 0;
  suspended_until.reset();
  failure_share *= 1 - kFailureWeight;
}

void Upstream::RecordFailure(bool unreachable,
                             MonotonicTime now,
                             const Options& options) {
  ++consecutive_failures;
  failure_share = AddFailure(failure_share);
  const std::uint32_t limit = unreachable ? 1 : kFailureLimit;
  if (consecutive_failures < limit) {
    return;
  }
  suspended_until =
      now + ExponentialDelay(options.suspend_time, consecutive_failures - limit,
                             options.max_suspend_time);
}

void Upstream::RecordTimeout(MonotonicTime now, const Options& options) {
  if (silent_since && now - *silent_since > kMaxSoundSilence) {
    RecordFailure(/*unreachable=*/false, now, options);
    return;
  }
  failure_share = AddFailure(failure_share);
}

}  // namespace jasminehatch::forwarding
