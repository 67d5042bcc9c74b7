#ifndef JASMINEHATCH_DETAIL_CONFIGURATION_CONFIGURATION_H_
#define JASMINEHATCH_DETAIL_CONFIGURATION_CONFIGURATION_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/config/config_change.h"
#include "jasminehatch/detail/serving/residency.h"
#include "jasminehatch/detail/serving/upstream_spec.h"

namespace jasminehatch::codec {

struct IniDocument;

/// @brief A customer: its key, and the models and services it may call.
struct Workspace {
  std::string name;
  std::string key_sha256;  ///< SHA-256 of the bearer key, in hexadecimal.
  std::map<std::string, std::string>
      models;  ///< Allowed weight version by model; it must match exactly.
  std::set<std::string> services;
  /// Regions in which its requests may be processed; empty for all.
  std::vector<std::string> allowed_regions;
};

/// @brief The typed configuration that operators publish.
struct Configuration {
  std::map<std::string, Workspace> workspaces;
  std::vector<serving::UpstreamSpec> upstreams;
  /// Workspace names by the first `kDigestIndexLength` hexadecimal digits of
  /// `key_sha256`.
  std::map<std::string, std::string> workspaces_by_digest;
  /// Availability zones whose upstreams get no new requests.
  std::set<std::string> evacuated_zones;
  serving::Residency residency;

  /// @brief Builds and checks the configuration from published entries.
  /// @throw SettingsError with a number from 110 to 119, or from 103 to 106 for
  /// an unknown section or key and for an invalid or missing value; the message
  /// names the entry, the field and what is allowed
  /// @param file document that the entries come from, for file and line in
  /// messages; null when they come from the configuration stream
  static Configuration FromEntries(
      const std::map<config::EntryId, config::Fields>& entries,
      const IniDocument* file = nullptr);

  /// @return the workspace with this key, or null. Logarithmic in the number of
  /// workspaces; the whole digest is compared in constant time.
  const Workspace* Authenticate(std::string_view bearer_key) const;
};

/// @return the entries of a configuration file: one per section, identified by
/// kind and name
std::map<config::EntryId, config::Fields> ToConfigEntries(
    const IniDocument& document);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_CONFIGURATION_CONFIGURATION_H_
