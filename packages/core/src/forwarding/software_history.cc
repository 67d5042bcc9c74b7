#include "jasminehatch/detail/forwarding/software_history.h"

#include "jasminehatch/detail/forwarding/stream_origins.h"

namespace jasminehatch::forwarding {

std::set<std::string> SoftwareHistory::Recent(const std::string& service,
                                              MonotonicTime now) const {
  std::set<std::string> versions;
  const auto found = m_last_seen.find(service);
  if (found == m_last_seen.end()) {
    return versions;
  }
  for (const auto& [version, seen_at] : found->second) {
    if (now <= seen_at + kMaxResumeTime) {
      versions.insert(version);
    }
  }
  return versions;
}

}  // namespace jasminehatch::forwarding
