#ifndef JASMINEHATCH_DETAIL_LEASE_HOLD_REASON_H_
#define JASMINEHATCH_DETAIL_LEASE_HOLD_REASON_H_

#include <cstdint>

namespace jasminehatch::lease {

/// @brief Why the holder of a lease does not send an order that is due.
enum class HoldReason : std::uint8_t {
  kNone,
  kNoReport,       ///< No report since the decision.
  kBusy,           ///< The upstream carries out another order.
  kEarlierOrders,  ///< Orders of an earlier holder may still arrive.
};

}  // namespace jasminehatch::lease

#endif  // JASMINEHATCH_DETAIL_LEASE_HOLD_REASON_H_
