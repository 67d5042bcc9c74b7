#include "jasminehatch/detail/relay/failing_readers.h"

#include <algorithm>
#include <chrono>

namespace jasminehatch::relay {
namespace {

using std::chrono::milliseconds;

/// Two reports whose ends differ by less are the same failure: the difference
/// is the delay of a message.
constexpr milliseconds kSameFailureTolerance{500};

/// With this many failing daemons, the store counts as unavailable for the
/// zone. If it rejects a third of the daemons at random, the first three fail
/// in 1 of 27 cases.
constexpr std::size_t kUnavailableCount = 3;

/// Time after the end of its pause for which a daemon still counts as failing,
/// since nothing is known of its next read.
constexpr milliseconds kFailureMemory{2000};

/// Time for which daemons that failed come after those that have not. While
/// many are rejected, the attempts then reach every daemon of a zone, instead
/// of the best ranked ones again and again.
constexpr std::chrono::seconds kRankMemory{60};

/// Interval between the attempts of further daemons then. With the time until
/// the next daemon hears of the failure, one tries about every second.
constexpr milliseconds kTurnInterval{600};

/// Time in which the next daemon usually has taken over: two polls and a read
/// that times out.
constexpr milliseconds kHandoverTime{1500};

/// Time after the last answer from which the peers count as silent; two polls.
constexpr milliseconds kAnswerSilence{800};

}  // namespace

bool FailingReaders::Report(const std::string& daemon,
                            MonotonicTime until,
                            MonotonicTime now) {
  std::erase_if(m_until, [now](const auto& entry) {
    return entry.second + kFailureMemory <= now;
  });
  if (until <= now) {
    return false;
  }
  const auto known = m_until.find(daemon);
  const bool is_new =
      known == m_until.end() || until > known->second + kSameFailureTolerance;
  if (is_new) {
    m_failed_at = now;
    m_failed[daemon] = now;
  }
  m_until[daemon] = until;
  return is_new;
}

bool FailingReaders::IsFailing(const std::string& daemon,
                               MonotonicTime now) const {
  const auto found = m_until.find(daemon);
  return found != m_until.end() && found->second > now;
}

bool FailingReaders::HasFailed(const std::string& daemon,
                               MonotonicTime now) const {
  const auto found = m_failed.find(daemon);
  return found != m_failed.end() && now - found->second < kRankMemory;
}

std::size_t FailingReaders::Count(MonotonicTime now) const {
  return static_cast<std::size_t>(
      std::count_if(m_until.begin(), m_until.end(), [now](const auto& entry) {
        return entry.second + kFailureMemory > now;
      }));
}

bool FailingReaders::IsUnavailable(MonotonicTime now) const {
  return Count(now) >= kUnavailableCount;
}

bool FailingReaders::MayTry(MonotonicTime now) const {
  return !IsUnavailable(now) || now - m_failed_at >= kTurnInterval;
}

MonotonicTime FailingReaders::DeferredUntil(MonotonicTime now) const {
  const bool others_try = IsUnavailable(now) ||
                          (Count(now) > 0 && now - m_failed_at < kHandoverTime);
  return others_try ? m_answered_at + kAnswerSilence : MonotonicTime{};
}

}  // namespace jasminehatch::relay
