#include "jasminehatch/detail/relay/record_mirror.h"

#include <algorithm>
#include <set>

namespace jasminehatch::relay {
namespace {

/// Removed keys that are remembered.
constexpr std::size_t kMaxRemovals = 4096;

/// What a mirror knew before a snapshot.
struct Known {
  const std::map<std::uint64_t, Record>& by_offset;
  std::uint64_t end = 0;
};

/// Finds the removals that a snapshot of the same topic does not show.
/// @return the removals, or nothing if the snapshot does not continue what was
/// known, or if a key was removed at an offset that is not known. A follower
/// behind that offset would miss the removal if it went on reading there.
std::optional<std::vector<Record>> FindRemovals(
    const Known& known,
    std::span<const Record> snapshot,
    std::uint64_t end) {
  if (known.end == 0 || end < known.end) {
    return std::nullopt;
  }
  std::set<std::string_view> keys;
  for (const Record& record : snapshot) {
    keys.insert(record.key);
  }
  std::vector<Record> removals;
  for (const auto& [offset, record] : known.by_offset) {
    if (keys.contains(record.key)) {
      continue;
    }
    if (!record.removed) {
      return std::nullopt;
    }
    removals.push_back(record);
  }
  return removals;
}

}  // namespace

void RecordMirror::Reset(std::span<const Record> records, std::uint64_t end) {
  const std::uint64_t complete_from = m_complete_from;
  const auto removals = FindRemovals({m_by_offset, m_end}, records, end);
  m_by_offset.clear();
  m_offsets.clear();
  m_removed = 0;
  for (const Record& record : records) {
    Add(record);
  }
  m_values_known_from = 0;
  // The snapshot does not tell which keys were removed before it.
  m_complete_from = end;
  m_end = end;
  if (removals) {
    m_complete_from = complete_from;
    for (const Record& removal : *removals) {
      Add(removal);
    }
  }
}

void RecordMirror::Add(const Record& record) {
  const auto known = m_offsets.find(record.key);
  if (known != m_offsets.end()) {
    const auto previous = m_by_offset.find(known->second);
    const bool renewal = !record.removed && !previous->second.removed &&
                         previous->first >= m_values_known_from &&
                         m_is_renewal(previous->second.value, record.value);
    if (renewal) {
      previous->second.value = record.value;
      return;
    }
    m_removed -= previous->second.removed ? 1 : 0;
    m_by_offset.erase(previous);
  }
  m_offsets[record.key] = record.offset;
  m_by_offset.insert_or_assign(record.offset, record);
  m_removed += record.removed ? 1 : 0;
  if (m_removed > kMaxRemovals) {
    ForgetOldRemovals();
  }
}

void RecordMirror::ForgetOldRemovals() {
  for (auto entry = m_by_offset.begin();
       entry != m_by_offset.end() && m_removed > kMaxRemovals / 2;) {
    if (!entry->second.removed) {
      ++entry;
      continue;
    }
    m_complete_from = std::max(m_complete_from, entry->first + 1);
    m_offsets.erase(entry->second.key);
    entry = m_by_offset.erase(entry);
    --m_removed;
  }
}

std::optional<RecordMirror::Delta> RecordMirror::Since(
    std::uint64_t offset,
    std::size_t max_bytes) const {
  if (offset < m_complete_from || offset > m_end) {
    return std::nullopt;
  }
  Delta delta;
  delta.end = m_end;
  std::size_t bytes = 0;
  for (auto entry = m_by_offset.lower_bound(offset); entry != m_by_offset.end();
       ++entry) {
    const Record& record = entry->second;
    if (bytes >= max_bytes) {
      delta.end = record.offset;
      delta.more = true;
      return delta;
    }
    bytes += record.key.size() + record.value.size();
    delta.records.push_back(record);
  }
  return delta;
}

}  // namespace jasminehatch::relay
