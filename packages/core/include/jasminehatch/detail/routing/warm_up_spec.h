#ifndef JASMINEHATCH_DETAIL_ROUTING_WARM_UP_SPEC_H_
#define JASMINEHATCH_DETAIL_ROUTING_WARM_UP_SPEC_H_

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch {

/// @brief Limits on the use of an upstream that is cold, since its process
/// started a short time ago or for another reason.
struct WarmUpSpec {
  Duration time{};  ///< For which it is cold after a start.
  double rate = 0;  ///< Requests per second that it can take while cold.
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_ROUTING_WARM_UP_SPEC_H_
