#ifndef JASMINEHATCH_DETAIL_SERVING_ISOLATED_UPSTREAMS_H_
#define JASMINEHATCH_DETAIL_SERVING_ISOLATED_UPSTREAMS_H_

#include <optional>

#include "jasminehatch/detail/base/strong_id.h"

namespace jasminehatch::serving {

class CandidateUpstreams;
class RequestTable;
struct ModelGroup;
struct Request;
struct StepContext;

/// @brief Isolates upstreams for requests that are suspected of crashing them.
class IsolatedUpstreams {
 public:
  IsolatedUpstreams(StepContext& context,
                    RequestTable& requests,
                    CandidateUpstreams& candidates)
      : m_context(context), m_requests(requests), m_candidates(candidates) {}

  /// Isolates an upstream for the request, unless one that still serves it is
  /// isolated already.
  /// @return the upstream, or nothing if none may be isolated now
  std::optional<UpstreamId> IsolateFor(ModelGroup& model, Request& request);

  /// Isolates this upstream for the request, instead of an earlier one.
  void Isolate(Request& request, UpstreamId upstream);

 private:
  std::optional<UpstreamId> Choose(ModelGroup& model, const Request& request);

  StepContext& m_context;
  RequestTable& m_requests;
  CandidateUpstreams& m_candidates;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_ISOLATED_UPSTREAMS_H_
