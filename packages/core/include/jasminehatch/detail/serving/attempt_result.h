#ifndef JASMINEHATCH_DETAIL_SERVING_ATTEMPT_RESULT_H_
#define JASMINEHATCH_DETAIL_SERVING_ATTEMPT_RESULT_H_

#include <string_view>

namespace jasminehatch::serving {

/// @brief How an attempt ended.
enum class AttemptResult {
  kComplete,        ///< The upstream sent the complete response.
  kNotSent,         ///< No byte of the request was sent.
  kRejectedNotRun,  ///< The upstream rejected the request without running it.
  kBroken,    ///< The connection was lost after bytes of the request were sent.
  kTimedOut,  ///< No progress within the time limit after bytes of the request
              ///< were sent.
  kInvalidRequest,  ///< The upstream rejected the request itself (HTTP 4xx); no
                    ///< retry can help.
};

/// @return a name for logs and golden files
std::string_view ToString(AttemptResult result);

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_ATTEMPT_RESULT_H_
