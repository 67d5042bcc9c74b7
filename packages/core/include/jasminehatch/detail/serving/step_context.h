#ifndef JASMINEHATCH_DETAIL_SERVING_STEP_CONTEXT_H_
#define JASMINEHATCH_DETAIL_SERVING_STEP_CONTEXT_H_

#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/effect.h"
#include "jasminehatch/detail/serving/state.h"

namespace jasminehatch::serving {

/// @brief Data shared by the parts of the reducer during one step.
struct StepContext {
  State& state;
  MonotonicTime now;
  Effects effects;
  std::vector<std::string>
      models_to_dispatch;  ///< Models to dispatch at the end of the step.

  void Emit(Effect effect) { effects.push_back(std::move(effect)); }
  void Count(Counter counter) { effects.emplace_back(CountEvent{counter}); }
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_STEP_CONTEXT_H_
