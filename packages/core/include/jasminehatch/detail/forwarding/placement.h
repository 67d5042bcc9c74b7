#ifndef JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_H_

#include <cstddef>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

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
  double load = 0;          ///< Relative load of the chosen upstream.
  std::size_t candidates = 0;
  double mean_load = 0;    ///< Mean relative load of the candidates.
  bool by_prompt = false;  ///< Chosen by the prompt prefix.
};

/// @brief Chooses an upstream of the request's service.
///
/// Requests without a prompt go to the upstream with the least relative load.
/// Prompts with the same prefix are sent to the same preferred upstream by
/// every daemon (rendezvous hashing), unless it is overloaded relative to the
/// others. Linear in the number of the service's upstreams.
/// @param state the state of the forwarder
/// @param request the request; upstreams of its earlier attempts are excluded
/// @param now the time of the decision
Placement ChooseUpstream(State& state,
                         const Request& request,
                         MonotonicTime now);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_H_
