#ifndef JASMINEHATCH_DETAIL_FORWARDING_UNREACHABLE_ZONES_H_
#define JASMINEHATCH_DETAIL_FORWARDING_UNREACHABLE_ZONES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief The availability zones that this daemon cannot reach, because
/// connects to several of their upstreams timed out and nothing was received
/// from the zone meanwhile.
///
/// The caller leaves out the daemon's own zone. Checks take constant time while
/// all zones are reachable.
class UnreachableZones {
 public:
  /// Number of different upstreams of a zone. Fewer may stop at the same time
  /// without a fault of the link.
  static constexpr std::size_t kMinUpstreams = 3;

  /// The timeouts must occur within this time. A connect times out after
  /// 0.4 s, so that it covers several attempts of one request after the other.
  static constexpr std::chrono::seconds kWindow{2};

  /// Time until the first probe; doubles with each further one, up to
  /// `kMaxProbeInterval`. It is longer than the timeout of a connect.
  static constexpr std::chrono::milliseconds kFirstProbeInterval{500};

  /// A probe costs one request the timeout of a connect, and the interval is
  /// how late the end of a cut may be noticed.
  static constexpr std::chrono::seconds kMaxProbeInterval{4};

  /// A probe without an outcome for this long no longer delays the next one. It
  /// may wait on a connection that was opened before the cut.
  static constexpr std::chrono::seconds kMaxProbeTime{5};

  /// @brief The time for which a zone is unreachable.
  struct Outage {
    MonotonicTime since{};
    std::size_t failures = 0;  ///< Connects that timed out, from the first on.
  };

  /// Records that a connect to an upstream timed out.
  /// @return the outage if it begins with this
  std::optional<Outage> OnConnectTimeout(std::string_view zone,
                                         std::string_view upstream,
                                         MonotonicTime now);

  /// Records that something was received from an upstream of the zone.
  /// @return the outage that ends with this, if any
  std::optional<Outage> OnContact(std::string_view zone);

  /// Records an attempt at an upstream of the zone, which is a probe if the
  /// zone is unreachable.
  void OnAttemptStarted(std::string_view zone,
                        AttemptId attempt,
                        MonotonicTime now);

  /// Records the end of an attempt at an upstream of the zone.
  void OnAttemptEnded(std::string_view zone, AttemptId attempt);

  /// @return whether upstreams of the zone are no candidates: it is
  /// unreachable, and no probe is due
  bool Excludes(std::string_view zone, MonotonicTime now) const {
    return !m_zones.empty() && ExcludesKnown(zone, now);
  }

 private:
  struct Timeout {
    std::string upstream;
    MonotonicTime at{};
  };

  /// @brief A zone with timeouts since something was received from it.
  struct Zone {
    std::vector<Timeout> timeouts;  ///< Of each upstream the latest one.
    std::optional<Outage> outage;
    MonotonicTime next_probe_at{};
    Duration probe_interval = kFirstProbeInterval;
    std::optional<AttemptId> probe;
    MonotonicTime probe_started_at{};
  };

  bool ExcludesKnown(std::string_view zone, MonotonicTime now) const;

  std::map<std::string, Zone, std::less<>> m_zones;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_UNREACHABLE_ZONES_H_
