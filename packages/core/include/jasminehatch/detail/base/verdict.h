#ifndef JASMINEHATCH_DETAIL_BASE_VERDICT_H_
#define JASMINEHATCH_DETAIL_BASE_VERDICT_H_

#include <string_view>

namespace jasminehatch {

/// @brief Whether a request may have run on an upstream.
enum class Verdict {
  kNotRun,  ///< Proven: no byte was handed to a socket, or the upstream said
            ///< so.
  kMayHaveRun,  ///< Not known.
  kRan,         ///< The upstream ran it.
};

/// @return the name used in refusals: `not_run`, `may_have_run` or `ran`
std::string_view ToString(Verdict verdict);

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_VERDICT_H_
