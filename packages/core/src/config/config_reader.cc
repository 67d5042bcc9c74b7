#include "jasminehatch/detail/config/config_reader.h"

#include <algorithm>

namespace jasminehatch::config {
namespace {

/// Limit for incomplete snapshots. The one that covers the fewest records is
/// dropped first, since its writer has most likely abandoned it.
constexpr std::size_t kMaxPartialSnapshots = 8;

/// Number of changes kept for peers. A peer that needs older ones gets the
/// whole state, so the limit only bounds memory.
constexpr std::size_t kHistoryLimit = 2048;

}  // namespace

bool ConfigReader::Read(const Page& page) {
  const Version before = m_fold.CurrentVersion();
  if (page.next <= m_next) {
    return false;
  }
  if (page.from > m_next) {
    m_complete = false;
    m_pending.clear();
    m_partial_snapshots.clear();
    m_first = page.from;
    m_next = page.from;
  }
  for (const Record& record : page.records) {
    if (record.offset >= m_next && record.offset < page.next) {
      ApplyRecord(record);
      m_next = record.offset + 1;
    }
  }
  m_next = page.next;
  if (m_complete) {
    m_fold.SkipTo(m_next - 1);
  }
  return m_fold.CurrentVersion() != before;
}

bool ConfigReader::ReadSnapshot(std::span<const SnapshotPart> parts) {
  const Version before = m_fold.CurrentVersion();
  if (parts.empty() || parts.size() != parts.front().count) {
    return false;
  }
  const Version covers = parts.front().covers;
  if (covers <= m_fold.LastOffset()) {
    return false;
  }
  if (!m_complete && covers + 1 < m_first) {
    // The snapshot is newer than the fold, but records between the snapshot and
    // the contiguous ones are missing.
    m_fold = ConfigFold::FromParts(parts);
    m_history.clear();
    m_history_from = covers + 1;
    return m_fold.CurrentVersion() != before;
  }
  LoadSnapshot(parts);
  m_next = std::max(m_next, covers + 1);
  return m_fold.CurrentVersion() != before;
}

void ConfigReader::ApplyRecord(const Record& record) {
  if (const auto* part = std::get_if<SnapshotPart>(&record.body)) {
    AddPart(record.offset, *part);
    return;
  }
  const auto* change = std::get_if<ConfigChange>(&record.body);
  if (change == nullptr) {
    return;
  }
  if (!m_complete) {
    m_pending.push_back(record);
    return;
  }
  m_fold.Apply(record.offset, *change);
  AddToHistory(record);
}

void ConfigReader::AddPart(Version offset, const SnapshotPart& part) {
  // The record may come from another writer, so its numbers are validated.
  if (part.part >= part.count || part.covers >= offset ||
      part.version > part.covers) {
    return;
  }
  PartSet& set = m_partial_snapshots[{part.covers, part.count}];
  SnapshotPart& kept = set[part.part];
  kept = part;
  if (m_complete) {
    // A reader that has the state only needs to know which parts exist.
    kept.entries.clear();
    kept.outcomes.clear();
  }
  if (set.size() == part.count) {
    std::vector<SnapshotPart> parts;
    for (auto& [index, one] : set) {
      parts.push_back(std::move(one));
    }
    m_partial_snapshots.erase({part.covers, part.count});
    const bool usable =
        part.covers + 1 >= m_first && part.covers >= m_fold.LastOffset();
    if (!m_complete && usable) {
      LoadSnapshot(parts);
    }
    if (m_complete && (!m_snapshot || m_snapshot->covers <= part.covers)) {
      m_snapshot = Snapshot{part.covers, part.written};
      while (!m_history.empty() && m_history.front().offset <= part.covers) {
        m_history.pop_front();
      }
      m_history_from = std::max(m_history_from, part.covers + 1);
    }
  } else if (m_partial_snapshots.size() > kMaxPartialSnapshots) {
    m_partial_snapshots.erase(m_partial_snapshots.begin());
  }
}

void ConfigReader::LoadSnapshot(std::span<const SnapshotPart> parts) {
  m_fold = ConfigFold::FromParts(parts);
  m_complete = true;
  m_history.clear();
  m_history_from = m_fold.LastOffset() + 1;
  for (const Record& record : m_pending) {
    if (record.offset > parts.front().covers) {
      m_fold.Apply(record.offset, std::get<ConfigChange>(record.body));
      AddToHistory(record);
    }
  }
  m_pending.clear();
  for (auto& [id, set] : m_partial_snapshots) {
    for (auto& [index, part] : set) {
      part.entries.clear();
      part.outcomes.clear();
    }
  }
}

void ConfigReader::AddToHistory(const Record& record) {
  m_history.push_back(record);
  if (m_history.size() > kHistoryLimit) {
    m_history_from = m_history.front().offset + 1;
    m_history.pop_front();
  }
}

ConfigReader::PeerPage ConfigReader::PageFrom(Version from,
                                              std::size_t limit) const {
  PeerPage reply;
  const Version end = m_fold.LastOffset() + 1;
  if (from < m_history_from && from < end) {
    reply.snapshot =
        m_fold.ToParts(m_snapshot ? m_snapshot->written : WallTime{});
    reply.page.from = end;
    reply.page.next = end;
    return reply;
  }
  reply.page.from = from;
  reply.page.next = std::max(from, end);
  for (const Record& record : m_history) {
    if (record.offset < from) {
      continue;
    }
    if (reply.page.records.size() == limit) {
      reply.page.next = record.offset;
      break;
    }
    reply.page.records.push_back(record);
  }
  return reply;
}

}  // namespace jasminehatch::config
