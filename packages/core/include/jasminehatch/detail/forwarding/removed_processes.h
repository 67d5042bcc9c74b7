#ifndef JASMINEHATCH_DETAIL_FORWARDING_REMOVED_PROCESSES_H_
#define JASMINEHATCH_DETAIL_FORWARDING_REMOVED_PROCESSES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace jasminehatch::forwarding {

/// @brief Processes of upstreams whose registry entry was removed, for the case
/// that the registry comes back from a copy that still has the entry. Memory is
/// bounded; the oldest one is dropped first.
class RemovedProcesses {
 public:
  static constexpr std::size_t kMaxProcesses = 4096;

  void Add(const std::string& id, std::uint64_t started_at) {
    if (m_processes.size() == kMaxProcesses) {
      m_processes.pop_front();
    }
    m_processes.push_back({id, started_at});
  }

  /// Forgets the processes of an id, since it has an entry again.
  void OnRegistered(const std::string& id) {
    std::erase_if(m_processes,
                  [&](const Process& process) { return process.id == id; });
  }

  bool Contains(const std::string& id, std::uint64_t started_at) const;

 private:
  struct Process {
    std::string id;
    std::uint64_t started_at = 0;
  };

  std::deque<Process> m_processes;  ///< Oldest first.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_REMOVED_PROCESSES_H_
