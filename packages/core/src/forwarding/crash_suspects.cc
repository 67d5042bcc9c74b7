#include "jasminehatch/detail/forwarding/crash_suspects.h"

#include <algorithm>
#include <chrono>
#include <cstring>

#include "jasminehatch/detail/base/digest.h"

namespace jasminehatch::forwarding {
namespace {

/// Number of crashed upstreams after which a request is refused. With a lower
/// limit, other requests that ran on the same upstreams would be refused too.
constexpr std::uint32_t kCrashLimit = 3;

/// Time after the latest report for which the reports on a request are kept. A
/// request that is sent again later is not refused and may crash another
/// upstream.
constexpr std::chrono::minutes kReportLifetime{10};

Fingerprint MakeKey(std::uint64_t request, std::uint64_t upstream = 0) {
  Fingerprint key;
  std::memcpy(key.bytes.data(), &request, sizeof(request));
  std::memcpy(key.bytes.data() + sizeof(request), &upstream, sizeof(upstream));
  return key;
}

}  // namespace

bool CrashSuspects::Record(const CrashReport& report, MonotonicTime now) {
  const Fingerprint pair = MakeKey(report.fingerprint, report.upstream);
  const Fingerprint request = MakeKey(report.fingerprint);
  const MonotonicTime until = now - report.age + kReportLifetime;
  if (until <= now || m_reports.IsSuspect(pair, now) ||
      m_requests.IsQuarantined(request, now)) {
    return false;
  }
  m_reports.AddLoss(pair, now, until);
  if (m_requests.AddLoss(request, now, until) >= kCrashLimit) {
    m_requests.Quarantine(request, now, until);
  }
  return true;
}

std::optional<Duration> CrashSuspects::RefusalTimeLeft(
    std::uint64_t fingerprint,
    MonotonicTime now) const {
  return m_requests.QuarantineLeft(MakeKey(fingerprint), now);
}

std::vector<CrashReport> CrashSuspects::ReportsOnRefused(
    MonotonicTime now) const {
  std::vector<CrashReport> reports;
  for (const Fingerprint& request :
       m_requests.Quarantined(kMaxRefusedReported, now)) {
    CrashReport report;
    std::memcpy(&report.fingerprint, request.bytes.data(),
                sizeof(report.fingerprint));
    report.age =
        std::max(Duration::zero(),
                 kReportLifetime - *m_requests.QuarantineLeft(request, now));
    for (std::uint32_t crash = 0; crash < kCrashLimit; ++crash) {
      report.upstream = crash;
      reports.push_back(report);
    }
  }
  return reports;
}

}  // namespace jasminehatch::forwarding
