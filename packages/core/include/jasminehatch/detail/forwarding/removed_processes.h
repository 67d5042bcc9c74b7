#ifndef JASMINEHATCH_DETAIL_FORWARDING_REMOVED_PROCESSES_H_
#define JASMINEHATCH_DETAIL_FORWARDING_REMOVED_PROCESSES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace jasminehatch::forwarding {

/// @brief Processes of upstreams whose registry entry was removed, for the case
/// that the registry comes back from a copy that still has the entry. Memory is
/// bounded; the oldest one is dropped first.
class RemovedProcesses {
 public:
  static constexpr std::size_t kMaxProcesses = 4096;

  void Add(const std::string& id, std::uint64_t started_at);

  /// Forgets the processes of an id, since it has an entry again.
  void OnRegistered(const std::string& id) { m_started_at.erase(id); }

  /// @return whether this process of the id, or a later one, was removed
  bool Contains(const std::string& id, std::uint64_t started_at) const;

 private:
  /// Start of the latest process by id.
  std::unordered_map<std::string, std::uint64_t> m_started_at;
  std::deque<std::string> m_ids;  ///< Oldest first; may be registered again.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_REMOVED_PROCESSES_H_
