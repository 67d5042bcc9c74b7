#ifndef JASMINEHATCH_DETAIL_FORWARDING_CONFIGURATION_LAG_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CONFIGURATION_LAG_H_

#include <algorithm>
#include <chrono>

#include "jasminehatch/detail/base/log_position.h"
#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Tells whether the operators have written records that this daemon has
/// not read, as far as its peers have announced them. A daemon that is cut off
/// from the store, or was suspended, may have to wait for them.
class ConfigurationLag {
 public:
  /// Time for which unread records do not count as a lag. A daemon with access
  /// to the store reads a record within this time after its peers, and using
  /// other cache scopes until then would make its caches cold with each record.
  static constexpr std::chrono::milliseconds kReadingTime{800};

  /// A peer has read the operators' records up to this position.
  void OnAnnounced(LogPosition end, MonotonicTime now) {
    if (end > m_announced_end) {
      if (!HasUnreadRecords()) {
        m_behind_since = now;
      }
      m_announced_end = end;
      m_announced_at = now;
    }
  }

  /// @return the newest position that a peer announced and this daemon has not
  /// confirmed since
  LogPosition AnnouncedEnd() const { return m_announced_end; }

  /// This daemon has read all records up to this position, and there were no
  /// more at this time.
  void OnConfirmed(LogPosition end, MonotonicTime confirmed_at) {
    m_read_end = std::max(m_read_end, end);
    // A store that has lost records, and names no epoch, may never reach the
    // announced offset again.
    if (confirmed_at > m_announced_at) {
      m_announced_end = std::min(m_announced_end, m_read_end);
    }
  }

  /// @return whether there have been records for more than `kReadingTime` that
  /// this daemon has not read
  bool IsBehind(MonotonicTime now) const {
    return HasUnreadRecords() && now - m_behind_since > kReadingTime;
  }

 private:
  bool HasUnreadRecords() const { return m_announced_end > m_read_end; }

  LogPosition m_announced_end;
  MonotonicTime m_announced_at{};
  MonotonicTime m_behind_since{};  ///< Since when there are unread records.
  LogPosition m_read_end;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CONFIGURATION_LAG_H_
