#include "operator_records.h"

#include <string>
#include <variant>

#include "dependency_log.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/forwarder/topic_follower.h"
#include "jasminehatch/platform.h"

namespace jasminehatch::daemon {

void OperatorRecords::ApplySnapshot(
    std::span<const platform::StoreRecord> records,
    SnapshotKind kind) {
  if (kind == SnapshotKind::kComplete) {
    m_host.Apply(
        forwarding::EvacuationsListed{platform::EvacuatedZones(records)});
  }
  for (const platform::StoreRecord& record : records) {
    Apply(record, false);
  }
}

void OperatorRecords::ApplyChanges(
    std::span<const platform::StoreRecord> records) {
  for (const platform::StoreRecord& record : records) {
    Apply(record, true);
  }
}

void OperatorRecords::Apply(const platform::StoreRecord& record,
                            bool just_written) {
  try {
    auto event = record.removed
                     ? platform::DecodeOperatorRemoval(record.key)
                     : platform::DecodeOperatorRecord(record.key, record.value);
    if (!event) {
      return;
    }
    if (auto* published = std::get_if<forwarding::WeightsPublished>(&*event)) {
      published->publish_time_known = just_written;
    }
    m_host.Apply(*event);
    LogDependency(
        m_log,
        record.removed ? "operator_record_removed" : "operator_record_applied",
        record.key, "offset " + std::to_string(record.offset));
  } catch (const CodecError& error) {
    LogDependency(m_log, "operator_record_invalid", record.key, error.what());
  }
}

}  // namespace jasminehatch::daemon
