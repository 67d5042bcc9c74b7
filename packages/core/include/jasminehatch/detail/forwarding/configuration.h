#ifndef JASMINEHATCH_DETAIL_FORWARDING_CONFIGURATION_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief What may be repeated of a request.
enum class Repeat {
  kIdempotent,  ///< May run more than once.
  kOnce,        ///< Runs at most once.
  kStream,      ///< A stream of events; runs at most once unless resumable.
};

/// @brief A service and its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// @brief Where requests of a host and path prefix go, and what they may cost.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  Repeat repeat = Repeat::kOnce;
  Duration timeout{};            ///< Longest time to the final answer.
  Duration first_answer_goal{};  ///< Answers that start later are worth less.
  Duration gap_goal{};           ///< Longest pause between events.
  int priority = 5;              ///< 0 is the most urgent.
  std::uint32_t attempts = 1;    ///< Upstreams that one request may run on.
  bool is_public = false;        ///< Needs no key.
  bool carries_prompt = false;   ///< Requests name the parts of a prompt.
  bool resumable = false;        ///< A stream may go on at another upstream.
  std::vector<WeightedService> services;
};

/// @brief A service of model engines.
struct EngineSpec {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;  ///< Memory for running and cached tokens.
  std::uint64_t token_bytes = 0;   ///< Memory of one token.
  std::vector<std::string> models;
};

/// @brief A store of prompt parts.
struct CacheStoreSpec {
  std::string address;
  std::string zone;
  std::uint64_t capacity_tokens = 0;
  /// The store drops nothing by itself, so that this system frees parts.
  bool managed_here = false;
  Duration first_byte_delay{};
};

/// @brief A group of upstreams of one kind, or a cache store.
struct Service {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;
  std::optional<EngineSpec> engine;
  std::optional<CacheStoreSpec> store;
};

/// @brief A workspace and the keys of its callers.
struct Workspace {
  std::string name;
  std::vector<std::string> keys;
  bool dedicated = false;  ///< Shares no cached part with other workspaces.
  std::optional<int> priority;  ///< Goes before the priority of the route.
};

/// @brief Bounds on what callers may send.
struct Limits {
  std::size_t header_bytes = 16UL << 10U;
  std::size_t body_bytes = 4UL << 20U;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// @brief One version of the configuration, in full.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;
  bool has_workspaces = false;  ///< Whether requests need a key.
  Limits limits;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CONFIGURATION_H_
