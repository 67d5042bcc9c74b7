#ifndef JASMINEHATCH_DETAIL_TELEMETRY_DECISION_LOG_H_
#define JASMINEHATCH_DETAIL_TELEMETRY_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/clock.h"

namespace jasminehatch::telemetry {

/// @brief One field of a log line. Prompt text, answers and keys must never be
/// logged.
struct DecisionLogField {
  std::string_view name;
  std::string_view value;
};

/// @brief Structured log of decisions: one JSON object a line on a descriptor.
///
/// It never waits: the volume has a budget, lines that the reader does not take
/// are dropped beyond a bound, and the log itself says how many were left out.
class DecisionLog {
 public:
  /// How much a line tells; the budget is kept free for the more telling ones.
  enum class Level {
    kRoutine,  ///< An ordinary step of a request.
    kNotable,  ///< Explains a failed or refused request.
    kState,    ///< Changes what the process believes; start, stop, reload.
  };

  struct Options {
    double bytes_per_second = 48'000;
    /// Budget that can be saved up, in bytes.
    double burst_bytes = 256'000;
    /// Lines wait for a slow reader up to this size, in bytes.
    std::size_t pending_limit = 256UL << 10U;
  };

  /// @param descriptor set to non-blocking mode
  DecisionLog(int descriptor, const Clock& clock, const Options& options);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Write(Level level,
             std::string_view event,
             std::span<const DecisionLogField> fields);

  /// Hands what is pending to the descriptor, as far as it takes it.
  void Flush();

  /// @return lines left out so far
  std::uint64_t Dropped() const { return m_dropped_total; }

 private:
  bool Admit(Level level, std::size_t bytes);

  int m_descriptor;
  const Clock& m_clock;
  Options m_options;
  double m_budget;
  MonotonicTime m_budget_at;
  std::string m_pending;
  std::uint64_t m_dropped = 0;  ///< Since the last line that said so.
  std::uint64_t m_dropped_total = 0;
};

}  // namespace jasminehatch::telemetry

#endif  // JASMINEHATCH_DETAIL_TELEMETRY_DECISION_LOG_H_
