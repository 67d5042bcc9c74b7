#ifndef JASMINEHATCH_DETAIL_LEASE_STATE_H_
#define JASMINEHATCH_DETAIL_LEASE_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/lease/hold_reason.h"
#include "jasminehatch/detail/lease/lease_record.h"
#include "jasminehatch/detail/lease/options.h"
#include "jasminehatch/detail/lease/upstream_state.h"

namespace jasminehatch::lease {

/// @brief What the holder knows of one upstream.
struct Upstream {
  bool checks_fencing = false;
  bool checks_order_count = false;
  std::optional<UpstreamState> desired;
  std::optional<UpstreamState> reported;
  MonotonicTime reported_at{};
  /// From a report since the desired state was set.
  std::optional<std::uint64_t> orders_accepted;
  std::optional<MonotonicTime> retry_at;  ///< Empty before the first order.
  bool busy = false;
  HoldReason hold_reason = HoldReason::kNone;
  MonotonicTime held_since{};
  bool hold_reported = false;  ///< `OrderHeld` was sent for the reason.
};

/// @brief The lease of one upstream group as read from the log.
struct Group {
  std::map<std::string, Upstream> upstreams;
  std::uint64_t offset = 0;  ///< Of the last accepted record; zero for none.
  /// Records before the next one are gone, so that its base is not known.
  bool follows_gap = false;
  Process holder;
  MonotonicTime read_at{};     ///< When the last accepted record was read.
  MonotonicTime sent_at{};     ///< When this process sent that record.
  MonotonicTime held_until{};  ///< This process may send orders before this.
  bool wanted = true;          ///< This process claims the lease.
  std::optional<LeaseRelease> release;  ///< Of the last accepted record.
  /// When the last order of this process's tenure as holder ended.
  std::optional<MonotonicTime> last_order_at;
  std::uint32_t orders_in_flight = 0;    ///< Sent and not ended.
  MonotonicTime earlier_orders_until{};  ///< Orders of earlier holders have
                                         ///< arrived by then.
  std::map<std::uint64_t, MonotonicTime>
      sent;  ///< Records of this process with the current base, by nonce.
  std::optional<MonotonicTime>
      retry_at;                   ///< When the outstanding append is repeated.
  bool reported_holding = false;  ///< `holds` of the last `HolderChanged`.
};

/// @brief State of the lease reducer of one daemon process.
struct State {
  Options options;
  Process self;
  std::map<std::string, Group> groups;
  std::optional<MonotonicTime> read_to_end_at;
  bool reading = false;
  bool shutting_down = false;
  std::uint32_t epoch = 0;  ///< Epoch of the log; zero if it has none.
  /// When this process learned that records of the log may be gone. Others may
  /// hold leases by such records.
  std::optional<MonotonicTime> records_lost_at;
  std::uint64_t next_nonce = 1;
  std::optional<MonotonicTime> next_timer;

  /// @return the fencing token of a group's last accepted record, which is
  /// higher than those of all earlier records, also of earlier epochs
  std::uint64_t FencingToken(const Group& group) const {
    constexpr unsigned kOffsetBits = 32;
    return (std::uint64_t{epoch} << kOffsetBits) + group.offset;
  }

  /// @return when the next `TimerFired` is due, if at all
  std::optional<MonotonicTime> NextTimer() const { return next_timer; }
};

}  // namespace jasminehatch::lease

#endif  // JASMINEHATCH_DETAIL_LEASE_STATE_H_
