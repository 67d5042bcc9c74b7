#ifndef JASMINEHATCH_DETAIL_LEASE_EFFECT_H_
#define JASMINEHATCH_DETAIL_LEASE_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/lease/hold_reason.h"
#include "jasminehatch/detail/lease/lease_record.h"

namespace jasminehatch::lease {

/// Appends the record to the lease stream.
struct AppendLease {
  LeaseRecord record;
};

/// Reads the lease stream to its end.
struct ReadLeaseStream {};

/// @brief Action that an upstream is ordered to take.
enum class OrderKind { kLoad, kUnload, kDrain, kServe, kChangeRole };

/// Sends an order to an upstream. From `not_after` on the executor drops the
/// order instead, so that a process that was paused since the decision does not
/// send it late. The executor answers each order, also a dropped one, with
/// `OrderEnded`.
struct SendOrder {
  std::string group;
  std::string upstream;
  OrderKind kind = OrderKind::kLoad;
  std::string value;  ///< Model version or role; else empty.
  std::optional<std::uint64_t>
      fence;  ///< Fencing token; empty for upstreams that do not check it.
  MonotonicTime not_after{};
  /// Number of orders that the upstream must have accepted before this one;
  /// empty for upstreams that do not check it.
  std::optional<std::uint64_t> orders_accepted;
};

/// Reports that this process became the holder of a group's lease, or no longer
/// is.
struct HolderChanged {
  std::string group;
  bool holds = false;
};

/// Reports why the holder has not sent an order for some time; sent once per
/// reason.
struct OrderHeld {
  std::string group;
  std::string upstream;
  HoldReason reason = HoldReason::kNone;
};

using Effect = std::
    variant<AppendLease, ReadLeaseStream, SendOrder, HolderChanged, OrderHeld>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch::lease

#endif  // JASMINEHATCH_DETAIL_LEASE_EFFECT_H_
