#ifndef JASMINEHATCH_DETAIL_CTL_CONFIG_CLIENT_H_
#define JASMINEHATCH_DETAIL_CTL_CONFIG_CLIENT_H_

#include <map>
#include <string>
#include <vector>

#include "jasminehatch/detail/config/config_change.h"
#include "jasminehatch/detail/config/config_fold.h"

namespace jasminehatch::ctl {

class SyncClient;

/// @brief Result of a publication.
enum class PublishResult {
  kAccepted,
  kRejected,  ///< Another change to the same base version came first.
  kUnchanged,
  kUnknown,  ///< The log could not be read back; the change may still be
             ///< accepted.
};

/// @brief Reads and publishes the configuration on the log.
class ConfigClient {
 public:
  ConfigClient(SyncClient& client, std::string log_url)
      : m_client(client), m_log_url(std::move(log_url)) {}

  /// @brief Reads the configuration stream and folds its records.
  /// @throw TransportError 310 when the log cannot be read, 311 when records
  /// are missing
  config::ConfigFold ReadAll();

  /// @brief Publishes the difference between the configuration in force and
  /// `wanted`.
  ///
  /// Reads the outcome back from the log, so that a lost response to the append
  /// does not matter.
  /// @param change_id unique id of the change
  /// @param version set to the version in force that was read last
  /// @throw TransportError 310 when the log cannot be read before the append;
  /// nothing was published then
  PublishResult Publish(const std::map<config::EntryId, config::Fields>& wanted,
                        const std::string& change_id,
                        const std::string& author,
                        config::Version& version);

 private:
  SyncClient& m_client;
  std::string m_log_url;
};

/// @return the updates that turn `current` into `wanted`
std::vector<config::ConfigChange::Update> DiffEntries(
    const std::map<config::EntryId, config::Fields>& current,
    const std::map<config::EntryId, config::Fields>& wanted);

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_CONFIG_CLIENT_H_
