#ifndef JASMINEHATCH_DETAIL_FORWARDING_CONFIGURATION_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/routing/warm_up_spec.h"

namespace jasminehatch::forwarding {

/// @brief Kind of a route's requests; determines whether they may be retried.
enum class RouteKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStreaming,      ///< Event stream; runs at most once unless resumable.
};

/// @brief A service and its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;  ///< Relative to the route's other services.
};

/// @brief Routing rule and limits for the requests of a host and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  Duration timeout{};                ///< Maximum time to the final response.
  Duration first_response_target{};  ///< Target time to the first byte.
  Duration event_gap_target{};       ///< Target maximum time between events.
  int priority = 5;                  ///< 0 is the most urgent.
  /// Maximum attempts at one request that may have run; attempts that did not
  /// run are not counted.
  std::uint32_t attempts = 1;
  bool is_public = false;       ///< Requests need no key.
  bool carries_prompt = false;  ///< Requests name the prompt parts.
  bool resumable = false;       ///< Streams may resume elsewhere.
  std::vector<WeightedService> services;
  /// Regions in which its requests may be processed; empty for all.
  std::vector<std::string> allowed_regions;
};

/// @brief Properties of a service whose upstreams are engines.
struct EngineSpec {
  std::uint32_t slots = 1;
  /// Memory for the state of running and cached prompts, in tokens.
  std::uint64_t cache_tokens = 0;
  std::uint64_t token_bytes = 0;  ///< Memory per token, in bytes.
  std::vector<std::string> models;
};

/// @brief Properties of a cache store for prompt parts.
struct CacheStoreSpec {
  std::string address;
  std::string zone;
  std::uint64_t capacity_tokens = 0;
  /// The store evicts nothing by itself; the daemons free outdated parts.
  bool externally_managed = false;
  Duration first_byte_delay{};
};

/// @brief A group of upstreams of one kind, or a cache store.
struct Service {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;
  std::optional<EngineSpec> engine;
  std::optional<CacheStoreSpec> store;
  std::optional<WarmUpSpec> warm_up;  ///< Absent if its upstreams have none.
};

/// @brief A workspace and the keys of its callers.
struct Workspace {
  std::string name;
  std::vector<std::string> keys;
  bool private_cache = false;   ///< Shares no cached parts with others.
  std::optional<int> priority;  ///< Overrides the route's priority.
  /// Regions in which its requests may be processed; empty for all.
  std::vector<std::string> allowed_regions = {};
};

/// @brief Limits on the size and timing of requests.
struct Limits {
  std::size_t header_bytes = 16UL << 10U;
  std::size_t body_bytes = 4UL << 20U;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// @brief One complete version of the configuration.
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
