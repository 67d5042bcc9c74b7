#ifndef JASMINEHATCH_DETAIL_SERVING_CANDIDATE_UPSTREAMS_H_
#define JASMINEHATCH_DETAIL_SERVING_CANDIDATE_UPSTREAMS_H_

#include <span>

#include "jasminehatch/detail/base/strong_id.h"

namespace jasminehatch::serving {

class ColdUpstreams;
struct ModelGroup;
struct Request;
struct StepContext;
struct VersionGroup;

/// @brief Determines which upstreams may get the requests of a version group.
class CandidateUpstreams {
 public:
  CandidateUpstreams(StepContext& context, ColdUpstreams& cold_upstreams)
      : m_context(context), m_cold_upstreams(cold_upstreams) {}

  /// @return the upstreams that serve the version, regardless of capacity
  std::span<const UpstreamId> Serving(ModelGroup& model, VersionGroup& group);

  /// @return the upstreams with capacity that may get the next attempt of the
  /// request, until the next call
  std::span<const UpstreamId> Find(ModelGroup& model, const Request& request);

  /// @return whether an upstream of the group has capacity
  bool AnyHasRoom(ModelGroup& model, VersionGroup& group);

  /// Sets timers for when cold upstreams may get the waiting requests.
  void SetRoomTimers(ModelGroup& model, VersionGroup& group);

 private:
  /// @return whether the upstream has capacity, also as far as its warm-up is
  /// concerned
  bool HasRoom(UpstreamId upstream) const;

  StepContext& m_context;
  ColdUpstreams& m_cold_upstreams;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_CANDIDATE_UPSTREAMS_H_
