#include "jasminehatch/detail/forwarding/removed_processes.h"

#include <algorithm>

namespace jasminehatch::forwarding {

bool RemovedProcesses::Contains(const std::string& id,
                                std::uint64_t started_at) const {
  return std::any_of(
      m_processes.begin(), m_processes.end(), [&](const Process& process) {
        return process.id == id && process.started_at == started_at;
      });
}

}  // namespace jasminehatch::forwarding
