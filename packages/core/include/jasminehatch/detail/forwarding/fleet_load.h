#ifndef JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_
#define JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Load that one or several daemons put on an upstream.
struct UpstreamLoad {
  std::uint32_t upstream = 0;  ///< `FleetLoad::CompactId` of its id.
  std::uint32_t in_flight = 0;
  std::uint64_t tokens = 0;  ///< Memory needed by these requests, in tokens.
};

/// A load report was received from another daemon.
struct PeerLoadReceived {
  std::string peer;
  std::vector<UpstreamLoad> loads;  ///< Upstreams without load are omitted.
  /// The peer's availability zone if the report covers all daemons of the
  /// zone; empty if it covers only the peer.
  std::string zone;
};

/// @brief In-flight load of the other daemons at each upstream.
///
/// In a large fleet, daemons of the same zone send individual reports, and each
/// other zone sends one report for all its daemons. Missing individual
/// reports are extrapolated from the received ones.
class FleetLoad {
 public:
  /// @return a short hash of the upstream's id, equal on all daemons
  static std::uint32_t CompactId(const std::string& upstream);

  void Apply(const PeerLoadReceived& event, MonotonicTime now);

  /// Sets the number of live peers that send individual reports.
  void SetPeerCount(std::size_t peers) { m_peer_count = peers; }

  /// @return the load of all daemons that send individual reports, plus `own`
  std::vector<UpstreamLoad> ZoneLoads(std::span<const UpstreamLoad> own,
                                      MonotonicTime now);

  /// @return the load of the other daemons at an upstream
  UpstreamLoad LoadOf(std::uint32_t upstream, MonotonicTime now);

  /// @return whether there is a recent report of another daemon
  bool HasRecentReports(MonotonicTime now);

  /// @return the age of the oldest report that counts, if any
  std::optional<Duration> OldestReportAge(MonotonicTime now) const;

 private:
  struct Report {
    MonotonicTime received_at{};
    std::vector<UpstreamLoad> loads;
  };

  using Totals = std::unordered_map<std::uint32_t, UpstreamLoad>;

  void Refresh(MonotonicTime now);

  std::unordered_map<std::string, Report>
      m_peer_reports;  ///< Latest report of each peer.
  std::unordered_map<std::string, Report>
      m_zone_reports;   ///< Latest report of each other zone.
  Totals m_individual;  ///< From individual reports, extrapolated.
  Totals m_total;       ///< Including the other zones.
  std::size_t m_peer_count = 0;
  MonotonicTime m_refreshed_at{};
  bool m_changed = true;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_FLEET_LOAD_H_
