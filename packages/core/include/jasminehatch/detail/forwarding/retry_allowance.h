#ifndef JASMINEHATCH_DETAIL_FORWARDING_RETRY_ALLOWANCE_H_
#define JASMINEHATCH_DETAIL_FORWARDING_RETRY_ALLOWANCE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

struct Options;

/// @brief This daemon's part of the retries that all daemons may make.
///
/// The allowance of the fleet is a share of the requests plus a number, both
/// per service and time window. A daemon uses the share of its own requests and
/// its part of the number, so that the sum holds without messages.
class RetryAllowance {
 public:
  /// Sets among how many daemons the slack is divided; `Options::daemons` is
  /// the least.
  void SetDaemons(std::size_t daemons) { m_daemons = daemons; }

  void NoteRequest(const std::string& service,
                   MonotonicTime now,
                   const Options& options);

  /// @return whether a retry to the service may be sent; it is counted then
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
