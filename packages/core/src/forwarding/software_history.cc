#include "jasminehatch/detail/forwarding/software_history.h"

#include "jasminehatch/detail/forwarding/stream_origins.h"

namespace jasminehatch::forwarding {

void SoftwareHistory::OnJoined(const std::string& service,
                               const std::string& version,
                               MonotonicTime now) {
  // Others may have read of its end earlier, and count it for less long.
  constexpr auto kCountedByAll = kMaxResumeTime / 2;
  const auto& seen = m_last_seen[service];
  const auto last_seen = seen.find(version);
  if (last_seen == seen.end() || now > last_seen->second + kCountedByAll) {
    m_joined_at[service][version] = now;
  }
}

std::optional<MonotonicTime> SoftwareHistory::JoinedAt(
    const std::string& service,
    const std::string& version) const {
  const auto versions = m_joined_at.find(service);
  if (versions == m_joined_at.end()) {
    return std::nullopt;
  }
  const auto joined = versions->second.find(version);
  return joined == versions->second.end() ? std::nullopt
                                          : std::optional(joined->second);
}

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
