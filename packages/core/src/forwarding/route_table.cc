#include "jasminehatch/detail/forwarding/route_table.h"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <set>
#include <utility>

#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch::forwarding {
namespace {

/// Joins host and prefix with a line feed, which cannot occur in either.
std::string RouteKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  key += '\n';
  key += prefix;
  return key;
}

/// @return the scope that the workspaces without a private cache share; the
/// empty one if there are no others. It depends on nothing but the
/// configuration, so that daemons agree on it.
std::string SharedScope(const std::set<std::string>& private_workspaces) {
  if (private_workspaces.empty()) {
    return {};
  }
  std::uint64_t hash = 0;
  for (const std::string& name : private_workspaces) {
    hash = StableHash(name, hash);
  }
  return "shared:" + std::to_string(hash);
}

}  // namespace

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration)) {
  for (std::size_t i = 0; i < m_configuration.routes.size(); ++i) {
    const Route& route = m_configuration.routes[i];
    m_routes.emplace(RouteKey(route.host, route.path_prefix), i);
  }
  std::set<std::string> private_workspaces;
  for (std::size_t i = 0; i < m_configuration.workspaces.size(); ++i) {
    const Workspace& workspace = m_configuration.workspaces[i];
    for (const std::string& key : workspace.keys) {
      m_keys.emplace(key, i);
    }
    if (workspace.private_cache) {
      private_workspaces.insert(workspace.name);
    }
    if (!workspace.allowed_regions.empty()) {
      m_restricted_workspaces[workspace.name].push_back(
          workspace.allowed_regions);
    }
  }
  for (const Workspace& workspace : m_configuration.workspaces) {
    if (!private_workspaces.contains(workspace.name)) {
      m_sharing_workspaces.insert(workspace.name);
    }
  }
  m_shared_scope = SharedScope(private_workspaces);
  for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
    const Service& service = m_configuration.services[i];
    m_services.emplace(service.name, i);
    m_has_warm_up = m_has_warm_up || service.warm_up.has_value();
  }
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  // Routes are matched by host name without the port.
  host = host.substr(0, host.find(':'));
  std::string key = RouteKey(host, path);
  const std::size_t host_end = host.size();
  for (std::size_t slash = key.rfind('/');
       slash != std::string::npos && slash > host_end;
       slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1)) {
    key.resize(slash + 1);
    const auto found = m_routes.find(key);
    if (found != m_routes.end()) {
      return &m_configuration.routes[found->second];
    }
  }
  return nullptr;
}

const Workspace* RouteTable::FindWorkspace(std::string_view key) const {
  const auto found = m_keys.find(std::string(key));
  return found == m_keys.end() ? nullptr
                               : &m_configuration.workspaces[found->second];
}

std::string RouteTable::CacheScope(const std::string& workspace) const {
  return workspace.empty() || m_sharing_workspaces.contains(workspace)
             ? m_shared_scope
             : OwnCacheScope(workspace);
}

std::span<const std::vector<std::string>> RouteTable::WorkspaceRegions(
    const std::string& workspace) const {
  if (m_restricted_workspaces.empty()) {
    return {};
  }
  const auto found = m_restricted_workspaces.find(workspace);
  return found == m_restricted_workspaces.end()
             ? std::span<const std::vector<std::string>>()
             : found->second;
}

const Service* RouteTable::FindService(std::string_view name) const {
  const auto found = m_services.find(std::string(name));
  return found == m_services.end() ? nullptr
                                   : &m_configuration.services[found->second];
}

}  // namespace jasminehatch::forwarding
