#ifndef JASMINEHATCH_DETAIL_SERVING_UPSTREAM_VIEW_H_
#define JASMINEHATCH_DETAIL_SERVING_UPSTREAM_VIEW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/routing/warm_up_state.h"
#include "jasminehatch/detail/serving/event.h"
#include "jasminehatch/detail/serving/upstream_spec.h"

namespace jasminehatch::serving {

/// @brief State of one upstream as known to this daemon.
struct UpstreamView {
  /// @brief A running attempt of this daemon.
  struct Running {
    RequestId request;
    AttemptId attempt;
    MonotonicTime sent_at{};
    std::uint64_t tokens = 0;  ///< Prompt tokens to compute.
  };

  /// @brief An attempt whose connection was lost or that timed out; a later
  /// load query shows whether the upstream was lost.
  struct BrokenAttempt {
    RequestId request;
    Fingerprint fingerprint;
    MonotonicTime at{};
  };

  /// Maximum broken attempts kept between reports; older ones are not counted
  /// as losses.
  static constexpr std::size_t kMaxBrokenAttempts = 256;

  UpstreamId id;
  // The cost of a candidate is computed from the end of the specification, the
  // counters and the start of the report. They are adjacent, so that a scan
  // reads few cache lines.
  UpstreamSpec spec;
  std::uint32_t in_flight = 0;  ///< Running attempts of this daemon.
  std::uint32_t sent_since_report =
      0;  ///< Running attempts that started after the report was taken.
  std::uint64_t tokens_since_report =
      0;  ///< Prompt tokens that the attempts counted in `sent_since_report`
          ///< have to compute.
  std::optional<LoadReported> report;
  MonotonicTime reported_at{};  ///< When the report was taken.
  bool configured = true;       ///< Listed in the configuration in force.
  /// Gets no new attempts, since it will be stopped: the platform's list of
  /// VMs, an operator, another daemon or its own load report
  /// (`LoadReported::draining`) announced this.
  bool leaving = false;
  bool reachable = true;
  std::optional<std::uint64_t>
      leaving_incarnation;  ///< Incarnation that is leaving; after a restart,
                            ///< the upstream is used again.
  MonotonicTime version_configured_at{};
  std::optional<MonotonicTime> paused_until;  ///< End of a requested pause.
  std::optional<RequestId>
      isolated_for;  ///< Suspect for which the upstream is isolated: it gets no
                     ///< other attempts from this daemon (`HasRoom` is false),
                     ///< and the suspect starts when the running ones have
                     ///< ended.
  std::vector<Running> running;
  std::vector<BrokenAttempt> broken_attempts;
  std::optional<MonotonicTime>
      last_broken_at;  ///< Time of the latest broken attempt since the upstream
                       ///< was last healthy.
  std::vector<Fingerprint>
      counted_losses;  ///< Fingerprints counted for the current loss.
  std::uint64_t cache_sequence =
      0;  ///< Sequence of the last cache event applied.
  bool awaiting_resync =
      false;  ///< An event is missing; a listing was requested.
  std::optional<MonotonicTime> resync_timer;  ///< When to repeat the request.
  WarmUpState warm_up;
  std::optional<MonotonicTime>
      room_timer;  ///< When it may get a request while it is cold; set while
                   ///< requests wait.

  /// @brief Checks whether the upstream has the weights of `version`. If the
  /// report is older than the configured version, both must match.
  bool HoldsVersion(std::string_view version) const;

  /// @return whether the configuration and the notices about it allow new
  /// attempts
  bool MayBeUsed() const { return configured && !leaving && !spec.evacuated; }

  /// @return whether it accepts new attempts for the model and version
  bool Serves(std::string_view model,
              std::string_view version,
              MonotonicTime now) const;

  /// @return whether it has capacity for a further attempt without isolation
  bool HasRoom() const {
    return in_flight < spec.max_in_flight && !isolated_for;
  }

  void AddRunning(const Running& attempt);
  void RemoveRunning(AttemptId attempt);

  /// Recomputes the counters of attempts that started after `reported_at`.
  void RecountSends();
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_UPSTREAM_VIEW_H_
