#ifndef JASMINEHATCH_DETAIL_SERVING_COST_MODEL_H_
#define JASMINEHATCH_DETAIL_SERVING_COST_MODEL_H_

#include <cstdint>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/options.h"
#include "jasminehatch/detail/serving/upstream_view.h"

namespace jasminehatch::serving {

/// @brief Expected cost of running a request on one upstream.
struct CostEstimate {
  double ttft_seconds = 0;
  double prefill_tokens = 0;
  double link_bytes = 0;
  double score = 0;  ///< Weighted sum; lower is better.
};

/// @brief Numbers of prompt tokens by source, and the state of the store's
/// link.
struct PromptTokens {
  std::uint32_t total = 0;
  std::uint32_t cached = 0;    ///< Prefix expected in the upstream's cache.
  std::uint32_t imported = 0;  ///< Further tokens to import from the store.
  double store_wait_seconds =
      0;  ///< Until the pending transfers on the store's link are done.
  double store_bytes_per_second = 1;
};

/// @brief Estimates the cost of a prompt on an upstream.
/// @param view the known state of the upstream
/// @param tokens the prompt tokens that are cached, imported or computed
/// @param options the weights of the score
/// @param now the time of the decision; not used yet
CostEstimate EstimateCost(const UpstreamView& view,
                          const PromptTokens& tokens,
                          const Options& options,
                          MonotonicTime now);

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_COST_MODEL_H_
