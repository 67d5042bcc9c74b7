#ifndef JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_
#define JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_

#include <cstddef>
#include <cstdint>
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
};

/// @brief What the other daemons have in flight at each upstream.
///
/// Daemons hear from a sample of the others in a large fleet; what was not
/// heard is estimated from what was.
class FleetLoad {
 public:
  /// @return a short name of an upstream, equal on all daemons
  static std::uint32_t NameOf(const std::string& upstream);

  void Apply(const PeerLoadReported& event, MonotonicTime now);

  /// Sets the number of other daemons that are thought to live.
  void SetPeers(std::size_t peers) { m_peer_count = peers; }

  /// @return what the other daemons have at an upstream
  UpstreamShare Of(std::uint32_t upstream, MonotonicTime now);

  /// @return whether a report of another daemon is recent
  bool Heard(MonotonicTime now);

 private:
  struct Peer {
    MonotonicTime at{};
    std::vector<UpstreamShare> shares;
  };

  void Refresh(MonotonicTime now);

  std::unordered_map<std::string, Peer> m_peers;
  std::unordered_map<std::uint32_t, UpstreamShare> m_totals;
  std::size_t m_peer_count = 0;
  double m_scale = 1;
  MonotonicTime m_refreshed_at{};
  bool m_changed = true;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_
