#ifndef JASMINEHATCH_DETAIL_FORWARDER_LEASE_TOPIC_H_
#define JASMINEHATCH_DETAIL_FORWARDER_LEASE_TOPIC_H_

#include <cstdint>
#include <functional>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/lease/event.h"

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::platform {
class StoreClient;
struct StorePage;
}  // namespace jasminehatch::platform

namespace jasminehatch::telemetry {
class DecisionLog;
}

namespace jasminehatch::daemon {

/// @brief Reads and appends the lease records in the platform's store. Reads
/// one page after another up to the end of the topic.
class LeaseTopic {
 public:
  struct Callbacks {
    /// Records in order. Offsets start at one, as the lease reducer counts
    /// them.
    std::function<void(const lease::LeaseRecordsRead&)> on_records;
    std::function<void()> on_read_failed;
    /// The append failed, its outcome is unknown, or another record precedes
    /// it. The topic is read again afterwards.
    std::function<void()> on_append_failed;
    /// Records expired before they were read, or the store named its first or a
    /// higher epoch. The records that are left are read afterwards.
    std::function<void(const lease::LeaseRecordsLost&)> on_records_lost;
  };

  LeaseTopic(const Clock& clock,
             platform::StoreClient& store,
             telemetry::DecisionLog& log,
             Callbacks callbacks);

  /// Reads the records after those already read, unless a read is in progress.
  void Read();

  /// Starts over if the epoch of the store is higher than that of the records
  /// already read.
  void OnEpoch(std::uint32_t epoch);

  /// Appends a record, if it follows those already read.
  void Append(const lease::LeaseRecord& record);

  /// @return when the latest read was sent
  MonotonicTime LastReadAt() const { return m_last_read_at; }

 private:
  void OnPage(std::uint64_t from, const platform::StorePage& page);

  const Clock& m_clock;
  platform::StoreClient& m_store;
  telemetry::DecisionLog& m_log;
  Callbacks m_callbacks;
  std::uint64_t m_next_offset = 0;
  std::uint32_t m_epoch = 0;  ///< Epoch of the store that offsets belong to.
  MonotonicTime m_last_read_at{};
  bool m_read_pending = false;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_LEASE_TOPIC_H_
