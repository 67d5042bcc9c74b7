#ifndef JASMINEHATCH_DETAIL_TESTING_SERVING_TEXT_H_
#define JASMINEHATCH_DETAIL_TESTING_SERVING_TEXT_H_

#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/effect.h"
#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch::testing {

/// @return one line for golden sessions and failure messages; fields at their
/// default value are left out
std::string ToText(const serving::Event& event);
std::string ToText(const serving::Effect& effect);

/// @return the time in milliseconds, such as `120.5 ms`
std::string ToText(Duration duration);

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_SERVING_TEXT_H_
