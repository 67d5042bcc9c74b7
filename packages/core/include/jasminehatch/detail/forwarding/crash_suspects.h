#ifndef JASMINEHATCH_DETAIL_FORWARDING_CRASH_SUSPECTS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/crash_registry.h"

namespace jasminehatch::forwarding {

/// @brief An upstream broke off while it ran a request.
struct CrashReport {
  std::uint64_t fingerprint = 0;  ///< Of the request.
  std::uint64_t upstream = 0;     ///< Of the upstream and its start.

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// @brief Requests that may crash the upstreams that run them.
///
/// A crash takes all requests of an upstream with it. The one that caused it is
/// told from the others by coming again and crashing further upstreams.
/// Memory is bounded, see serving::CrashRegistry.
class CrashSuspects {
 public:
  /// @return whether the report was new
  bool Note(const CrashReport& report, MonotonicTime now);

  /// @return how long requests with this fingerprint are still refused, if so
  std::optional<Duration> Refused(std::uint64_t fingerprint,
                                  MonotonicTime now) const;

  /// @return requests that are remembered
  std::size_t Size() const { return m_requests.Size(); }

 private:
  static constexpr std::size_t kRequests = 2048;
  static constexpr std::size_t kReports = 3 * kRequests;

  serving::CrashRegistry m_requests{kRequests};
  /// By request and upstream: several daemons tell of one crash.
  serving::CrashRegistry m_reports{kReports};
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CRASH_SUSPECTS_H_
