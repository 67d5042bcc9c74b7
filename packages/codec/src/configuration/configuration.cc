#include "jasminehatch/detail/configuration/configuration.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/hash/sha256.h"
#include "jasminehatch/detail/ini/ini_document.h"
#include "jasminehatch/detail/settings/field_table.h"

namespace jasminehatch::codec {
namespace {

using serving::UpstreamSpec;

/// Number of leading hexadecimal digits of a key's digest that index the
/// workspaces. The time of the lookup may reveal something about the digest of
/// the received key, which does not help to find a valid key; the whole digest
/// is then compared in constant time.
constexpr std::size_t kDigestIndexLength = 32;

/// Minimum length of the reason of an exception, in characters; shorter reasons
/// carry no information.
constexpr std::size_t kMinReasonLength = 10;

/// @return a list of regions, which restricts requests even if a region has no
/// zone
std::vector<std::string> ReadRegions(const FieldReader& reader) {
  std::vector<std::string> regions = reader.List();
  if (regions.empty()) {
    // An empty list would lift the restriction.
    reader.Fail(104, "must name at least one region");
  }
  return regions;
}

using WorkspaceField = Field<Workspace>;

constexpr std::array kWorkspaceFields{
    WorkspaceField{"key_sha256",
                   [](const FieldReader& r, Workspace& w) {
                     w.key_sha256 = r.Text();
                     if (w.key_sha256.size() != 64 ||
                         w.key_sha256.find_first_not_of("0123456789abcdef") !=
                             std::string::npos) {
                       r.Fail(110, "must be 64 lower-case hexadecimal digits");
                     }
                   },
                   true, "", "SHA-256 of the bearer key"},
    WorkspaceField{
        "models",
        [](const FieldReader& r, Workspace& w) {
          for (const std::string& item : r.List()) {
            const std::size_t at = item.rfind('@');
            if (at == std::string::npos || at == 0 || at + 1 == item.size()) {
              r.Fail(111, "must be a list of MODEL@VERSION");
            }
            if (!w.models.emplace(item.substr(0, at), item.substr(at + 1))
                     .second) {
              r.Fail(111, "names a model twice");
            }
          }
        },
        false, "none", "models and weight versions that the workspace may use"},
    WorkspaceField{"services",
                   [](const FieldReader& r, Workspace& w) {
                     for (std::string& item : r.List()) {
                       w.services.insert(std::move(item));
                     }
                   },
                   false, "none", "plain services that the workspace may call"},
    WorkspaceField{"allowed_regions",
                   [](const FieldReader& r, Workspace& w) {
                     w.allowed_regions = ReadRegions(r);
                   },
                   false, "all", "regions in which requests are processed"},
};

using UpstreamField = Field<UpstreamSpec>;

constexpr std::array kUpstreamFields{
    UpstreamField{
        "zone",
        [](const FieldReader& r, UpstreamSpec& u) { u.zone = r.Text(); }, true,
        "", "availability zone"},
    UpstreamField{
        "url", [](const FieldReader& r, UpstreamSpec& u) { u.url = r.Text(); },
        true, "", "base URL"},
    UpstreamField{
        "model",
        [](const FieldReader& r, UpstreamSpec& u) { u.model = r.Text(); },
        false, "", "model of an engine"},
    UpstreamField{"weight_version",
                  [](const FieldReader& r, UpstreamSpec& u) {
                    u.weight_version = r.Text();
                  },
                  false, "", "weight version of an engine"},
    UpstreamField{"service",
                  [](const FieldReader& r, UpstreamSpec& u) {
                    u.model = "service:" + r.Text();
                  },
                  false, "", "name of a plain service, in place of a model"},
    UpstreamField{
        "leaving",
        [](const FieldReader& r, UpstreamSpec& u) { u.leaving = r.Flag(); },
        false, "no", "whether an operator drains the upstream"},
};

/// Fields that are set for all upstreams together; a single upstream has other
/// values only by an exception with a reason.
constexpr std::array kTuningFields{
    UpstreamField{"prefill_rate",
                  [](const FieldReader& r, UpstreamSpec& u) {
                    u.prefill_tokens_per_second = r.Number(1, 1e9);
                  },
                  false, "8000", "prompt tokens computed per second"},
    UpstreamField{"link_rate",
                  [](const FieldReader& r, UpstreamSpec& u) {
                    u.link_bytes_per_second = r.Number(1, 1e12);
                  },
                  false, "1e9",
                  "bytes per second on the link from the cache stores"},
    UpstreamField{"max_in_flight",
                  [](const FieldReader& r, UpstreamSpec& u) {
                    u.max_in_flight =
                        static_cast<std::uint32_t>(r.Integer(1, 100'000));
                  },
                  false, "64",
                  "maximum concurrent requests of one daemon on an upstream"},
};

/// @brief An availability zone and what the operators do with it.
struct Zone {
  bool evacuated = false;
  std::string region;  ///< Empty if it is in none.
};

using ZoneField = Field<Zone>;

constexpr std::array kZoneFields{
    ZoneField{"evacuated",
              [](const FieldReader& r, Zone& z) { z.evacuated = r.Flag(); },
              false, "no",
              "whether the upstreams of the zone get no new requests"},
    ZoneField{"region",
              [](const FieldReader& r, Zone& z) { z.region = r.Text(); }, false,
              "none", "region of the zone"},
};

/// @brief What holds for all upstreams of a model or of a plain service.
struct Service {
  std::optional<std::chrono::milliseconds> warm_up_time;
  std::optional<double> warm_up_rate;  ///< Requests per second.
  std::vector<std::string> allowed_regions;
};

using ServiceField = Field<Service>;

constexpr std::array kServiceFields{
    ServiceField{
        "warm_up_time",
        [](const FieldReader& r, Service& s) {
          s.warm_up_time =
              r.Duration(std::chrono::milliseconds(100), std::chrono::hours(1));
        },
        false, "none", "time for which an upstream that starts is cold"},
    ServiceField{"warm_up_rate",
                 [](const FieldReader& r, Service& s) {
                   s.warm_up_rate = r.Number(0.01, 1e6);
                 },
                 false, "none",
                 "requests per second that a cold upstream gets from all "
                 "daemons together"},
    ServiceField{"allowed_regions",
                 [](const FieldReader& r, Service& s) {
                   s.allowed_regions = ReadRegions(r);
                 },
                 false, "all", "regions in which requests are processed"},
};

/// @brief Locates entries for error messages: in a file with line numbers, or
/// by their heading when they come from the log.
class EntryLocator {
 public:
  explicit EntryLocator(const IniDocument* file) : m_file(file) {}

  /// Converts an entry to an INI section for `ReadSection`.
  IniSection ToSection(const config::EntryId& id,
                       const config::Fields& fields) const {
    if (const IniSection* section = Find(id)) {
      return *section;
    }
    IniSection section;
    section.kind = id.kind;
    section.name = id.name;
    for (const auto& [key, value] : fields) {
      section.entries.push_back({key, value, 0});
    }
    return section;
  }

  /// @return the document that error messages of `ReadSection` name
  IniDocument DocumentOf(const config::EntryId& id) const {
    IniDocument document;
    document.file = m_file != nullptr ? m_file->file : Heading(id);
    return document;
  }

  /// @return `file:line: [kind name]`, or the heading alone
  std::string LocationOf(const config::EntryId& id) const {
    const IniSection* section = Find(id);
    return section == nullptr
               ? Heading(id)
               : m_file->Location(section->line) + ": " + Heading(id);
  }

 private:
  static std::string Heading(const config::EntryId& id) {
    return "[" + id.kind + (id.name.empty() ? "" : " " + id.name) + "]";
  }

  const IniSection* Find(const config::EntryId& id) const {
    if (m_file == nullptr) {
      return nullptr;
    }
    const auto section = std::find_if(
        m_file->sections.begin(), m_file->sections.end(),
        [&id](const IniSection& candidate) {
          return candidate.kind == id.kind && candidate.name == id.name;
        });
    return section == m_file->sections.end() ? nullptr : &*section;
  }

  const IniDocument* m_file;
};

void ApplyException(const config::EntryId& id,
                    const config::Fields& fields,
                    const EntryLocator& locator,
                    Configuration& configuration) {
  const std::string location = locator.LocationOf(id);
  IniSection section = locator.ToSection(id, fields);
  const IniEntry* reason = section.Find("reason");
  if (reason == nullptr || reason->value.size() < kMinReasonLength) {
    throw SettingsError(
        112,
        location +
            ": an exception needs a written reason of at least 10 characters");
  }
  const IniEntry* upstream = section.Find("upstream");
  if (upstream == nullptr) {
    throw SettingsError(112,
                        location + ": an exception needs the key 'upstream'");
  }
  const auto spec = std::find_if(configuration.upstreams.begin(),
                                 configuration.upstreams.end(),
                                 [&](const UpstreamSpec& candidate) {
                                   return candidate.name == upstream->value;
                                 });
  if (spec == configuration.upstreams.end()) {
    throw SettingsError(
        113, location + ": there is no upstream '" + upstream->value + "'");
  }
  std::erase_if(section.entries, [](const IniEntry& entry) {
    return entry.key == "reason" || entry.key == "upstream";
  });
  ReadSection<UpstreamSpec>(locator.DocumentOf(id), section, kTuningFields,
                            *spec);
}

/// Applies the section of a service to its upstreams: those of the model or of
/// the plain service of this name.
void ApplyService(const config::EntryId& id,
                  const config::Fields& fields,
                  const EntryLocator& locator,
                  Configuration& configuration) {
  const std::string location = locator.LocationOf(id);
  Service service;
  ReadSection<Service>(locator.DocumentOf(id), locator.ToSection(id, fields),
                       kServiceFields, service);
  if (service.warm_up_time.has_value() != service.warm_up_rate.has_value()) {
    const bool has_time = service.warm_up_time.has_value();
    throw SettingsError(
        117, location + ": '" + (has_time ? "warm_up_time" : "warm_up_rate") +
                 "' needs '" + (has_time ? "warm_up_rate" : "warm_up_time") +
                 "' as well");
  }
  bool found = false;
  for (UpstreamSpec& spec : configuration.upstreams) {
    if (spec.model != id.name && spec.model != "service:" + id.name) {
      continue;
    }
    found = true;
    if (!service.allowed_regions.empty()) {
      configuration.residency.services[spec.model] = service.allowed_regions;
    }
    if (service.warm_up_time) {
      spec.warm_up = WarmUpSpec{*service.warm_up_time, *service.warm_up_rate};
    }
  }
  if (!found) {
    throw SettingsError(118, location +
                                 ": no upstream has the model or the "
                                 "service '" +
                                 id.name + "'");
  }
}

void CheckWorkspace(const Workspace& workspace,
                    const EntryLocator& locator,
                    const Configuration& configuration) {
  for (const auto& [model, version] : workspace.models) {
    if (std::none_of(configuration.upstreams.begin(),
                     configuration.upstreams.end(),
                     [&m = model](const UpstreamSpec& spec) {
                       return spec.model == m;
                     })) {
      throw SettingsError(114,
                          locator.LocationOf({"workspace", workspace.name}) +
                              ": no upstream serves the model '" + model + "'");
    }
  }
}

}  // namespace

Configuration Configuration::FromEntries(
    const std::map<config::EntryId, config::Fields>& entries,
    const IniDocument* file) {
  const EntryLocator locator(file);
  Configuration configuration;
  UpstreamSpec defaults;
  if (const auto entry = entries.find({"defaults", ""});
      entry != entries.end()) {
    ReadSection<UpstreamSpec>(locator.DocumentOf(entry->first),
                              locator.ToSection(entry->first, entry->second),
                              kTuningFields, defaults);
  }
  for (const auto& [id, fields] : entries) {
    const IniDocument document = locator.DocumentOf(id);
    const std::string location = locator.LocationOf(id);
    const IniSection section = locator.ToSection(id, fields);
    if (id.kind == "workspace" && !id.name.empty()) {
      Workspace workspace;
      workspace.name = id.name;
      ReadSection<Workspace>(document, section, kWorkspaceFields, workspace);
      const auto [other, inserted] = configuration.workspaces_by_digest.emplace(
          workspace.key_sha256.substr(0, kDigestIndexLength), id.name);
      if (!inserted) {
        throw SettingsError(116, location +
                                     ": has the same key as [workspace " +
                                     other->second + "]");
      }
      if (!workspace.allowed_regions.empty()) {
        configuration.residency.workspaces[id.name] = workspace.allowed_regions;
      }
      configuration.workspaces.emplace(id.name, std::move(workspace));
    } else if (id.kind == "upstream" && !id.name.empty()) {
      UpstreamSpec spec = defaults;
      spec.name = id.name;
      ReadSection<UpstreamSpec>(document, section, kUpstreamFields, spec);
      if ((section.Find("model") == nullptr) ==
          (section.Find("service") == nullptr)) {
        throw SettingsError(115,
                            location + ": needs either 'model' or 'service'");
      }
      configuration.upstreams.push_back(std::move(spec));
    } else if (id.kind == "zone" && !id.name.empty()) {
      Zone zone;
      ReadSection<Zone>(document, section, kZoneFields, zone);
      if (section.entries.empty()) {
        throw SettingsError(106, location + ": needs 'evacuated' or 'region'");
      }
      if (zone.evacuated) {
        configuration.evacuated_zones.insert(id.name);
      }
      if (!zone.region.empty()) {
        configuration.residency.zone_regions[id.name] = zone.region;
      }
    } else if (id.kind != "exception" &&
               (id.kind != "service" || id.name.empty()) &&
               id != config::EntryId{"defaults", ""}) {
      throw SettingsError(103, location +
                                   ": unknown section; allowed: defaults, "
                                   "workspace NAME, upstream NAME, "
                                   "exception NAME, zone NAME, "
                                   "service NAME");
    }
  }
  for (UpstreamSpec& spec : configuration.upstreams) {
    spec.evacuated = configuration.evacuated_zones.contains(spec.zone);
  }
  for (const auto& [id, fields] : entries) {
    if (id.kind == "exception") {
      ApplyException(id, fields, locator, configuration);
    } else if (id.kind == "service") {
      ApplyService(id, fields, locator, configuration);
    }
  }
  for (const auto& [name, workspace] : configuration.workspaces) {
    CheckWorkspace(workspace, locator, configuration);
  }
  return configuration;
}

const Workspace* Configuration::Authenticate(
    std::string_view bearer_key) const {
  const std::string digest = Sha256Hex(bearer_key);
  const auto name =
      workspaces_by_digest.find(digest.substr(0, kDigestIndexLength));
  if (name == workspaces_by_digest.end()) {
    return nullptr;
  }
  const Workspace& workspace = workspaces.at(name->second);
  return EqualInConstantTime(workspace.key_sha256, digest) ? &workspace
                                                           : nullptr;
}

std::map<config::EntryId, config::Fields> ToConfigEntries(
    const IniDocument& document) {
  std::map<config::EntryId, config::Fields> entries;
  for (const IniSection& section : document.sections) {
    config::Fields& fields = entries[{section.kind, section.name}];
    for (const IniEntry& entry : section.entries) {
      fields.emplace(entry.key, entry.value);
    }
  }
  return entries;
}

}  // namespace jasminehatch::codec
