#ifndef JASMINEHATCH_DETAIL_LEASE_EVENT_H_
#define JASMINEHATCH_DETAIL_LEASE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/lease/lease_record.h"
#include "jasminehatch/detail/lease/upstream_state.h"

namespace jasminehatch::lease {

/// An upstream belongs to a group of this zone.
struct UpstreamConfigured {
  std::string group;
  std::string upstream;
  bool checks_fencing = false;  ///< Rejects orders with an old fencing token.
  /// Rejects orders whose number of earlier orders differs from its own count,
  /// so that a late order of an earlier holder cannot follow a newer one.
  bool checks_order_count = false;
};

/// The configuration or a rollout set the desired state of an upstream.
struct DesiredChanged {
  std::string group;
  std::string upstream;
  UpstreamState desired;
};

/// An upstream is to get no further orders until a new desired state is set.
struct DesiredWithdrawn {
  std::string group;
  std::string upstream;
};

/// An upstream reported its state.
struct StateReported {
  std::string group;
  std::string upstream;
  UpstreamState reported;
  /// Number of orders that the upstream has accepted; empty if the state comes
  /// from a source without it, such as a registry.
  std::optional<std::uint64_t> orders_accepted;
  bool busy = false;  ///< It carries out an order.
};

/// An append failed or its outcome is unknown. A successful append is confirmed
/// by reading its record.
struct AppendFailed {
  std::string group;
};

/// @brief A record of the lease stream with its offset, which is at least one.
struct OffsetRecord {
  std::uint64_t offset = 0;
  LeaseRecord record;
};

/// The records of the lease stream after the last offset read, in log order.
struct LeaseRecordsRead {
  std::vector<OffsetRecord> records;
  bool at_end = false;  ///< The log had no further record.
};

/// Records of the lease stream may be gone that this process has not read. In
/// the known epoch they expired; the oldest ones that are left are read next.
/// In a higher one the log came back from an older copy and assigns offsets
/// again; its records are read from the beginning.
struct LeaseRecordsLost {
  std::uint32_t epoch = 0;  ///< Of the records that are read next.
};

/// @brief How an order ended.
enum class OrderOutcome : std::uint8_t {
  kAnswered,  ///< Accepted, or a repeat would have the same answer.
  kRejected,  ///< Not sent, or the upstream was busy or had another count.
  kUnknown,   ///< It may have been accepted, or take effect later.
};

/// The outcome of an order became known, or it is known that none will come.
struct OrderEnded {
  std::string group;
  std::string upstream;
  OrderOutcome outcome = OrderOutcome::kAnswered;
};

/// Whether this daemon wants the lease of a group; it does by default. A lease
/// that is no longer wanted is released once it may pass on without a wait.
struct LeaseWanted {
  std::string group;
  bool wanted = true;
};

/// The daemon is stopping; it sends no further order and releases its leases.
struct ShutdownRequested {};

/// The time returned by `State::NextTimer` was reached.
struct TimerFired {};

using Event = std::variant<UpstreamConfigured,
                           DesiredChanged,
                           DesiredWithdrawn,
                           StateReported,
                           AppendFailed,
                           LeaseRecordsRead,
                           LeaseRecordsLost,
                           OrderEnded,
                           LeaseWanted,
                           ShutdownRequested,
                           TimerFired>;

}  // namespace jasminehatch::lease

#endif  // JASMINEHATCH_DETAIL_LEASE_EVENT_H_
