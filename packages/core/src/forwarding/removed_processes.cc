#include "jasminehatch/detail/forwarding/removed_processes.h"

#include <algorithm>

namespace jasminehatch::forwarding {

void RemovedProcesses::Add(const std::string& id, std::uint64_t started_at) {
  const auto [entry, inserted] = m_started_at.emplace(id, started_at);
  entry->second = std::max(entry->second, started_at);
  if (!inserted) {
    return;
  }
  m_ids.push_back(id);
  if (m_ids.size() > kMaxProcesses) {
    m_started_at.erase(m_ids.front());
    m_ids.pop_front();
  }
}

bool RemovedProcesses::Contains(const std::string& id,
                                std::uint64_t started_at) const {
  const auto found = m_started_at.find(id);
  return found != m_started_at.end() && started_at <= found->second;
}

}  // namespace jasminehatch::forwarding
