#ifndef JASMINEHATCH_BENCH_POLICY_BENCH_BASELINES_H_
#define JASMINEHATCH_BENCH_POLICY_BENCH_BASELINES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "jasminehatch/core.h"
#include "jasminehatch/testing.h"

namespace jasminehatch::bench {

/// @brief Base class of the baseline policies: collects what a daemon knows of
/// caches and stores. Every baseline imports the longest exported prefix that
/// it knows.
class Baseline : public serving::RoutingPolicy {
 public:
  std::optional<serving::Route> Choose(std::span<const UpstreamId> upstreams,
                                       const serving::Request& request,
                                       const serving::State& state,
                                       const serving::Options& options,
                                       MonotonicTime now) const override;

 protected:
  struct Candidate {
    const serving::UpstreamView* view;
    std::uint32_t blocks;  ///< Leading blocks that it is thought to hold.
  };

  /// @param candidates upstreams that may run the request, at least one
  /// @return index of the upstream to use
  virtual std::size_t Pick(std::span<const Candidate> candidates,
                           const serving::Request& request) const = 0;
};

/// Creates the policy of one run, or returns null for the daemon's own policy.
/// The simulation outlives the policy.
using PolicyFactory = std::shared_ptr<const serving::RoutingPolicy> (*)(
    const testing::ServingSimulation& simulation);

/// @brief A named strategy of the benchmark.
struct Strategy {
  std::string_view name;
  PolicyFactory make;
};

/// Returns the daemon's own policy, then the baselines, and last the bound,
/// which decides on the true state of all engines and stores.
std::span<const Strategy> Strategies();

}  // namespace jasminehatch::bench

#endif  // JASMINEHATCH_BENCH_POLICY_BENCH_BASELINES_H_
