#ifndef JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_
#define JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief One daemon's part of an upstream's load.
struct UpstreamShare {
  std::uint32_t upstream = 0;  ///< `FleetLoad::NameOf` its id.
  std::uint32_t in_flight = 0;
  std::uint64_t tokens = 0;  ///< Memory that the requests in flight need.
};

/// Another daemon told what it has in flight.
struct PeerLoadReported {
  std::string peer;
  std::vector<UpstreamShare> shares;  ///< Upstreams without load are left out.
  /// The peer's availability zone, when the shares are those of all its
  /// daemons; else empty.
  std::string whole_zone;
};

/// @brief What the other daemons have in flight at each upstream.
///
/// In a large fleet, daemons hear from those of their own zone one by one, and
/// from other zones as a whole; daemons that were not heard are estimated from
/// those that were.
class FleetLoad {
 public:
  /// @return a short name of an upstream, equal on all daemons
  static std::uint32_t NameOf(const std::string& upstream);

  void Apply(const PeerLoadReported& event, MonotonicTime now);

  /// Sets how many live daemons report one by one.
  void SetPeers(std::size_t peers) { m_peer_count = peers; }

  /// @return what all daemons have that report one by one, with `own` added
  std::vector<UpstreamShare> ZoneShares(std::span<const UpstreamShare> own,
                                        MonotonicTime now);

  /// @return what the other daemons have at an upstream
  UpstreamShare Of(std::uint32_t upstream, MonotonicTime now);

  /// @return whether a report of another daemon is recent
  bool Heard(MonotonicTime now);

 private:
  struct Peer {
    MonotonicTime at{};
    std::vector<UpstreamShare> shares;
  };

  using Totals = std::unordered_map<std::uint32_t, UpstreamShare>;

  void Refresh(MonotonicTime now);

  std::unordered_map<std::string, Peer> m_peers;
  std::unordered_map<std::string, Peer> m_zones;  ///< Newest report of each.
  Totals m_near;   ///< Of daemons that report one by one, scaled.
  Totals m_total;  ///< With the other zones.
  std::size_t m_peer_count = 0;
  MonotonicTime m_refreshed_at{};
  bool m_changed = true;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_
