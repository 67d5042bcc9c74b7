#include "baselines.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <vector>

#include "jasminehatch/detail/serving/router.h"

namespace jasminehatch::bench {
namespace {

using serving::Request;
using serving::Route;
using serving::State;
using serving::UpstreamView;

double Load(const UpstreamView& view) {
  double load = view.in_flight;
  if (view.report) {
    load = static_cast<double>(view.report->running + view.report->queued +
                               view.sent_since_report);
  }
  return load;
}

class RandomPolicy : public Baseline {
 protected:
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Request& request) const override {
    return request.arrival.random % candidates.size();
  }
};

class RoundRobinPolicy : public Baseline {
 protected:
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Request& request) const override {
    return request.arrival.request.value % candidates.size();
  }
};

class LeastLoadedPolicy : public Baseline {
 protected:
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Request& /*request*/) const override {
    const auto least =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const Candidate& a, const Candidate& b) {
                           return Load(*a.view) < Load(*b.view);
                         });
    return static_cast<std::size_t>(least - candidates.begin());
  }
};

/// Rendezvous hash of the context's first own block, which follows the two
/// blocks that the prompts of a workspace share.
class StickyPolicy : public Baseline {
 protected:
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Request& request) const override {
    const auto& keys = request.arrival.keys;
    if (keys.empty()) {
      return request.arrival.random % candidates.size();
    }
    const std::uint64_t key =
        std::hash<BlockKey>{}(keys[std::min<std::size_t>(2, keys.size() - 1)]);
    const auto weight = [key](const Candidate& candidate) {
      std::uint64_t value =
          key ^ ((candidate.view->id.value + 1) * 0x9E3779B97F4A7C15ULL);
      value = (value ^ (value >> 29U)) * 0xBF58476D1CE4E5B9ULL;
      return value ^ (value >> 32U);
    };
    const auto first =
        std::max_element(candidates.begin(), candidates.end(),
                         [&](const Candidate& a, const Candidate& b) {
                           return weight(a) < weight(b);
                         });
    return static_cast<std::size_t>(first - candidates.begin());
  }
};

/// Ties go to the less loaded upstream.
class LongestPrefixPolicy : public Baseline {
 protected:
  std::size_t Pick(std::span<const Candidate> candidates,
                   const Request& /*request*/) const override {
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [](const Candidate& a, const Candidate& b) {
          return std::tuple(-static_cast<double>(a.blocks), Load(*a.view)) <
                 std::tuple(-static_cast<double>(b.blocks), Load(*b.view));
        });
    return static_cast<std::size_t>(best - candidates.begin());
  }
};

/// @brief The bound: uses the true load, caches and links at the moment of the
/// decision, and chooses the lowest weighted cost.
class OraclePolicy : public serving::RoutingPolicy {
 public:
  explicit OraclePolicy(const testing::ServingSimulation& simulation)
      : m_simulation(simulation) {}

  std::optional<Route> Choose(std::span<const UpstreamId> upstreams,
                              const Request& request,
                              const State& /*state*/,
                              const serving::Options& options,
                              MonotonicTime /*now*/) const override {
    const auto& arrival = request.arrival;
    const auto priority = static_cast<std::size_t>(arrival.priority);
    std::optional<Route> best;
    for (const UpstreamId upstream : upstreams) {
      const testing::FakeEngine& engine = m_simulation.Engine(upstream);
      if (!engine.IsUp()) {
        continue;
      }
      const double rate = engine.GetOptions().prefill_tokens_per_second;
      const double queue = engine.QueuedTokens(priority) / rate;
      const double slot = engine.SlotWait(priority);
      const std::uint32_t local = engine.PrefixBlocks(arrival.keys);
      const auto consider = [&](std::optional<StoreId> store,
                                std::uint32_t blocks, double import_seconds,
                                double bytes) {
        const double uncached_tokens =
            arrival.prompt_tokens -
            std::min<double>(arrival.prompt_tokens,
                             blocks * options.block_tokens);
        const double seconds =
            std::max(queue, import_seconds) + uncached_tokens / rate + slot;
        const double score = options.ttft_weight * seconds +
                             options.recompute_weight * uncached_tokens / 1000 +
                             options.link_weight * bytes / 1e6;
        if (!best || score < best->cost.score) {
          best = Route{upstream,
                       {seconds, uncached_tokens, bytes, score},
                       store,
                       store ? blocks : 0};
        }
      };
      consider(std::nullopt, local, 0, 0);
      for (std::uint32_t i = 0; i < m_simulation.StoreCount(); ++i) {
        const testing::FakeStore& store = m_simulation.Store(StoreId{i});
        const std::uint32_t blocks = store.PrefixBlocks(arrival.keys);
        if (blocks <= local) {
          continue;
        }
        const double bytes = (blocks - local) * options.block_tokens *
                             engine.GetOptions().bytes_per_token;
        const double seconds =
            store.WaitSeconds() + bytes / store.BytesPerSecond();
        if (seconds < engine.GetOptions().import_timeout) {
          consider(StoreId{i}, blocks, seconds, bytes);
        }
      }
    }
    return best;
  }

 private:
  const testing::ServingSimulation& m_simulation;
};

template <typename Policy>
std::shared_ptr<const serving::RoutingPolicy> Make(
    const testing::ServingSimulation& /*simulation*/) {
  return std::make_shared<Policy>();
}

constexpr std::array kStrategies{
    Strategy{"policy",
             [](const testing::ServingSimulation& /*simulation*/)
                 -> std::shared_ptr<const serving::RoutingPolicy> {
               return nullptr;
             }},
    Strategy{"random", &Make<RandomPolicy>},
    Strategy{"round robin", &Make<RoundRobinPolicy>},
    Strategy{"least loaded", &Make<LeastLoadedPolicy>},
    Strategy{"sticky", &Make<StickyPolicy>},
    Strategy{"longest prefix", &Make<LongestPrefixPolicy>},
    Strategy{"bound",
             [](const testing::ServingSimulation& simulation)
                 -> std::shared_ptr<const serving::RoutingPolicy> {
               return std::make_shared<OraclePolicy>(simulation);
             }},
};

}  // namespace

std::optional<Route> Baseline::Choose(std::span<const UpstreamId> upstreams,
                                      const Request& request,
                                      const State& state,
                                      const serving::Options& options,
                                      MonotonicTime /*now*/) const {
  const auto& keys = request.arrival.keys;
  const auto matches = state.prefixes.FindHolders(keys);
  std::vector<Candidate> candidates;
  for (const UpstreamId upstream : upstreams) {
    Candidate candidate{&state.View(upstream), 0};
    for (const auto& match : matches) {
      candidate.blocks =
          match.upstream == upstream ? match.blocks : candidate.blocks;
    }
    candidates.push_back(candidate);
  }
  const Candidate& chosen = candidates[Pick(candidates, request)];
  Route route{.upstream = chosen.view->id, .cost = {}, .import_from = {}};
  std::uint32_t blocks = chosen.blocks;
  for (const auto& match : state.stores.FindHolders(keys)) {
    if (match.blocks > blocks) {
      blocks = match.blocks;
      route.import_from = match.store;
      route.import_blocks = blocks;
    }
  }
  const std::uint32_t tokens = blocks * options.block_tokens;
  route.cost.prefill_tokens = request.arrival.prompt_tokens -
                              std::min(request.arrival.prompt_tokens, tokens);
  route.cost.link_bytes = (blocks - chosen.blocks) *
                          chosen.view->spec.cache_bytes_per_token *
                          options.block_tokens;
  return route;
}

std::span<const Strategy> Strategies() {
  return kStrategies;
}

}  // namespace jasminehatch::bench
