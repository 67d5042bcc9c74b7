#ifndef JASMINEHATCH_DETAIL_SERVING_VERSION_GROUP_H_
#define JASMINEHATCH_DETAIL_SERVING_VERSION_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/fair_queue.h"
#include "jasminehatch/detail/serving/residency.h"

namespace jasminehatch::serving {

/// @brief Requests that wait for upstreams of one model and weight version and
/// that may use the same regions.
struct VersionGroup {
  std::string version;
  RegionLists regions;  ///< That all of its requests must obey.
  FairQueue queue;      ///< New requests; at most `Options::queue_limit`.
  /// Upstreams that serve the version in these regions, in increasing order
  /// of id.
  std::vector<UpstreamId> serving;
  /// Value of `ModelGroup::changes` for which `serving` was computed.
  std::uint64_t serving_as_of = 0;
  std::deque<RequestId> retries;
  std::deque<RequestId> suspects;  ///< Wait for an isolated upstream.
  MonotonicTime last_dispatch{};
  double dispatch_gap_seconds =
      0;  ///< Moving average of the time between dispatches from the queue.

  std::size_t Waiting() const {
    return queue.Size() + retries.size() + suspects.size();
  }

  /// Updates the moving average with a dispatch from the queue.
  void RecordDispatch(MonotonicTime now);
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_VERSION_GROUP_H_
