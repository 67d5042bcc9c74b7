#include "jasminehatch/detail/forwarding/upstream_replacement.h"

#include <algorithm>

namespace jasminehatch::forwarding {

void UpstreamReplacement::OnReplaced(MonotonicTime answered_at) {
  Exclude(answered_at, answered_at + kTimeLimit);
}

bool UpstreamReplacement::OnReported(MonotonicTime answered_at,
                                     MonotonicTime limit,
                                     MonotonicTime now) {
  if (m_record_read_at && *m_record_read_at - answered_at > kMaxRecordDelay) {
    return false;
  }
  Exclude(answered_at, std::min(answered_at + kTimeLimit, limit));
  return HoldsAt(now);
}

void UpstreamReplacement::Exclude(MonotonicTime answered_at,
                                  MonotonicTime until) {
  m_replaced_at = std::max(m_replaced_at, answered_at);
  m_excluded_until = std::max(m_excluded_until.value_or(until), until);
}

void UpstreamReplacement::OnRecord(MonotonicTime now) {
  m_record_read_at = now;
  if (now - m_replaced_at > kMaxRecordDelay) {
    m_excluded_until.reset();
  }
}

}  // namespace jasminehatch::forwarding
