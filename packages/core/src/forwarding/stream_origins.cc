#include "jasminehatch/detail/forwarding/stream_origins.h"

namespace jasminehatch::forwarding {

void StreamOrigins::Record(const StreamOrigin& origin,
                           bool is_own,
                           MonotonicTime now) {
  while (!m_oldest_first.empty() &&
         (m_oldest_first.front().first + kMaxResumeTime < now ||
          m_oldest_first.size() >= kMaxOrigins)) {
    m_entries.erase(m_oldest_first.front().second);
    m_oldest_first.pop_front();
  }
  if (m_entries.try_emplace(origin.stream, Entry{origin, is_own}).second) {
    m_oldest_first.emplace_back(now, origin.stream);
  }
}

const StreamOrigin* StreamOrigins::Find(std::uint64_t stream) const {
  const auto found = m_entries.find(stream);
  return found == m_entries.end() ? nullptr : &found->second.origin;
}

std::vector<StreamOrigin> StreamOrigins::TakeToShare(const StreamOrigin& origin,
                                                     bool several_versions) {
  if (!several_versions) {
    m_shared_services.erase(origin.service);
    return {};
  }
  if (!m_shared_services.insert(origin.service).second) {
    return {origin};
  }
  std::vector<StreamOrigin> origins;
  for (const auto& [stream, entry] : m_entries) {
    if (entry.is_own && entry.origin.service == origin.service) {
      origins.push_back(entry.origin);
    }
  }
  return origins;
}

}  // namespace jasminehatch::forwarding
