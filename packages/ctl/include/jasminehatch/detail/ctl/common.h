#ifndef JASMINEHATCH_DETAIL_CTL_COMMON_H_
#define JASMINEHATCH_DETAIL_CTL_COMMON_H_

#include <gflags/gflags.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/config/config_change.h"
#include "jasminehatch/detail/ctl/config_client.h"

DECLARE_string(log);
DECLARE_string(daemons);
DECLARE_string(author);
DECLARE_bool(json);

namespace jasminehatch::net {
struct HttpResult;
}

namespace jasminehatch::ctl {

class SyncClient;

/// @return a random change id
std::string NewChangeId();

/// @return the URLs of `--daemons`
std::vector<std::string> DaemonUrls();

/// Prints that a flag is missing and returns the exit code for wrong usage.
int ReportMissingFlag(std::string_view flag);

/// @brief Reads and validates a configuration file.
/// @throw SettingsError 1xx; the message has file and line
std::map<config::EntryId, config::Fields> LoadConfigurationFile(
    const std::string& file);

/// @brief Adds the evacuations of the configuration in force to a file's
/// entries that lack them, since only `evacuate end` ends an evacuation.
void KeepZones(const std::map<config::EntryId, config::Fields>& current,
               std::map<config::EntryId, config::Fields>& wanted);

/// @return the JSON object in the body of a complete response with any status,
/// or nothing
std::optional<nlohmann::json> ReadObject(const net::HttpResult& result);

/// @return why a call has no usable response
std::string DescribeFailure(const net::HttpResult& result);

/// @return the `/status` document of a daemon, or nothing when it does not
/// respond
std::optional<nlohmann::json> FetchStatus(SyncClient& client,
                                          const std::string& url,
                                          std::string& error);

/// @brief Prints the result of a publication.
/// @param details further fields of the JSON output
/// @return the exit code
int ReportPublication(PublishResult result,
                      config::Version version,
                      nlohmann::json details = nlohmann::json::object());

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_COMMON_H_
