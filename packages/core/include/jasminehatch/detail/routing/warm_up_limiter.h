#ifndef JASMINEHATCH_DETAIL_ROUTING_WARM_UP_LIMITER_H_
#define JASMINEHATCH_DETAIL_ROUTING_WARM_UP_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch {

class FleetMembers;
struct WarmUpSpec;

/// @brief How the rate of a cold upstream is divided among the daemons.
struct WarmUpDivision {
  std::string_view daemon;  ///< Name of this daemon.
  /// Number of daemons that are counted at least.
  std::size_t min_daemons = 1;
  /// Requests per second that a cold upstream may get from the whole fleet:
  /// `factor` times `WarmUpSpec::rate`, plus `slack`.
  double factor = 1;
  double slack = 0;
};

/// @brief This daemon's part of the rate that a cold upstream can take.
struct WarmUpShare {
  std::size_t requests = 0;  ///< Within any window of this length.
  Duration window{};
};

/// @brief Limits the requests of this daemon to cold upstreams, so that the
/// whole fleet stays within the rate that they can take.
///
/// The rate is divided among the daemons that may be sending
/// (`FleetMembers`). If there are more of them than requests per second, the
/// ones with the highest rendezvous scores for the upstream get one each.
class WarmUpLimiter {
 public:
  /// @return the share of this daemon in the rate of a cold upstream; none if
  /// it does not know the fleet yet
  WarmUpShare ShareOf(const std::string& upstream,
                      const WarmUpSpec& spec,
                      FleetMembers& members,
                      const WarmUpDivision& division,
                      MonotonicTime now);

  /// @return when this daemon may send the next request: `now`, later, or
  /// nothing if its share is none
  std::optional<MonotonicTime> RoomAt(const std::string& upstream,
                                      const WarmUpShare& share,
                                      MonotonicTime now) const;

  /// Records an attempt at a cold upstream. It counts also if the upstream
  /// rejects it or cannot be reached.
  void RecordSend(const std::string& upstream,
                  const WarmUpShare& share,
                  MonotonicTime now);

 private:
  struct Entry {
    std::uint64_t members_version = 0;  ///< Of `rank`.
    std::size_t rank = 0;
    std::deque<MonotonicTime> sends;
    MonotonicTime used_at{};
  };

  void DropUnused(MonotonicTime now);

  std::unordered_map<std::string, Entry> m_upstreams;
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_ROUTING_WARM_UP_LIMITER_H_
