#ifndef JASMINEHATCH_DETAIL_TESTING_SERVING_SESSION_H_
#define JASMINEHATCH_DETAIL_TESTING_SERVING_SESSION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/effect.h"
#include "jasminehatch/detail/serving/event.h"
#include "jasminehatch/detail/serving/state.h"
#include "jasminehatch/detail/testing/serving_checker.h"

namespace jasminehatch::testing {

/// @brief Drives the serving reducer on simulated time, checks its invariants
/// and records events and effects as text.
class ServingSession {
 public:
  explicit ServingSession(const serving::Options& options = {});

  /// @brief Applies an event at the current time.
  serving::Effects Send(const serving::Event& event);

  /// @brief Advances the time and fires the timers that become due.
  void Advance(Duration duration);

  /// @brief Shuts down and ends all requests: completes their attempts and
  /// advances the time.
  void Drain();

  /// @brief Adds a comment line to the record.
  void Note(std::string_view text);

  /// @brief Stops recording, for long runs.
  void StopRecording() { m_recording = false; }

  serving::State& State() { return m_state; }
  MonotonicTime Now() const { return m_now; }
  const std::string& Record() const { return m_record; }
  const std::string& Violation() const { return m_checker.Violation(); }
  const ServingChecker& Checker() const { return m_checker; }

  /// @return the number of CountEvent effects of the counter
  std::uint64_t CountOf(Counter counter) const;

 private:
  serving::State m_state;
  ServingChecker m_checker;
  MonotonicTime m_now;
  bool m_recording = true;
  std::string m_record;
  std::map<Counter, std::uint64_t> m_counts;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_SERVING_SESSION_H_
