#ifndef JASMINEHATCH_DETAIL_SETTINGS_FORWARDER_SETTINGS_H_
#define JASMINEHATCH_DETAIL_SETTINGS_FORWARDER_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "jasminehatch/detail/forwarding/options.h"

namespace jasminehatch::codec {

struct IniDocument;

/// @brief Settings of a daemon that runs as a forwarder: it forwards requests
/// on the platform that the users of this project operate, and reads the
/// configuration and the registry from the platform's store. Read at start and
/// again on SIGHUP.
struct ForwarderSettings {
  /// Name of the only section of its settings file.
  static constexpr std::string_view kSection = "forwarder";

  std::string name;  ///< Unique among the daemons.
  std::string zone;
  std::string address;          ///< `ip:port` for callers.
  std::string ready_address;    ///< `ip:port` for readiness checks.
  std::string metrics_address;  ///< `ip:port`; empty for none.
  std::string peer_address;     ///< `ip:port` for gossip; empty for none.
  /// `ip:port` at which other daemons reach `peer_address`; empty for that
  /// address itself.
  std::string advertised_peer_address;
  /// Processing capacity of this VM relative to the others. Daemons with the
  /// largest capacity read shared state for their zone.
  double capacity = 1;
  /// `ip:port` of the platform's store, which holds the configuration and the
  /// registry.
  std::string store_address;

  /// Time from a stop request until the platform kills the process.
  std::chrono::milliseconds stop_grace{8000};
  /// Maximum time for which a revoked API key is still accepted.
  std::chrono::milliseconds revoke_limit{5000};
  /// Maximum time for which a leaving upstream still gets new requests.
  std::chrono::milliseconds drain_limit{2000};
  /// Maximum time after the publication of a weight version for which requests
  /// may still start on older weights.
  std::chrono::milliseconds version_limit{6000};
  /// Time after its start from which a daemon keeps all time limits, also those
  /// of events before the start.
  std::chrono::milliseconds contact_limit{3000};
  /// Minimum time between orders from two different daemons; an order tells a
  /// model engine to load a weight version.
  std::chrono::milliseconds lease_time{3000};
  /// Whether upstreams reject orders to load weights that have an older fencing
  /// token.
  bool upstreams_check_fences = true;
  /// Allowed ratio of retries to requests per service, counted over all
  /// daemons.
  double retry_ratio = 0.2;
  /// Retries per service and retry window that are allowed in addition to
  /// `retry_ratio`, counted over all daemons.
  double retry_slack = 50;
  /// Period over which requests and retries are counted.
  std::chrono::seconds retry_window{10};
  /// How the engine of a prompt is chosen.
  forwarding::PromptPlacement prompt_placement =
      forwarding::PromptPlacement::kPrefix;
  /// Whether prompt parts are saved in and fetched from cache stores.
  bool use_cache_stores = true;
  /// Whether prompts are refused when no engine has memory for them.
  bool limit_admission = true;
  /// Memory of the VM, in bytes; 0 for what the operating system reports.
  std::size_t memory = 0;
  /// Maximum time after the operators began the evacuation of a zone for which
  /// its upstreams still get new requests; zero if there is no such limit.
  std::chrono::milliseconds evacuate_limit{0};
  /// Region of this daemon's zone, if `zone_regions` does not name it; empty if
  /// unknown.
  std::string region;
  /// Regions of the availability zones.
  ZoneRegions zone_regions;
  /// Requests per second that a cold upstream may get from all daemons, as a
  /// multiple of the rate in the configuration.
  double warm_up_factor = 1;
  /// Requests per second that are allowed in addition to `warm_up_factor`.
  double warm_up_slack = 0;

  /// @brief Reads settings from an INI document.
  /// @throw SettingsError with a number from 100 to 199; the message names the
  /// file, the line, the key and the allowed values. Strong exception
  /// guarantee.
  static ForwarderSettings Read(const IniDocument& document);

  /// @return whether the document has the section of a forwarding daemon
  static bool HasForwarderSection(const IniDocument& document);

  /// @return the table of all settings with defaults and units, in Markdown
  static std::string Documentation();
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_SETTINGS_FORWARDER_SETTINGS_H_
