#ifndef JASMINEHATCH_DETAIL_SHEDDING_REFUSAL_SUMMARY_H_
#define JASMINEHATCH_DETAIL_SHEDDING_REFUSAL_SUMMARY_H_

#include <array>
#include <cstdint>
#include <optional>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/shedding/caller_refusal.h"

namespace jasminehatch::shedding {

/// @brief Sums up refusals for the log, so that many callers that are refused
/// at once cause one line a second for each reason.
class RefusalSummary {
 public:
  /// @brief Refusals of one reason since the last line about it.
  struct Line {
    CallerRefusal reason;
    std::uint64_t count;
  };

  void Count(CallerRefusal reason) {
    ++m_rows.at(static_cast<std::size_t>(reason)).count;
  }

  /// @return a line that is due; to be called until there is none
  std::optional<Line> TakeLine(MonotonicTime now);

 private:
  struct Row {
    std::uint64_t count = 0;
    std::optional<MonotonicTime> logged_at;
  };
  std::array<Row, kCallerRefusalCount> m_rows{};
};

}  // namespace jasminehatch::shedding

#endif  // JASMINEHATCH_DETAIL_SHEDDING_REFUSAL_SUMMARY_H_
