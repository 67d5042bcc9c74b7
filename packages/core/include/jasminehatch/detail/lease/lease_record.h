#ifndef JASMINEHATCH_DETAIL_LEASE_LEASE_RECORD_H_
#define JASMINEHATCH_DETAIL_LEASE_LEASE_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>

namespace jasminehatch::lease {

/// @brief One process of a daemon.
struct Process {
  std::string daemon;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const Process&, const Process&) = default;
};

/// @brief Claims or renews the lease of an upstream group in its zone.
///
/// A record is accepted when `base` is the offset of the group's last accepted
/// record, so that every reader agrees on the holder. The offset of the record
/// is the fencing token.
struct LeaseRecord {
  std::string group;
  Process holder;
  std::uint64_t nonce = 0;
  std::uint64_t base = 0;  ///< Zero if no record was accepted before.
};

}  // namespace jasminehatch::lease

#endif  // JASMINEHATCH_DETAIL_LEASE_LEASE_RECORD_H_
