#ifndef JASMINEHATCH_DETAIL_SERVING_ROUTING_POLICY_H_
#define JASMINEHATCH_DETAIL_SERVING_ROUTING_POLICY_H_

#include <optional>
#include <span>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::serving {

struct Options;
struct Request;
struct Route;
struct State;

/// @brief Strategy that chooses an upstream; the benchmark of routing policies
/// replaces the daemon's own strategy with others.
class RoutingPolicy {
 public:
  RoutingPolicy() = default;
  RoutingPolicy(const RoutingPolicy&) = delete;
  RoutingPolicy& operator=(const RoutingPolicy&) = delete;
  virtual ~RoutingPolicy() = default;

  /// Has the parameters and result of `ChooseUpstream`; `candidates` is not
  /// empty.
  virtual std::optional<Route> Choose(std::span<const UpstreamId> candidates,
                                      const Request& request,
                                      const State& state,
                                      const Options& options,
                                      MonotonicTime now) const = 0;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_ROUTING_POLICY_H_
