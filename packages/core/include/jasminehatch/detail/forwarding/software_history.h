#ifndef JASMINEHATCH_DETAIL_FORWARDING_SOFTWARE_HISTORY_H_
#define JASMINEHATCH_DETAIL_FORWARDING_SOFTWARE_HISTORY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Software versions that upstreams of each service ran recently.
class SoftwareHistory {
 public:
  /// Records that an upstream of the service ran the version until now.
  void OnSeen(const std::string& service,
              const std::string& version,
              MonotonicTime now) {
    m_last_seen[service][version] = now;
  }

  /// Records that the version, which no upstream of the service ran, has joined
  /// it. Ignored if the version has left a short time ago: every daemon that
  /// knows that it left still counts it.
  void OnJoined(const std::string& service,
                const std::string& version,
                MonotonicTime now);

  /// @return when the version joined the service; empty if it did not join
  /// while this daemon ran
  std::optional<MonotonicTime> JoinedAt(const std::string& service,
                                        const std::string& version) const;

  /// @return the versions with which a stream may have begun that can still be
  /// resumed
  std::set<std::string> Recent(const std::string& service,
                               MonotonicTime now) const;

 private:
  /// By service and version.
  using Times = std::map<std::string, std::map<std::string, MonotonicTime>>;

  Times m_last_seen;
  Times m_joined_at;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_SOFTWARE_HISTORY_H_
