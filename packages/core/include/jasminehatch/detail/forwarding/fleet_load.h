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

/// @brief Load that one or several daemons put on an upstream.
struct UpstreamShare {
  std::uint32_t upstream = 0;  ///< `FleetLoad::NameOf` of its id.
  std::uint32_t in_flight = 0;
  std::uint64_t tokens = 0;  ///< Memory needed by these requests, in tokens.
};

/// A load report was received from another daemon.
struct PeerLoadReported {
  std::string peer;
  std::vector<UpstreamShare> shares;  ///< Upstreams without load are omitted.
  /// The peer's availability zone if the report covers all daemons of the
  /// zone; empty if it covers only the peer.
  std::string whole_zone;
};

/// @brief In-flight load of the other daemons at each upstream.
///
/// In a large fleet, the daemons of the own zone send individual reports, and
/// other zones send one report for all their daemons. Missing individual
/// reports are extrapolated from the received ones.
class FleetLoad {
 public:
  /// @return a short hash of the upstream's id, equal on all daemons
  static std::uint32_t NameOf(const std::string& upstream);

  void Apply(const PeerLoadReported& event, MonotonicTime now);

  /// Sets the number of live peers that send individual reports.
  void SetPeers(std::size_t peers) { m_peer_count = peers; }

  /// @return the load of all daemons that send individual reports, plus `own`
  std::vector<UpstreamShare> ZoneShares(std::span<const UpstreamShare> own,
                                        MonotonicTime now);

  /// @return the load of the other daemons at an upstream
  UpstreamShare Of(std::uint32_t upstream, MonotonicTime now);

  /// @return whether there is a recent report of another daemon
  bool Heard(MonotonicTime now);

 private:
  struct Peer {
    MonotonicTime at{};
    std::vector<UpstreamShare> shares;
  };

  using Totals = std::unordered_map<std::uint32_t, UpstreamShare>;

  void Refresh(MonotonicTime now);

  std::unordered_map<std::string, Peer> m_peers;
  std::unordered_map<std::string, Peer> m_zones;  ///< Latest report of each.
  Totals m_near;   ///< From individual reports, extrapolated.
  Totals m_total;  ///< Including the other zones.
  std::size_t m_peer_count = 0;
  MonotonicTime m_refreshed_at{};
  bool m_changed = true;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_
