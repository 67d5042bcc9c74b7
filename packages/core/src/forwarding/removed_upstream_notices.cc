#include "jasminehatch/detail/forwarding/removed_upstream_notices.h"

#include <algorithm>

namespace jasminehatch::forwarding {

void RemovedUpstreamNotices::Store(const std::string& id,
                                   std::uint64_t started_at,
                                   const UpstreamNotice& notice) {
  std::erase_if(m_notices, [&](const auto& other) { return other.id == id; });
  if (m_notices.size() == kMaxNotices) {
    m_notices.pop_front();
  }
  m_notices.push_back({id, started_at, notice});
}

UpstreamNotice RemovedUpstreamNotices::Take(const std::string& id,
                                            std::uint64_t started_at,
                                            MonotonicTime now) {
  const auto found =
      std::find_if(m_notices.begin(), m_notices.end(),
                   [&](const auto& removed) { return removed.id == id; });
  if (found == m_notices.end()) {
    return {};
  }
  const RemovedUpstream removed = *found;
  m_notices.erase(found);
  return removed.started_at == started_at ? removed.notice
                                          : removed.notice.AfterRestart(now);
}

}  // namespace jasminehatch::forwarding
