#include "jasminehatch/detail/settings/forwarder_settings.h"

#include <algorithm>
#include <array>
#include <utility>

#include "jasminehatch/detail/ini/ini_document.h"
#include "jasminehatch/detail/settings/field_table.h"

namespace jasminehatch::codec {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

using ForwarderField = Field<ForwarderSettings>;

forwarding::PromptPlacement ReadPromptPlacement(const FieldReader& reader) {
  using forwarding::PromptPlacement;
  constexpr std::array<std::pair<std::string_view, PromptPlacement>, 3> kNames{
      {{"prefix", PromptPlacement::kPrefix},
       {"prefix_alone", PromptPlacement::kPrefixAlone},
       {"least_loaded", PromptPlacement::kLeastLoaded}}};
  const std::string text = reader.Text();
  for (const auto& [name, placement] : kNames) {
    if (name == text) {
      return placement;
    }
  }
  reader.Fail(104, "must be prefix, prefix_alone or least_loaded");
}

/// Memory below which a daemon does not run, and above which a value is a
/// mistake, in bytes.
constexpr std::size_t kMinMemory = 32'000'000;
constexpr std::size_t kMaxMemory = 1'000'000'000'000;

ZoneRegions ReadZoneRegions(const FieldReader& reader) {
  ZoneRegions regions;
  // The platform fills in an empty list where no zone has a region.
  if (reader.IsEmpty()) {
    return regions;
  }
  for (const std::string& item : reader.List()) {
    const std::size_t colon = item.find(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == item.size()) {
      reader.Fail(104, "must be a list of ZONE:REGION");
    }
    if (!regions.emplace(item.substr(0, colon), item.substr(colon + 1))
             .second) {
      reader.Fail(104, "names a zone twice");
    }
  }
  return regions;
}

constexpr std::array kFields{
    ForwarderField{
        "name",
        [](const FieldReader& r, ForwarderSettings& s) { s.name = r.Text(); },
        true, "", "name of this daemon, unique among all daemons"},
    ForwarderField{
        "zone",
        [](const FieldReader& r, ForwarderSettings& s) { s.zone = r.Text(); },
        true, "", "availability zone of this entry VM"},
    ForwarderField{"address",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.address = r.Text();
                   },
                   true, "", "ip:port to listen on for callers"},
    ForwarderField{"ready_address",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.ready_address = r.Text();
                   },
                   true, "",
                   "ip:port for readiness checks by the load balancer"},
    ForwarderField{"metrics_address",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.metrics_address = r.Text();
                   },
                   false, "none", "ip:port where metrics are served"},
    ForwarderField{"peer_address",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.peer_address = r.Text();
                   },
                   false, "none",
                   "ip:port for gossip between daemons, over UDP"},
    ForwarderField{"advertised_peer_address",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.advertised_peer_address = r.Text();
                   },
                   false, "`peer_address`",
                   "ip:port at which other daemons reach `peer_address`, if a "
                   "proxy or a translation of addresses is in between"},
    ForwarderField{"capacity",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.capacity = r.Number(1e-3, 1e6);
                   },
                   false, "1",
                   "processing capacity of this VM relative to the others; "
                   "daemons with the largest one read shared state for their "
                   "availability zone"},
    ForwarderField{"store_address",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.store_address = r.Text();
                   },
                   true, "",
                   "ip:port of the platform's store, which holds the "
                   "configuration and the registry"},
    ForwarderField{
        "stop_grace",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.stop_grace = r.Duration(seconds(1), minutes(10));
        },
        false, "8s",
        "time from a stop request until the platform kills the process"},
    ForwarderField{
        "revoke_limit",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.revoke_limit = r.Duration(milliseconds(500), minutes(10));
        },
        false, "5s",
        "maximum time for which a revoked API key is still accepted"},
    ForwarderField{
        "drain_limit",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.drain_limit = r.Duration(milliseconds(500), minutes(10));
        },
        false, "2s",
        "maximum time for which a leaving upstream still gets new requests"},
    ForwarderField{
        "version_limit",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.version_limit = r.Duration(milliseconds(500), minutes(60));
        },
        false, "6s",
        "maximum time after the publication of a weight version for which "
        "requests may still start on older weights"},
    ForwarderField{
        "contact_limit",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.contact_limit = r.Duration(milliseconds(500), minutes(10));
        },
        false, "3s",
        "time after its start from which a daemon keeps all time limits, also "
        "those of events before the start"},
    ForwarderField{"lease_time",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.lease_time = r.Duration(milliseconds(500), minutes(10));
                   },
                   false, "3s",
                   "minimum time between orders from two different daemons; an "
                   "order tells a model engine to load a weight version"},
    ForwarderField{
        "upstreams_check_fences",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.upstreams_check_fences = r.Flag();
        },
        false, "yes",
        "whether upstreams reject orders to load weights that have an older "
        "fencing token"},
    ForwarderField{
        "retry_ratio",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.retry_ratio = r.Number(0, 10);
        },
        false, "0.2",
        "allowed ratio of retries to requests per service, counted over all "
        "daemons"},
    ForwarderField{
        "retry_slack",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.retry_slack = r.Number(0, 1e6);
        },
        false, "50",
        "retries per service and retry window that are allowed in addition to "
        "`retry_ratio`, counted over all daemons"},
    ForwarderField{"retry_window",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.retry_window = std::chrono::duration_cast<seconds>(
                         r.Duration(seconds(1), minutes(10)));
                   },
                   false, "10s",
                   "period over which requests and retries are counted"},
    ForwarderField{
        "prompt_placement",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.prompt_placement = ReadPromptPlacement(r);
        },
        false, "prefix",
        "how the engine of a prompt is chosen: `prefix` (by the leading "
        "prompt parts, unless that engine is overloaded), "
        "`prefix_alone` (likewise, regardless of load) or "
        "`least_loaded`"},
    ForwarderField{
        "cache_stores",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.use_cache_stores = r.Flag();
        },
        false, "yes",
        "whether prompt parts are saved in and fetched from cache stores"},
    ForwarderField{
        "admission",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.limit_admission = r.Flag();
        },
        false, "yes",
        "whether prompts are refused when no engine has memory for them"},
    ForwarderField{"memory",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.memory = r.Bytes(kMinMemory, kMaxMemory);
                   },
                   false, "as the operating system reports",
                   "memory of the VM, with a unit (for example `112MB`); "
                   "callers together can take a third of it"},
    ForwarderField{
        "evacuate_limit",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.evacuate_limit = r.Duration(milliseconds(500), minutes(10));
        },
        false, "none",
        "maximum time after the operators began the evacuation of a zone for "
        "which its upstreams still get new requests"},
    ForwarderField{
        "region",
        [](const FieldReader& r, ForwarderSettings& s) { s.region = r.Text(); },
        false, "unknown",
        "region of this daemon's zone, if `zone_regions` does not name it"},
    ForwarderField{"zone_regions",
                   [](const FieldReader& r, ForwarderSettings& s) {
                     s.zone_regions = ReadZoneRegions(r);
                   },
                   false, "none",
                   "regions of the availability zones, as a list of "
                   "ZONE:REGION; may be empty. A zone without a region gets no "
                   "requests that are restricted to regions"},
    ForwarderField{
        "warm_up_factor",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.warm_up_factor = r.Number(0, 1e6);
        },
        false, "1",
        "requests per second that a cold upstream may get from all daemons, "
        "as a multiple of the rate in the configuration"},
    ForwarderField{
        "warm_up_slack",
        [](const FieldReader& r, ForwarderSettings& s) {
          s.warm_up_slack = r.Number(0, 1e6);
        },
        false, "0",
        "requests per second that a cold upstream may get in addition to "
        "`warm_up_factor`; the part of the limit above the configured rate is "
        "a reserve for daemons that do not know of each other"},
};

}  // namespace

bool ForwarderSettings::HasForwarderSection(const IniDocument& document) {
  return std::any_of(document.sections.begin(), document.sections.end(),
                     [](const IniSection& s) { return s.kind == kSection; });
}

ForwarderSettings ForwarderSettings::Read(const IniDocument& document) {
  ForwarderSettings settings;
  for (const IniSection& section : document.sections) {
    if (section.kind != kSection || !section.name.empty()) {
      throw SettingsError(103, document.Location(section.line) +
                                   ": unknown section [" + section.kind +
                                   "]; allowed: " + std::string(kSection));
    }
    ReadSection<ForwarderSettings>(document, section, kFields, settings);
  }
  return settings;
}

std::string ForwarderSettings::Documentation() {
  std::string text =
      "| section | key | default | meaning |\n|---|---|---|---|\n";
  for (const ForwarderField& field : kFields) {
    text += "| `[" + std::string(kSection) + "]` | `" + std::string(field.key) +
            "` | " +
            (field.required ? "required" : std::string(field.default_text)) +
            " | " + std::string(field.description) + " |\n";
  }
  return text;
}

}  // namespace jasminehatch::codec
