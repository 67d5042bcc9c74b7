#include "jasminehatch/detail/serving/cost_model.h"

#include <algorithm>

namespace jasminehatch::serving {

CostEstimate EstimateCost(const UpstreamView& view,
                          const PromptTokens& tokens,
                          const Options& options,
                          MonotonicTime /*now*/) {
  const double rate = std::max(1.0, view.spec.prefill_tokens_per_second);
  CostEstimate cost;
  cost.prefill_tokens =
      tokens.total - std::min(tokens.total, tokens.cached + tokens.imported);
  double backlog_tokens = static_cast<double>(view.tokens_since_report);
  double backlog_requests = view.sent_since_report;
  double slots = view.spec.max_in_flight;
  if (view.report) {
    backlog_tokens += static_cast<double>(view.report->queued_prefill_tokens);
    backlog_requests += view.report->running + view.report->queued;
    slots = std::max<std::uint32_t>(1, view.report->slots);
  }
  // The delay caused by the batch grows with the share of occupied slots, up to
  // 1 ms when all are occupied. Beyond that, each further batch of requests
  // adds about 100 ms of waiting.
  const double occupancy = backlog_requests / slots;
  cost.ttft_seconds =
      (backlog_tokens + cost.prefill_tokens) / rate + 0.001 * occupancy;
  if (occupancy >= 1.0) {
    cost.ttft_seconds += (occupancy - 1.0) * 0.1;
  }
  if (tokens.imported > 0) {
    cost.link_bytes = tokens.imported * view.spec.cache_bytes_per_token;
    cost.ttft_seconds +=
        tokens.store_wait_seconds +
        cost.link_bytes / std::max(1.0, tokens.store_bytes_per_second);
  }
  cost.score = options.ttft_weight * cost.ttft_seconds +
               options.recompute_weight * cost.prefill_tokens / 1000.0 +
               options.link_weight * cost.link_bytes / 1e6;
  return cost;
}

}  // namespace jasminehatch::serving
