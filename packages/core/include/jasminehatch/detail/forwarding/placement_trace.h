#ifndef JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_TRACE_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_TRACE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jasminehatch/detail/forwarding/exclusion.h"

namespace jasminehatch::forwarding {

struct Upstream;

/// @brief A candidate for a request, as the choice weighed it.
struct WeighedUpstream {
  Upstream* upstream = nullptr;
  double load = 0;  ///< Relative to its capacity, with penalties.
  /// Used share of its memory, with this request; 0 if not known.
  double memory_share = 0;
  bool lacks_memory = false;  ///< The share exceeds the limit.
  /// Load above which it gets no prompt by its prefix; absent for choices by
  /// load.
  std::optional<double> load_limit;
  /// Preference of the prompt prefix; absent for choices by load.
  std::optional<std::uint64_t> rendezvous_score;
};

/// @brief What a choice of an upstream weighed. Valid until the state changes.
struct PlacementTrace {
  std::vector<WeighedUpstream> candidates;
  /// Reasons against upstreams of the service. Candidates have some only if
  /// `ignores_temporary`.
  std::map<const Upstream*, std::vector<Exclusion>> exclusions;
  /// Temporarily excluded upstreams are candidates since there are no others.
  bool ignores_temporary = false;
  /// The load includes the requests of other daemons as they reported them.
  bool has_peer_reports = false;
  std::uint64_t min_weight_version = 0;      ///< Required; 0 for any.
  std::uint64_t favored_weight_version = 0;  ///< Preferred; 0 for any.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PLACEMENT_TRACE_H_
