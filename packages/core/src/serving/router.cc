#include "jasminehatch/detail/serving/router.h"

#include <algorithm>
#include <vector>

#include "jasminehatch/detail/serving/residency.h"
#include "jasminehatch/detail/serving/state.h"

namespace jasminehatch::serving {
namespace {

/// @brief A store that holds a prefix of the prompt, and the state of its link.
struct Source {
  StoreId store;
  std::uint32_t blocks = 0;
  double wait_seconds = 0;
  double bytes_per_second = 0;
};

std::vector<Source> FindSources(const Request& request,
                                const State& state,
                                MonotonicTime now) {
  std::vector<Source> sources;
  const AllowedZones zones =
      AllowedZonesOf(request.regions, state.residency.zone_regions);
  for (const StoreTable::Match& match :
       state.stores.FindHolders(request.arrival.keys)) {
    const StoreView& view = state.stores.View(match.store);
    if (!zones.Contains(view.spec.zone)) {
      continue;
    }
    sources.push_back({match.store, match.blocks, view.TransferSeconds(0, now),
                       view.bytes_per_second});
  }
  return sources;
}

void Consider(const Route& route, std::optional<Route>& best) {
  if (!best || route.cost.score < best->cost.score) {
    best = route;
  }
}

}  // namespace

std::optional<Route> ChooseUpstream(std::span<const UpstreamId> candidates,
                                    const Request& request,
                                    const State& state,
                                    const Options& options,
                                    MonotonicTime now) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (state.policy) {
    return state.policy->Choose(candidates, request, state, options, now);
  }
  const auto matches = state.prefixes.FindHolders(request.arrival.keys);
  const auto sources = FindSources(request, state, now);
  auto match = matches.begin();
  std::optional<Route> best;
  for (const UpstreamId upstream : candidates) {
    while (match != matches.end() && match->upstream < upstream) {
      ++match;
    }
    const std::uint32_t blocks =
        match != matches.end() && match->upstream == upstream ? match->blocks
                                                              : 0;
    const UpstreamView& view = state.View(upstream);
    PromptTokens tokens;
    tokens.total = request.arrival.prompt_tokens;
    tokens.cached = blocks * options.block_tokens;
    Consider({upstream, EstimateCost(view, tokens, options, now), {}, 0}, best);
    for (const Source& source : sources) {
      if (source.blocks <= blocks) {
        continue;
      }
      tokens.imported = (source.blocks - blocks) * options.block_tokens;
      tokens.store_wait_seconds = source.wait_seconds;
      tokens.store_bytes_per_second = source.bytes_per_second;
      const double import_seconds =
          source.wait_seconds + tokens.imported *
                                    view.spec.cache_bytes_per_token /
                                    std::max(1.0, source.bytes_per_second);
      if (import_seconds > options.import_limit_seconds) {
        continue;
      }
      Consider({upstream, EstimateCost(view, tokens, options, now),
                source.store, source.blocks},
               best);
    }
  }
  return best;
}

}  // namespace jasminehatch::serving
