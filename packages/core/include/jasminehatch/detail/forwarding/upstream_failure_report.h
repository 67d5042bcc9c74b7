#ifndef JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_FAILURE_REPORT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_FAILURE_REPORT_H_

#include <cstdint>
#include <string>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Proof that the process of a registry entry cannot be reached by
/// anyone. Timeouts are none, since the links of the observer may be the cause.
enum class UpstreamFailure {
  kReplaced,  ///< Another process answered at its address.
  kRefused,   ///< It refused a connection.
};

/// @brief A failure of an upstream, as daemons share it.
struct UpstreamFailureReport {
  std::string upstream;  ///< Id.
  /// `UpstreamEntry::started_at` of the entry that the observer used.
  std::uint64_t started_at = 0;
  UpstreamFailure failure = UpstreamFailure::kReplaced;
  Duration age{};  ///< Since the observation.
  /// The sender is not the observer. Such a report is not sent on, so that no
  /// report circulates.
  bool forwarded = false;

  friend bool operator==(const UpstreamFailureReport&,
                         const UpstreamFailureReport&) = default;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_FAILURE_REPORT_H_
