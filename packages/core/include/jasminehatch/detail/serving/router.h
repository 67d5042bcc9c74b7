#ifndef JASMINEHATCH_DETAIL_SERVING_ROUTER_H_
#define JASMINEHATCH_DETAIL_SERVING_ROUTER_H_

#include <cstdint>
#include <optional>
#include <span>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/cost_model.h"

namespace jasminehatch::serving {

struct Options;
struct Request;
struct State;

/// @brief The chosen upstream, the blocks that it imports, and the expected
/// cost. Unlike `forwarding::Route`, it is the result of one decision and not a
/// routing rule of the configuration.
struct Route {
  UpstreamId upstream;
  CostEstimate cost;
  std::optional<StoreId> import_from;
  std::uint32_t import_blocks =
      0;  ///< Leading blocks of the prompt present after the import, including
          ///< those that the upstream has cached already.
};

/// @brief Chooses the upstream with the lowest cost, or by `State::policy` if
/// it is set.
/// @param candidates upstreams that serve the model and weight version of the
/// request and have capacity, in increasing order of id
/// @param request the request to place
/// @param state provides the upstream views and the cached prefixes
/// @param options the weights of the score
/// @param now the time of the decision
/// @return the choice, or nothing if there is no candidate
std::optional<Route> ChooseUpstream(std::span<const UpstreamId> candidates,
                                    const Request& request,
                                    const State& state,
                                    const Options& options,
                                    MonotonicTime now);

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_ROUTER_H_
