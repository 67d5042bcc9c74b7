#ifndef JASMINEHATCH_DAEMON_SRC_FORWARDER_SOFTWARE_HISTORY_READER_H_
#define JASMINEHATCH_DAEMON_SRC_FORWARDER_SOFTWARE_HISTORY_READER_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace jasminehatch::platform {
class StoreClient;
struct StorePage;
struct StoreRecord;
}  // namespace jasminehatch::platform

namespace jasminehatch::daemon {

class ForwardingHost;

/// @brief Reads the records of the registry that the store still has, once at
/// the start of a daemon.
///
/// The newest entries do not show software versions that have left the registry
/// shortly before. A stream that the daemon is to resume may have begun with
/// one of them.
class SoftwareHistoryReader {
 public:
  SoftwareHistoryReader(platform::StoreClient& store, ForwardingHost& host)
      : m_store(store), m_host(host) {}

  /// @param on_done called after the last record, or when a read failed
  void Start(std::function<void()> on_done);

 private:
  void Read(std::uint64_t from);
  void OnPage(std::uint64_t from, const platform::StorePage& page);
  void Apply(const platform::StoreRecord& record);

  platform::StoreClient& m_store;
  ForwardingHost& m_host;
  std::function<void()> m_on_done;
  /// Services and versions that were applied.
  std::set<std::pair<std::string, std::string>> m_seen;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DAEMON_SRC_FORWARDER_SOFTWARE_HISTORY_READER_H_
