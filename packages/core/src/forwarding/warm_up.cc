#include "jasminehatch/detail/forwarding/warm_up.h"

#include <algorithm>
#include <chrono>

#include "jasminehatch/detail/forwarding/state.h"

namespace jasminehatch::forwarding {
namespace {

/// Lower bound of the progress by which the load of a cold upstream is divided.
/// Without it, the load just after the start would be infinite.
constexpr double kMinWarmUpProgress = 0.2;

/// Added to the relative load of an upstream that has just become cold. It is
/// slow, so that it is used once the others are half full.
constexpr double kColdPenalty = 0.5;

}  // namespace

const WarmUpSpec* FindWarmUp(const State& state, const std::string& service) {
  if (!state.table || !state.table->HasWarmUp()) {
    return nullptr;
  }
  const Service* found = state.table->FindService(service);
  return found != nullptr && found->warm_up ? &*found->warm_up : nullptr;
}

WarmUpDivision DivisionOf(const Options& options) {
  return {options.daemon, options.min_daemons, options.warm_up_factor,
          options.warm_up_slack};
}

std::optional<ColdUse> DescribeColdUse(State& state,
                                       const Upstream& upstream,
                                       const WarmUpSpec& spec,
                                       MonotonicTime now) {
  return ColdUseOf(upstream.entry.id, upstream.warm_up, spec, state.warm_ups,
                   state.members, DivisionOf(state.options), now);
}

double ColdLoad(double load,
                const ColdUse& use,
                const WarmUpSpec& spec,
                MonotonicTime now) {
  using Seconds = std::chrono::duration<double>;
  const double left = Seconds(use.cold_until - now).count();
  const double total = std::max(Seconds(spec.time).count(), left);
  const double warm_up_progress = 1 - left / total;
  return load / std::max(warm_up_progress, kMinWarmUpProgress) +
         kColdPenalty * (1 - warm_up_progress);
}

}  // namespace jasminehatch::forwarding
