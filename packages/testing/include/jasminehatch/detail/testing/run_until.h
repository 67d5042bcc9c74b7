#ifndef JASMINEHATCH_DETAIL_TESTING_RUN_UNTIL_H_
#define JASMINEHATCH_DETAIL_TESTING_RUN_UNTIL_H_

#include <chrono>

namespace jasminehatch::testing {

/// Time limit of `RunUntil`, long enough for a busy machine.
inline constexpr std::chrono::seconds kRunTimeout{20};

/// Runs an event loop until the condition holds.
/// @return whether it held within `kRunTimeout`
template <typename Loop, typename Condition>
bool RunUntil(Loop& loop, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kRunTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    loop.restart();
    loop.run_for(std::chrono::milliseconds(5));
  }
  return true;
}

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_RUN_UNTIL_H_
