#ifndef JASMINEHATCH_FORWARDER_OPERATOR_RECORDS_H_
#define JASMINEHATCH_FORWARDER_OPERATOR_RECORDS_H_

#include <span>

namespace jasminehatch::platform {
struct StoreRecord;
}

namespace jasminehatch::telemetry {
class DecisionLog;
}

namespace jasminehatch::daemon {

class ForwardingHost;
enum class SnapshotKind;

/// @brief Decodes the records that the operators wrote to the platform's store
/// and applies them. A record that cannot be decoded is logged and skipped.
class OperatorRecords {
 public:
  OperatorRecords(ForwardingHost& host, telemetry::DecisionLog& log)
      : m_host(host), m_log(log) {}

  /// Applies the records of a snapshot. If it is complete, the evacuations
  /// without a record end.
  void ApplySnapshot(std::span<const platform::StoreRecord> records,
                     SnapshotKind kind);

  /// Applies records that were just written.
  void ApplyChanges(std::span<const platform::StoreRecord> records);

 private:
  /// Applies a record or its removal.
  /// @param just_written false for records of a snapshot, whose age is unknown
  void Apply(const platform::StoreRecord& record, bool just_written);

  ForwardingHost& m_host;
  telemetry::DecisionLog& m_log;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_OPERATOR_RECORDS_H_
