#ifndef JASMINEHATCH_DETAIL_SERVING_REQUEST_H_
#define JASMINEHATCH_DETAIL_SERVING_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/event.h"
#include "jasminehatch/detail/serving/residency.h"

namespace jasminehatch::serving {

/// @brief A request in progress and its current attempt.
struct Request {
  enum class Phase {
    kQueued,   ///< Waits in the fair queue for its first attempt.
    kRetry,    ///< Waits for an upstream after a failed attempt.
    kSuspect,  ///< Waits for an isolated upstream.
    kHeld,     ///< In no queue: backs off, waits until it is known whether its
               ///< upstream was lost, or is between two phases.
    kRunning,
  };

  /// @brief The current attempt; chunks of other attempts are dropped.
  struct Attempt {
    AttemptId id;
    UpstreamId upstream;
    bool alone = false;         ///< The upstream is isolated for it.
    bool loss_counted = false;  ///< The loss of the upstream was counted.
  };

  RequestArrived arrival;
  MonotonicTime arrived_at{};
  RegionLists admitted_regions;  ///< That applied when it was admitted.
  RegionLists regions;  ///< The same, and those of the newest configuration.
  std::string group;    ///< Key of its group in `ModelGroup::versions`.
  Phase phase = Phase::kQueued;
  std::optional<Attempt> attempt;
  std::vector<AttemptId> past_attempts;
  std::optional<UpstreamId> last_failed;
  std::optional<UpstreamId> resume_on;  ///< Upstream of the stream to resume.
  std::optional<UpstreamId>
      unconfirmed_loss;  ///< Upstream of a broken attempt, while
                         ///< it is not known whether it was lost.
  std::optional<UpstreamId>
      isolated_on;  ///< Upstream that is reserved for this suspect.
  std::optional<MonotonicTime> not_before;  ///< End of the backoff.
  std::optional<MonotonicTime> retry_timer;
  std::optional<MonotonicTime> wait_timer;
  std::uint32_t attempts = 0;
  std::uint32_t failures_since_chunk = 0;  ///< Failed attempts since the last
                                           ///< chunk; 0 before the first one.
  std::uint32_t next_position = 0;
  std::string text_so_far;
  bool may_have_run = false;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_REQUEST_H_
