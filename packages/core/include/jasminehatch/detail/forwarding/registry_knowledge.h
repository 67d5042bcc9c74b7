#ifndef JASMINEHATCH_DETAIL_FORWARDING_REGISTRY_KNOWLEDGE_H_
#define JASMINEHATCH_DETAIL_FORWARDING_REGISTRY_KNOWLEDGE_H_

#include <algorithm>
#include <optional>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Up to which time this daemon knows the registry, and whether it may
/// have missed records of it.
class RegistryKnowledge {
 public:
  /// Records that this daemon knows all that the registry had at that time.
  /// Ignored while the registry comes from an older copy, which may lack
  /// entries that were written before.
  void OnKnown(MonotonicTime known_at) {
    if (!m_from_older_copy) {
      m_known_at = std::max(m_known_at.value_or(known_at), known_at);
    }
  }

  /// Records that all entries were read.
  void OnListed(bool from_older_copy) { m_from_older_copy = from_older_copy; }

  /// Records that entries may have come and gone unread until now.
  void OnGap(MonotonicTime now) { m_gap_ended_at = now; }

  /// @return the latest time of which the registry is known
  std::optional<MonotonicTime> KnownAt() const { return m_known_at; }

  /// @return whether entries may have come and gone unread within the time
  /// before now
  bool HasGapWithin(Duration time, MonotonicTime now) const {
    return m_gap_ended_at && now <= *m_gap_ended_at + time;
  }

 private:
  std::optional<MonotonicTime> m_known_at;
  std::optional<MonotonicTime> m_gap_ended_at;
  bool m_from_older_copy = false;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_REGISTRY_KNOWLEDGE_H_
