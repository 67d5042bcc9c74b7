#ifndef JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_H_

#include <cstddef>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

struct Request;
struct State;
struct Upstream;

/// @brief The upstream for an attempt, with what decided for it.
struct Placement {
  Upstream* upstream = nullptr;
  /// The one that serves this prompt while it is not overloaded, so that it
  /// probably has its parts; null without a prompt.
  const Upstream* home = nullptr;  ///< Null when none can be used.
  bool overloaded = false;         ///< None has room for the request in time.
  double load = 0;                 ///< Relative load of the upstream.
  std::size_t candidates = 0;
  double mean_load = 0;    ///< Mean of the candidates' relative loads.
  bool by_prompt = false;  ///< Chosen by the parts of the prompt.
};

/// @brief Chooses an upstream of the request's service.
///
/// Requests without a prompt go to the upstream with the least relative load.
/// Prompts that share their leading parts meet at one upstream on every daemon
/// (rendezvous hashing), until that one is overloaded in relation to the
/// others.
/// @param state the state of the concern
/// @param request the request; its earlier upstreams are avoided
/// @param now the time of the decision
/// Linear in the number of the service's upstreams.
Placement ChooseUpstream(State& state,
                         const Request& request,
                         MonotonicTime now);

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_H_
