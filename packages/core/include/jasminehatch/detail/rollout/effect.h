#ifndef JASMINEHATCH_DETAIL_ROLLOUT_EFFECT_H_
#define JASMINEHATCH_DETAIL_ROLLOUT_EFFECT_H_

#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/rollout/event.h"

namespace jasminehatch::rollout {

/// Orders an upstream to load weights; idempotent.
struct OrderLoad {
  std::string upstream;
  ModelVersion wanted;
};

/// Reports to the operators that the rollout failed on an upstream and is
/// paused until a new configuration is in force.
struct ReportPaused {
  std::string upstream;
  std::string detail;
};

using Effect = std::variant<OrderLoad, ReportPaused>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch::rollout

#endif  // JASMINEHATCH_DETAIL_ROLLOUT_EFFECT_H_
