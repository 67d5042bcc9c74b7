#ifndef JASMINEHATCH_DETAIL_FORWARDING_REMOVED_UPSTREAM_NOTICES_H_
#define JASMINEHATCH_DETAIL_FORWARDING_REMOVED_UPSTREAM_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/upstream.h"

namespace jasminehatch::forwarding {

/// @brief Notices of upstreams that have no entry in the registry, for the case
/// that the same process registers again. Memory is bounded; the oldest notice
/// is dropped first.
class RemovedUpstreamNotices {
 public:
  static constexpr std::size_t kMaxNotices = 1024;

  /// Stores the notice of a process; replaces that of another process with the
  /// same id.
  void Store(const std::string& id,
             std::uint64_t started_at,
             const UpstreamNotice& notice);

  /// Removes the notice stored under an id.
  /// @return the notice if it is of the same process, otherwise what of it
  /// holds after a restart; empty if none is stored
  UpstreamNotice Take(const std::string& id,
                      std::uint64_t started_at,
                      MonotonicTime now);

  std::size_t Size() const { return m_notices.size(); }

 private:
  struct RemovedUpstream {
    std::string id;
    std::uint64_t started_at = 0;
    UpstreamNotice notice;
  };

  std::deque<RemovedUpstream> m_notices;  ///< Oldest first.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_REMOVED_UPSTREAM_NOTICES_H_
