#ifndef JASMINEHATCH_DETAIL_SETTINGS_DAEMON_SETTINGS_H_
#define JASMINEHATCH_DETAIL_SETTINGS_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "jasminehatch/detail/booking/options.h"
#include "jasminehatch/detail/config/options.h"
#include "jasminehatch/detail/membership/options.h"
#include "jasminehatch/detail/serving/options.h"

namespace jasminehatch::codec {

struct IniDocument;

/// @brief Address of another daemon.
struct PeerSettings {
  std::string name;
  std::string zone;
  std::string url;
};

/// @brief Settings of one daemon process, read at start.
struct DaemonSettings {
  std::string name;  ///< Unique among the daemons.
  std::string zone;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t body_limit = 8UL << 20U;
  /// Maximum bytes of a streamed response buffered for a slow caller.
  std::size_t unsent_limit = 4UL << 20U;
  std::chrono::milliseconds read_timeout{
      60'000};  ///< For receiving a request, and for an idle connection.
  std::chrono::milliseconds stop_delay{
      2000};  ///< Time for the load balancer to notice that the daemon is not
              ///< ready.

  /// Memory of the VM, in bytes; 0 for what the operating system reports.
  std::size_t memory = 0;

  std::string log_url;
  std::chrono::milliseconds log_timeout{2000};
  std::string vm_list_url;  ///< Empty when there is no VM list.

  std::chrono::milliseconds load_interval{
      200};  ///< Time between load queries to an upstream.
  std::chrono::milliseconds first_byte_timeout{120'000};
  std::chrono::milliseconds idle_timeout{
      30'000};  ///< Maximum time without data within a response.
  std::chrono::milliseconds dispatch_timeout{10'000};

  std::chrono::milliseconds vm_list_interval{1000};

  config::Options config;
  membership::Options membership;
  serving::Options serving;
  booking::Options booking;
  std::vector<PeerSettings> peers;

  /// @brief Reads settings from an INI document.
  /// @throw SettingsError with a number from 100 to 199; the message names the
  /// file, the line, the key and the allowed values. Strong exception
  /// guarantee.
  static DaemonSettings Read(const IniDocument& document);

  /// @return the table of all settings with defaults and units, in Markdown
  static std::string Documentation();
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_SETTINGS_DAEMON_SETTINGS_H_
