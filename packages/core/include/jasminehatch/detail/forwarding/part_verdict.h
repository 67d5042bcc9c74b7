#ifndef JASMINEHATCH_DETAIL_FORWARDING_PART_VERDICT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PART_VERDICT_H_

#include <cstdint>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Whether a prompt part is quarantined, as daemons share it.
///
/// Of two verdicts on a part, the one with the higher epoch holds, then the one
/// with more probes; clocks and the order of messages do not matter.
struct PartVerdict {
  std::uint64_t part = 0;   ///< Hash of the part's id.
  std::uint32_t epoch = 0;  ///< Odd while the part is quarantined.
  /// Requests with the part that were let through during the quarantine, to
  /// find out whether it still crashes upstreams.
  std::uint32_t probes = 0;
  Duration age{};  ///< Since the quarantine or its end.
  /// Since the first crash on which a quarantine is based.
  Duration evidence_age{};

  bool IsQuarantine() const { return epoch % 2 == 1; }

  friend bool operator==(const PartVerdict&, const PartVerdict&) = default;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PART_VERDICT_H_
