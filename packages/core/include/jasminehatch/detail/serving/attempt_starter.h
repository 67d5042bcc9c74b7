#ifndef JASMINEHATCH_DETAIL_SERVING_ATTEMPT_STARTER_H_
#define JASMINEHATCH_DETAIL_SERVING_ATTEMPT_STARTER_H_

#include <span>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/serving/router.h"

namespace jasminehatch::serving {

class CandidateUpstreams;
class ColdUpstreams;
class IsolatedUpstreams;
class RequestTable;
struct ModelGroup;
struct Request;
struct StepContext;

/// @brief Starts attempts of requests at upstreams with capacity.
class AttemptStarter {
 public:
  enum class Outcome { kStarted, kNoUpstream, kRefused };

  AttemptStarter(StepContext& context,
                 RequestTable& requests,
                 ColdUpstreams& cold_upstreams,
                 CandidateUpstreams& candidates,
                 IsolatedUpstreams& isolated)
      : m_context(context),
        m_requests(requests),
        m_cold_upstreams(cold_upstreams),
        m_candidates(candidates),
        m_isolated(isolated) {}

  /// Starts an attempt, or refuses the request if no upstream would respond
  /// before its deadline; `request` is then dangling.
  Outcome TryStart(ModelGroup& model, Request& request);

  /// The same for a request that is suspected of crashing upstreams: the
  /// attempt is the only one at its upstream.
  Outcome TryStartAlone(ModelGroup& model, Request& request);

 private:
  Outcome StartOn(Request& request, std::span<const UpstreamId> candidates);
  void Start(Request& request, const Route& route);
  /// Counts the attempt at the upstream and at the store that it imports from.
  void RecordLoad(const Request& request, const Route& route);

  StepContext& m_context;
  RequestTable& m_requests;
  ColdUpstreams& m_cold_upstreams;
  CandidateUpstreams& m_candidates;
  IsolatedUpstreams& m_isolated;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_ATTEMPT_STARTER_H_
