#ifndef JASMINEHATCH_FORWARDER_UPSTREAM_RECORDS_H_
#define JASMINEHATCH_FORWARDER_UPSTREAM_RECORDS_H_

#include <optional>
#include <span>

#include "jasminehatch/detail/forwarding/event.h"

namespace jasminehatch::platform {
struct StoreRecord;
}

namespace jasminehatch::telemetry {
class DecisionLog;
}

namespace jasminehatch::daemon {

class ForwardingHost;
enum class SnapshotKind;

/// @brief Decodes the records of the registry of upstreams and applies them. A
/// record that cannot be decoded is logged and skipped.
class UpstreamRecords {
 public:
  UpstreamRecords(ForwardingHost& host, telemetry::DecisionLog& log)
      : m_host(host), m_log(log) {}

  /// Replaces all upstreams by those of a complete snapshot. One of an older
  /// copy only adds upstreams.
  void ApplySnapshot(std::span<const platform::StoreRecord> records,
                     SnapshotKind kind);

  /// Applies records that were just written, in order.
  void ApplyChanges(std::span<const platform::StoreRecord> records);

  /// @return whether there has been an upstream
  bool HasHadUpstream() const { return m_has_had_upstream; }

 private:
  /// @return the entry, or nothing, with a log line, if the record is none
  std::optional<forwarding::UpstreamEntry> Decode(
      const platform::StoreRecord& record) const;

  ForwardingHost& m_host;
  telemetry::DecisionLog& m_log;
  bool m_has_had_upstream = false;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_UPSTREAM_RECORDS_H_
