#ifndef JASMINEHATCH_DETAIL_FORWARDING_SOFTWARE_HISTORY_H_
#define JASMINEHATCH_DETAIL_FORWARDING_SOFTWARE_HISTORY_H_

#include <map>
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

  /// @return the versions with which a stream may have begun that can still be
  /// resumed
  std::set<std::string> Recent(const std::string& service,
                               MonotonicTime now) const;

 private:
  /// By service and version.
  std::map<std::string, std::map<std::string, MonotonicTime>> m_last_seen;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_SOFTWARE_HISTORY_H_
