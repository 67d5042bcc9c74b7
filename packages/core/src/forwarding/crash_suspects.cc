#include "jasminehatch/detail/forwarding/crash_suspects.h"

#include <algorithm>
#include <chrono>

namespace jasminehatch::forwarding {
namespace {

/// Upstreams that a request must have crashed to be refused. With fewer,
/// requests that ran beside the cause would be refused too.
constexpr std::size_t kCrashLimit = 3;

/// Reports are forgotten this long after the latest one. A request that came
/// again after that would cost one crash more.
constexpr std::chrono::minutes kMemory{10};

constexpr std::size_t kMaxEntries = 4096;

}  // namespace

bool CrashSuspects::Note(const CrashReport& report, MonotonicTime now) {
  if (m_entries.size() >= kMaxEntries &&
      !m_entries.contains(report.fingerprint)) {
    DropOldest(now);
  }
  Entry& entry = m_entries[report.fingerprint];
  const bool known = std::find(entry.upstreams.begin(), entry.upstreams.end(),
                               report.upstream) != entry.upstreams.end();
  if (known || entry.upstreams.size() >= kCrashLimit) {
    return false;
  }
  entry.upstreams.push_back(report.upstream);
  entry.reported_at = now;
  return true;
}

std::optional<Duration> CrashSuspects::Refused(std::uint64_t fingerprint,
                                               MonotonicTime now) const {
  const auto found = m_entries.find(fingerprint);
  if (found == m_entries.end() ||
      found->second.upstreams.size() < kCrashLimit) {
    return std::nullopt;
  }
  const Duration left = found->second.reported_at + kMemory - now;
  return left > Duration::zero() ? std::optional(left) : std::nullopt;
}

void CrashSuspects::DropOldest(MonotonicTime now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return now - entry.second.reported_at > kMemory;
  });
  if (m_entries.size() < kMaxEntries) {
    return;
  }
  m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                   [](const auto& left, const auto& right) {
                                     return left.second.reported_at <
                                            right.second.reported_at;
                                   }));
}

}  // namespace jasminehatch::forwarding
