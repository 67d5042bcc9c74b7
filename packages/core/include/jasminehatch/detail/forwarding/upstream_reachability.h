#ifndef JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_REACHABILITY_H_
#define JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_REACHABILITY_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief Tells whether this daemon is cut off from all upstreams: new
/// connections to several of them failed, in each zone that has upstreams, and
/// none succeeded meanwhile.
///
/// Responses on connections that were opened before do not count, since such
/// connections may outlive the link for new ones.
class UpstreamReachability {
 public:
  /// Number of different upstreams. Fewer may stop at the same time.
  static constexpr std::size_t kMinUpstreams = 3;

  /// The failures must occur within this time. A connect times out after 0.4 s,
  /// so that it covers several attempts of one request after the other.
  static constexpr std::chrono::seconds kWindow{2};

  /// Time until the first probe; doubles with each further one, up to
  /// `kMaxProbeInterval`. It is longer than the timeout of a connect.
  static constexpr std::chrono::milliseconds kFirstProbeInterval{500};

  /// The interval is how late the end of a cut may be noticed.
  static constexpr std::chrono::seconds kMaxProbeInterval{2};

  /// @brief The time for which no upstream is reachable.
  struct Cut {
    MonotonicTime since{};
    std::size_t failures = 0;  ///< From the first one of `kWindow` on.
  };

  /// Records that no connection to an upstream could be opened.
  void OnConnectFailed(const std::string& upstream,
                       const std::string& zone,
                       MonotonicTime now);

  /// Begins a cut if connects have failed in each of the zones.
  /// @param zones the zones of all upstreams that can be used
  /// @return the cut if it begins now
  std::optional<Cut> BeginIfUnreachable(const std::vector<std::string>& zones,
                                        MonotonicTime now);

  /// Records that an upstream answered on a connection that was opened after a
  /// time. One that was opened before the latest failures proves nothing.
  /// @return the cut that ends with this, if any
  std::optional<Cut> OnConnected(MonotonicTime opened_after);

  bool IsCut() const { return m_cut.has_value(); }

  /// @return whether the next attempt is to find out whether the cut has ended
  bool IsProbeDue(MonotonicTime now) const {
    return m_cut && now >= m_next_probe_at;
  }

  /// Records that a probe was sent.
  void OnProbe(MonotonicTime now);

 private:
  struct Failure {
    std::string zone;
    MonotonicTime at{};
  };

  std::map<std::string, Failure> m_failures;  ///< The latest by upstream.
  std::optional<Cut> m_cut;
  MonotonicTime m_next_probe_at{};
  Duration m_probe_interval = kFirstProbeInterval;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_REACHABILITY_H_
