#include "jasminehatch/detail/forwarding/retry_allowance.h"

#include <algorithm>

#include "jasminehatch/detail/forwarding/options.h"

namespace jasminehatch::forwarding {
namespace {

/// Used share of the fleet's allowance. The rest covers daemons beyond the
/// expected number, and time windows that start at different times.
constexpr double kUsedShare = 0.75;

void DropBefore(std::deque<MonotonicTime>& times, MonotonicTime limit) {
  while (!times.empty() && times.front() < limit) {
    times.pop_front();
  }
}

}  // namespace

RetryAllowance::Window& RetryAllowance::Trim(const std::string& service,
                                             MonotonicTime now,
                                             const Options& options) {
  Window& window = m_windows[service];
  DropBefore(window.requests, now - options.retry_window);
  DropBefore(window.retries, now - options.retry_window);
  return window;
}

void RetryAllowance::RecordRequest(const std::string& service,
                                   MonotonicTime now,
                                   const Options& options) {
  Trim(service, now, options).requests.push_back(now);
}

bool RetryAllowance::TrySpend(const std::string& service,
                              MonotonicTime now,
                              const Options& options) {
  Window& window = Trim(service, now, options);
  const double daemons = std::max(static_cast<double>(m_daemons),
                                  static_cast<double>(options.min_daemons));
  const double allowed =
      kUsedShare *
      (options.retry_ratio * static_cast<double>(window.requests.size()) +
       options.retry_slack / std::max(daemons, 1.0));
  if (static_cast<double>(window.retries.size()) + 1 > allowed) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

}  // namespace jasminehatch::forwarding
