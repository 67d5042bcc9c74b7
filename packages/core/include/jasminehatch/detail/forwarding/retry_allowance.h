#ifndef JASMINEHATCH_DETAIL_FORWARDING_RETRY_ALLOWANCE_H_
#define JASMINEHATCH_DETAIL_FORWARDING_RETRY_ALLOWANCE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

struct Options;

/// @brief This daemon's part of the fleet's retry allowance.
///
/// Per service and time window, the fleet may retry a share of its requests
/// (`Options::retry_ratio`) plus a fixed number (`Options::retry_slack`). Each
/// daemon applies the share to its own requests and takes an equal part of the
/// fixed number, so that the limit holds without coordination.
class RetryAllowance {
 public:
  /// Sets the number of daemons among which the slack is divided, at least
  /// `Options::min_daemons`.
  void SetDaemons(std::size_t daemons) { m_daemons = daemons; }

  void RecordRequest(const std::string& service,
                     MonotonicTime now,
                     const Options& options);

  /// @brief Counts a retry if it is within the allowance.
  /// @return whether a retry to the service may be sent
  bool TrySpend(const std::string& service,
                MonotonicTime now,
                const Options& options);

 private:
  struct Window {
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> retries;
  };

  Window& Trim(const std::string& service,
               MonotonicTime now,
               const Options& options);

  std::unordered_map<std::string, Window> m_windows;
  std::size_t m_daemons = 1;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_RETRY_ALLOWANCE_H_
