#include "upstream_records.h"

#include <utility>

#include "dependency_log.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/forwarder/topic_follower.h"
#include "jasminehatch/platform.h"

namespace jasminehatch::daemon {

void UpstreamRecords::ApplySnapshot(
    std::span<const platform::StoreRecord> records,
    SnapshotKind kind) {
  forwarding::UpstreamsListed listed;
  listed.from_older_copy = kind == SnapshotKind::kOlderCopy;
  for (const platform::StoreRecord& record : records) {
    if (auto entry = Decode(record)) {
      listed.entries.push_back(std::move(*entry));
    }
  }
  m_has_had_upstream = m_has_had_upstream || !listed.entries.empty();
  m_host.Apply(listed);
}

void UpstreamRecords::ApplyChanges(
    std::span<const platform::StoreRecord> records) {
  for (const platform::StoreRecord& record : records) {
    if (record.removed) {
      LogDependency(m_log, "upstream_removed", record.key, "");
      m_host.Apply(forwarding::UpstreamRemoved{record.key});
      continue;
    }
    if (auto entry = Decode(record)) {
      m_has_had_upstream = true;
      m_host.Apply(forwarding::UpstreamRegistered{std::move(*entry)});
    }
  }
}

std::optional<forwarding::UpstreamEntry> UpstreamRecords::Decode(
    const platform::StoreRecord& record) const {
  auto entry = platform::DecodeUpstreamRecord(record.key, record.value);
  if (!entry) {
    LogDependency(m_log, "upstream_record_invalid", record.key, "");
  }
  return entry;
}

}  // namespace jasminehatch::daemon
