#ifndef JASMINEHATCH_DETAIL_FORWARDING_ROUTE_TABLE_H_
#define JASMINEHATCH_DETAIL_FORWARDING_ROUTE_TABLE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "jasminehatch/detail/forwarding/configuration.h"

namespace jasminehatch::forwarding {

/// @brief Indexes the routes, services and workspaces of one configuration.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(Configuration configuration);

  /// @return the configuration from which the table was built
  const Configuration& SourceConfiguration() const { return m_configuration; }

  /// @brief Finds the route of a host with the longest matching path prefix.
  /// Linear in the length of the path.
  /// @return the route, or null
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// @return the workspace that holds the key, or null
  const Workspace* FindWorkspace(std::string_view key) const;

  /// @return the scope of the cache salts of a workspace's requests
  /// (`CacheSalt::scope`). A workspace with a private cache has a scope of its
  /// own, and so has one that is not configured. The others share a scope that
  /// changes with the set of private ones, so that what a workspace computed
  /// before its cache became private is not found by the others afterwards.
  /// @param workspace name; empty for requests without a workspace
  std::string CacheScope(const std::string& workspace) const;

  /// @return lists of regions in which the requests of a workspace may be
  /// processed, all of which apply: one for each restricted entry of that name
  /// @param workspace name; empty for requests without a workspace
  std::span<const std::vector<std::string>> WorkspaceRegions(
      const std::string& workspace) const;
  /// @return whether upstreams of any service have a warm-up
  bool HasWarmUp() const { return m_has_warm_up; }
  /// @return the scope that a workspace shares with no other
  static std::string OwnCacheScope(const std::string& workspace) {
    return "workspace:" + workspace;
  }

  /// @return the service, or null
  const Service* FindService(std::string_view name) const;

 private:
  Configuration m_configuration;
  /// Keys consist of the host, a line feed and the path prefix.
  std::unordered_map<std::string, std::size_t> m_routes;
  std::unordered_map<std::string, std::size_t> m_keys;
  std::unordered_map<std::string, std::size_t> m_services;
  std::unordered_set<std::string> m_sharing_workspaces;  ///< Names.
  std::string m_shared_scope;
  /// Lists of allowed regions of the restricted workspaces, by name.
  std::unordered_map<std::string, std::vector<std::vector<std::string>>>
      m_restricted_workspaces;
  bool m_has_warm_up = false;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_ROUTE_TABLE_H_
