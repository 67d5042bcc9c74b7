#include "jasminehatch/detail/forwarding/crash_suspects.h"

#include <chrono>
#include <cstring>

#include "jasminehatch/detail/base/digest.h"

namespace jasminehatch::forwarding {
namespace {

/// Upstreams that a request must have crashed to be refused. With fewer,
/// requests that ran beside the cause would be refused too.
constexpr std::uint32_t kCrashLimit = 3;

/// Reports are forgotten this long after the latest one. A request that came
/// again after that would cost one crash more.
constexpr std::chrono::minutes kMemory{10};

Fingerprint Key(std::uint64_t request, std::uint64_t upstream = 0) {
  Fingerprint key;
  std::memcpy(key.bytes.data(), &request, sizeof(request));
  std::memcpy(key.bytes.data() + sizeof(request), &upstream, sizeof(upstream));
  return key;
}

}  // namespace

bool CrashSuspects::Note(const CrashReport& report, MonotonicTime now) {
  const Fingerprint pair = Key(report.fingerprint, report.upstream);
  const Fingerprint request = Key(report.fingerprint);
  const MonotonicTime until = now + kMemory;
  if (m_reports.IsSuspect(pair, now) ||
      m_requests.IsQuarantined(request, now)) {
    return false;
  }
  m_reports.AddLoss(pair, now, until);
  if (m_requests.AddLoss(request, now, until) >= kCrashLimit) {
    m_requests.Quarantine(request, now, until);
  }
  return true;
}

std::optional<Duration> CrashSuspects::Refused(std::uint64_t fingerprint,
                                               MonotonicTime now) const {
  return m_requests.QuarantineLeft(Key(fingerprint), now);
}

}  // namespace jasminehatch::forwarding
