#ifndef JASMINEHATCH_DETAIL_TELEMETRY_DECISION_LOG_H_
#define JASMINEHATCH_DETAIL_TELEMETRY_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/clock.h"

namespace jasminehatch::telemetry {

/// @brief One field of a log line. Prompts, responses and keys must not be
/// logged.
struct DecisionLogField {
  std::string_view name;
  std::string_view value;
};

/// @brief Structured log of decisions; writes one JSON object per line to a
/// file descriptor.
///
/// Writing never blocks. The volume is rate-limited, and at most
/// `pending_limit` bytes are buffered for a slow reader; lines beyond that are
/// dropped. The next line that is written contains the number of dropped lines.
class DecisionLog {
 public:
  /// Importance of a line, in ascending order. Lines consume a budget of bytes
  /// that grows by `Options::bytes_per_second`; a part of it is reserved for
  /// the more important lines.
  enum class Level {
    kRoutine,  ///< An ordinary step of a request.
    kNotable,  ///< Explains a failed or refused request.
    kState,  ///< A change of the process's state, such as start, stop, reload.
  };

  struct Options {
    double bytes_per_second = 48'000;
    /// Largest unused budget that accumulates, in bytes.
    double burst_bytes = 256'000;
    /// Limit for the lines that are buffered for a slow reader, in bytes.
    std::size_t pending_limit = 256UL << 10U;
  };

  /// @param descriptor not owned; is set to non-blocking mode
  /// @param clock must outlive the log
  /// @param options limits of the volume
  DecisionLog(int descriptor, const Clock& clock, const Options& options);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Write(Level level,
             std::string_view event,
             std::span<const DecisionLogField> fields);

  /// Writes the buffered lines as far as the descriptor accepts them.
  void Flush();

  /// @return the number of lines dropped so far
  std::uint64_t Dropped() const { return m_dropped_total; }

 private:
  bool TryConsumeBudget(Level level, std::size_t bytes);

  int m_descriptor;
  const Clock& m_clock;
  Options m_options;
  double m_budget;
  MonotonicTime m_budget_updated_at;
  std::string m_pending;
  std::uint64_t m_dropped = 0;  ///< Since the last line that was written.
  std::uint64_t m_dropped_total = 0;
};

}  // namespace jasminehatch::telemetry

#endif  // JASMINEHATCH_DETAIL_TELEMETRY_DECISION_LOG_H_
