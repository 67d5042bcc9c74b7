#include "jasminehatch/detail/shedding/refusal_summary.h"

#include <chrono>
#include <utility>

namespace jasminehatch::shedding {
namespace {

/// Time between two lines about the same reason.
constexpr std::chrono::seconds kLineInterval{1};

}  // namespace

std::optional<RefusalSummary::Line> RefusalSummary::TakeLine(
    MonotonicTime now) {
  for (std::size_t i = 0; i < m_rows.size(); ++i) {
    Row& row = m_rows[i];
    if (row.count > 0 &&
        (!row.logged_at || now - *row.logged_at >= kLineInterval)) {
      row.logged_at = now;
      return Line{static_cast<CallerRefusal>(i),
                  std::exchange(row.count, std::uint64_t{0})};
    }
  }
  return std::nullopt;
}

}  // namespace jasminehatch::shedding
