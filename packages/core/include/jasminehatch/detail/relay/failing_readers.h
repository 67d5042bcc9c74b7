#ifndef JASMINEHATCH_DETAIL_RELAY_FAILING_READERS_H_
#define JASMINEHATCH_DETAIL_RELAY_FAILING_READERS_H_

#include <cstddef>
#include <map>
#include <string>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::relay {

/// @brief The daemons of a zone whose own reads of a feed fail, as they report
/// it in their answers. Keeps the calls of a zone low while another daemon is
/// found that can read, or while there is none.
class FailingReaders {
 public:
  /// @brief Records that a daemon does not read the feed before a time.
  /// @return whether this is a further failure, not known before
  bool Report(const std::string& daemon,
              MonotonicTime until,
              MonotonicTime now);

  /// Records that a daemon's reads do not fail.
  void Clear(const std::string& daemon) {
    m_until.erase(daemon);
    m_failed.erase(daemon);
  }

  /// Records that some daemon answered a poll for the feed.
  void OnAnswer(MonotonicTime now) { m_answered_at = now; }

  bool IsFailing(const std::string& daemon, MonotonicTime now) const;

  /// @return whether the daemon's latest known read failed, not long ago
  bool HasFailed(const std::string& daemon, MonotonicTime now) const;

  /// @return whether so many daemons fail that probably none can read
  bool IsUnavailable(MonotonicTime now) const;

  /// @return whether another daemon may try now. While many fail, the daemons
  /// try one after another.
  bool MayTry(MonotonicTime now) const;

  /// @brief Until when a follower leaves it to others to read, although what it
  /// knows is too old. Ends soon after the last answer, so that a daemon whose
  /// peers are silent reads by itself.
  MonotonicTime DeferredUntil(MonotonicTime now) const;

 private:
  std::size_t Count(MonotonicTime now) const;

  std::map<std::string, MonotonicTime> m_until;   ///< By daemon.
  std::map<std::string, MonotonicTime> m_failed;  ///< Latest failure.
  MonotonicTime m_failed_at{};  ///< When the latest failure became known.
  MonotonicTime m_answered_at{};
};

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_FAILING_READERS_H_
