#ifndef JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_H_

#include <cstddef>
#include <optional>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/placement_reason.h"
#include "jasminehatch/detail/forwarding/zone_block.h"

namespace jasminehatch::forwarding {

struct PlacementTrace;
struct Request;
struct State;
struct Upstream;

/// @brief The upstream chosen for an attempt, and the inputs of the choice.
struct Placement {
  Upstream* upstream = nullptr;
  /// The preferred upstream of the prompt, which probably has its parts cached;
  /// null without a prompt or without a usable upstream.
  const Upstream* preferred = nullptr;
  bool overloaded = false;  ///< No upstream has memory for the request.
  /// Load of `upstream` relative to its capacity, with penalties for failures
  /// and older weights.
  double load = 0;
  std::size_t candidates = 0;
  double mean_load = 0;  ///< Mean load of the candidates.
  /// The prompt has shared parts; the choice followed
  /// `Options::prompt_placement`.
  bool by_prompt = false;
  PlacementReason reason = PlacementReason::kNone;
  /// Without `upstream`: what keeps the request from upstreams that could run
  /// it.
  ZoneBlock zone_block = ZoneBlock::kNone;
};

/// @brief Chooses an upstream of the request's service.
///
/// Requests without a prompt, or whose prompt has no shared part, go to the
/// upstream with the least load relative to its capacity. Prompts with the same
/// prefix are sent to the same preferred upstream by every daemon (rendezvous
/// hashing), unless it is overloaded relative to the others; see
/// `PromptPlacement` for the other policies. Linear in the number of the
/// service's upstreams.
/// @param state the state of the forwarder
/// @param request the request; upstreams of its earlier attempts are excluded
/// @param now the time of the decision
/// @param trace receives what was weighed; may be null
Placement ChooseUpstream(State& state,
                         const Request& request,
                         MonotonicTime now,
                         PlacementTrace* trace = nullptr);

/// @brief All upstreams that can run a request get none for some time.
struct Unavailability {
  MonotonicTime until{};  ///< When the first of these times ends.
  /// Whether one of the upstreams is cold and has no room. Otherwise all of
  /// them asked for no requests.
  bool warming_up = false;
};

/// @return nothing if an upstream that can run the request may get it now
std::optional<Unavailability> FindUnavailability(State& state,
                                                 const Request& request,
                                                 MonotonicTime now);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_H_
