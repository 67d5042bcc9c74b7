#include "jasminehatch/detail/forwarder/crash_report_queue.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <utility>

namespace jasminehatch::daemon {
namespace {

/// Size of a report without its parts, and of each part, in a message.
constexpr std::size_t kReportBytes = 40;
constexpr std::size_t kPartBytes = 9;

std::size_t SizeOf(const forwarding::CrashReport& report) {
  return kReportBytes + kPartBytes * report.parts.size();
}

}  // namespace

void CrashReportQueue::Add(const forwarding::CrashReport& report,
                           MonotonicTime now) {
  std::span<const std::uint64_t> parts = report.parts;
  do {
    const auto piece = parts.first(std::min(parts.size(), kMaxPartsPerReport));
    forwarding::CrashReport divided = report;
    divided.parts.assign(piece.begin(), piece.end());
    Push(std::move(divided), now);
    parts = parts.subspan(piece.size());
  } while (!parts.empty());
}

void CrashReportQueue::Push(forwarding::CrashReport report, MonotonicTime now) {
  const std::size_t bytes = SizeOf(report);
  while (m_bytes + bytes > kMaxPendingBytes) {
    DropOne();
  }
  m_bytes += bytes;
  m_pending.push_back({std::move(report), now});
}

void CrashReportQueue::DropOne() {
  const auto without_parts = std::find_if(
      m_pending.begin(), m_pending.end(),
      [](const Pending& pending) { return pending.report.parts.empty(); });
  const auto dropped =
      without_parts == m_pending.end() ? m_pending.begin() : without_parts;
  m_bytes -= SizeOf(dropped->report);
  m_pending.erase(dropped);
}

std::vector<forwarding::CrashReport> CrashReportQueue::Take(MonotonicTime now) {
  std::vector<forwarding::CrashReport> reports;
  std::size_t bytes = 0;
  for (std::size_t left = m_pending.size(); left > 0; --left) {
    Pending& next = m_pending.front();
    const std::size_t size = SizeOf(next.report);
    if (bytes + size > kMaxMessageBytes) {
      break;
    }
    bytes += size;
    reports.push_back(next.report);
    reports.back().age += now - next.added_at;
    if (--next.messages_left > 0) {
      m_pending.push_back(std::move(next));
    } else {
      m_bytes -= size;
    }
    m_pending.pop_front();
  }
  return reports;
}

}  // namespace jasminehatch::daemon
