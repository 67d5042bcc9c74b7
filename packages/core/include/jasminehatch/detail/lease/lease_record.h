#ifndef JASMINEHATCH_DETAIL_LEASE_LEASE_RECORD_H_
#define JASMINEHATCH_DETAIL_LEASE_LEASE_RECORD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::lease {

/// @brief One process of a daemon.
struct Process {
  std::string daemon;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const Process&, const Process&) = default;
};

/// @brief Ends a lease early.
struct LeaseRelease {
  /// Time from the outcome of the holder's last order to sending the record;
  /// empty if the holder sent no order during its tenure.
  std::optional<Duration> since_last_order;
};

/// @brief Claims, renews or releases the lease of an upstream group in its
/// zone.
///
/// A record is accepted when `base` is the offset of the group's last accepted
/// record, so that every reader agrees on the holder. A reader that has missed
/// records accepts the next one, and all accept one whose writer has missed
/// some: a log that loses records appends one only at the end that its writer
/// has read, so that such a record follows all others. The epoch and the offset
/// of the record make up the fencing token.
struct LeaseRecord {
  std::string group;
  Process holder;
  std::uint64_t nonce = 0;
  std::uint64_t base = 0;  ///< Zero if no record was accepted before.
  /// Epoch of the log that `base` belongs to; zero if the log has none.
  std::uint32_t epoch = 0;
  bool follows_gap = false;             ///< The writer does not know the base.
  std::optional<LeaseRelease> release;  ///< Empty in claims and renewals.
};

}  // namespace jasminehatch::lease

#endif  // JASMINEHATCH_DETAIL_LEASE_LEASE_RECORD_H_
