#include "jasminehatch/detail/forwarding/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

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

}  // namespace

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration)) {
  for (std::size_t i = 0; i < m_configuration.routes.size(); ++i) {
    const Route& route = m_configuration.routes[i];
    m_routes.emplace(RouteKey(route.host, route.path_prefix), i);
  }
  for (std::size_t i = 0; i < m_configuration.workspaces.size(); ++i) {
    for (const std::string& key : m_configuration.workspaces[i].keys) {
      m_keys.emplace(key, i);
    }
  }
  for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
    m_services.emplace(m_configuration.services[i].name, i);
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

const Service* RouteTable::FindService(std::string_view name) const {
  const auto found = m_services.find(std::string(name));
  return found == m_services.end() ? nullptr
                                   : &m_configuration.services[found->second];
}

}  // namespace jasminehatch::forwarding
