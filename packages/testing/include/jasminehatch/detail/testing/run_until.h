#ifndef JASMINEHATCH_DETAIL_TESTING_RUN_UNTIL_H_
#define JASMINEHATCH_DETAIL_TESTING_RUN_UNTIL_H_

#include <chrono>

namespace jasminehatch::testing {

/// Time limit of the functions below, long enough for a busy machine.
inline constexpr std::chrono::seconds kRunTimeout{20};

/// Calls `step` until the condition holds.
/// @return whether it held within `kRunTimeout`
template <typename Step, typename Condition>
bool RepeatUntil(Step step, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kRunTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    step();
  }
  return true;
}

/// Runs an event loop until the condition holds.
/// @return whether it held within `kRunTimeout`
template <typename Loop, typename Condition>
bool RunUntil(Loop& loop, Condition condition) {
  return RepeatUntil(
      [&loop] {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(5));
      },
      condition);
}

/// The same, but checks the condition after each handler.
template <typename Loop, typename Condition>
bool RunHandlersUntil(Loop& loop, Condition condition) {
  return RepeatUntil(
      [&loop] {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(5));
      },
      condition);
}

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_RUN_UNTIL_H_
