#ifndef JASMINEHATCH_DETAIL_REDUCER_EFFECT_H_
#define JASMINEHATCH_DETAIL_REDUCER_EFFECT_H_

#include <variant>
#include <vector>

#include "jasminehatch/detail/booking/effect.h"
#include "jasminehatch/detail/config/effect.h"
#include "jasminehatch/detail/membership/effect.h"
#include "jasminehatch/detail/serving/effect.h"

namespace jasminehatch {

/// @brief Any effect of the reducers of a daemon.
using Effect = std::variant<serving::Effect,
                            booking::Effect,
                            config::Effect,
                            membership::Effect>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_REDUCER_EFFECT_H_
