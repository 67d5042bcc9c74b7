#ifndef JASMINEHATCH_DETAIL_FORWARDING_CRASH_SUSPECTS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/crash_table.h"

namespace jasminehatch::forwarding {

/// @brief An upstream closed the connection while it ran a request.
struct CrashReport {
  std::uint64_t fingerprint = 0;  ///< Of the request.
  std::uint64_t upstream = 0;     ///< Hash of the upstream's id and start time.
  /// Hashes of the prompt parts that other requests share, if the upstream had
  /// sent no event. Otherwise empty.
  std::vector<std::uint64_t> parts;
  std::uint64_t own_part = 0;  ///< Hash of the part that no other one shares.
  Duration age{};              ///< Since the crash.
  /// Whether the upstream had sent the head of the response; true without
  /// parts.
  bool response_begun = true;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// @brief Tracks requests that may crash the upstreams that run them.
///
/// A crash breaks all requests of an upstream. The request that caused it is
/// identified when it is sent again and crashes further upstreams. Memory is
/// bounded, see serving::CrashTable.
class CrashSuspects {
 public:
  /// @brief Records a report.
  /// @return whether the report was new
  bool Record(const CrashReport& report, MonotonicTime now);

  /// @return the remaining time for which requests with this fingerprint are
  /// refused, if they are
  std::optional<Duration> RefusalTimeLeft(std::uint64_t fingerprint,
                                          MonotonicTime now) const;

  /// @return reports from which a daemon that has just started learns which
  /// requests are refused, and for how long; of the `kMaxRefusedReported`
  /// latest ones. They name no real upstream.
  std::vector<CrashReport> ReportsOnRefused(MonotonicTime now) const;

  /// Limits the size of a message to a new daemon.
  static constexpr std::size_t kMaxRefusedReported = 50;

  /// @return the number of tracked requests
  std::size_t Size() const { return m_requests.Size(); }

 private:
  static constexpr std::size_t kMaxRequests = 2048;
  static constexpr std::size_t kMaxReports = 3 * kMaxRequests;

  serving::CrashTable m_requests{kMaxRequests};
  /// By request and upstream; removes duplicates, since several daemons report
  /// one crash.
  serving::CrashTable m_reports{kMaxReports};
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CRASH_SUSPECTS_H_
