#ifndef JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_REPLACEMENT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_REPLACEMENT_H_

#include <chrono>
#include <optional>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Whether another process has taken the address of an upstream's
/// registry entry.
///
/// A response of that other process proves it. The knowledge belongs to one
/// entry, and ends with it when the address or the start time changes.
class UpstreamReplacement {
 public:
  /// Time after which the upstream is used again without a later record. It is
  /// longer than the 3.6 s after which the entry of an ended process expires,
  /// and short enough for a wrongly excluded upstream whose renewals this
  /// daemon does not see because its records are relayed.
  static constexpr std::chrono::seconds kTimeLimit{6};

  /// Maximum time between the write of a record and its arrival here while the
  /// store works; the registry is read with pauses of up to 1.1 s. A record
  /// that is read sooner after the response may have been written before it. If
  /// the store is slower, the cost is one more attempt that does not run.
  static constexpr std::chrono::milliseconds kMaxRecordDelay{1500};

  /// Records that another process answered at the address.
  void OnReplaced(MonotonicTime answered_at);

  /// The same, as another daemon reported it. Ignored if a later record of the
  /// entry was read.
  /// @param limit latest end of the exclusion
  /// @return whether the upstream is considered replaced
  bool OnReported(MonotonicTime answered_at,
                  MonotonicTime limit,
                  MonotonicTime now);

  /// Records that a record of the same entry was read that had just been
  /// written.
  void OnRecord(MonotonicTime now);

  /// Records that the process of the entry answered.
  void OnResponse() { m_excluded_until.reset(); }

  /// @return whether the upstream is considered replaced
  bool HoldsAt(MonotonicTime now) const {
    return m_excluded_until && now < *m_excluded_until;
  }

 private:
  void Exclude(MonotonicTime answered_at, MonotonicTime until);

  MonotonicTime m_replaced_at{};  ///< Latest response of the other process.
  std::optional<MonotonicTime> m_excluded_until;
  std::optional<MonotonicTime> m_record_read_at;  ///< Latest record.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_REPLACEMENT_H_
