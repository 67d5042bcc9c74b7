#ifndef JASMINEHATCH_DETAIL_SETTINGS_FORWARDER_SETTINGS_H_
#define JASMINEHATCH_DETAIL_SETTINGS_FORWARDER_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "jasminehatch/detail/forwarding/options.h"

#include "jasminehatch/detail/forwarding/options.h"

namespace jasminehatch::codec {

struct IniDocument;

/// @brief Settings of a daemon that forwards requests on the platform that its
/// users operate, read at start and again on SIGHUP.
struct ForwarderSettings {
  /// Name of the only section of its settings file.
  static constexpr std::string_view kSection = "forwarder";

  std::string name;  ///< Unique among the daemons.
  std::string zone;
  std::string address;          ///< `ip:port` for callers.
  std::string ready_address;    ///< `ip:port` for readiness checks.
  std::string metrics_address;  ///< `ip:port`; empty for none.
  std::string peer_address;     ///< `ip:port` for gossip; empty for none.
  std::string store_address;    ///< `ip:port` of the platform's store.

  /// Time from a stop request until the platform kills the process.
  std::chrono::milliseconds stop_grace{8000};
  /// Maximum time for which a revoked API key is still accepted.
  std::chrono::milliseconds revoke_limit{5000};
  /// Maximum time for which a leaving upstream still gets new requests.
  std::chrono::milliseconds drain_limit{2000};
  /// Time after the publication of a weight version from which no request may
  /// start on older weights.
  std::chrono::milliseconds version_limit{6000};
  /// Minimum time between weight-load orders of two different daemons.
  std::chrono::milliseconds lease_time{3000};
  /// Whether upstreams reject orders with an older fencing token.
  bool upstreams_check_fences = true;
  /// Retries of all daemons together allowed per request to a service.
  double retry_ratio = 0.2;
  /// Additional retries of all daemons together allowed per service and retry
  /// window.
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

  /// @brief Reads settings from an INI document.
  /// @throw SettingsError 1xx; the message has file, line, key and what is
  /// allowed. Strong exception guarantee.
  static ForwarderSettings Read(const IniDocument& document);

  /// @return whether the document has the section of a forwarding daemon
  static bool HasForwarderSection(const IniDocument& document);

  /// @return the table of all settings with defaults and units, in Markdown
  static std::string Documentation();
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_SETTINGS_FORWARDER_SETTINGS_H_
