#ifndef JASMINEHATCH_DETAIL_SERVING_DISPATCHER_H_
#define JASMINEHATCH_DETAIL_SERVING_DISPATCHER_H_

#include <string>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/serving/attempt_starter.h"
#include "jasminehatch/detail/serving/candidate_upstreams.h"
#include "jasminehatch/detail/serving/isolated_upstreams.h"
#include "jasminehatch/detail/serving/request_regions.h"
#include "jasminehatch/detail/serving/unserved_requests.h"
#include "jasminehatch/detail/serving/waiting_requests.h"

namespace jasminehatch::serving {

class ColdUpstreams;
class RequestTable;
struct ModelGroup;
struct Request;
struct StepContext;
struct VersionGroup;

/// @brief Assigns requests to upstreams with free capacity, and queues those
/// that have to wait.
class Dispatcher {
 public:
  Dispatcher(StepContext& context,
             RequestTable& requests,
             ColdUpstreams& cold_upstreams)
      : m_context(context),
        m_requests(requests),
        m_candidates(context, cold_upstreams),
        m_starter(context, requests, cold_upstreams, m_candidates, m_isolated),
        m_waiting(context, requests, cold_upstreams, m_candidates, m_unserved) {
  }
  // The parts refer to each other.
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// @brief Starts, queues or refuses a new request; a refused one is erased.
  void Admit(Request& request);

  /// @brief Queues a request for a further attempt. Call `DispatchModel`
  /// afterwards.
  void Requeue(Request& request) { m_waiting.Requeue(request); }

  /// @brief Starts all waiting requests of the model for which there is
  /// capacity. Constant time if none waits, otherwise linear in the upstreams
  /// of the model for each started request.
  void DispatchModel(const std::string& model);

  /// @brief Dispatches the model of an upstream after a change of the upstream.
  /// Constant time if the upstream has no capacity.
  void DispatchAfter(UpstreamId upstream);

  /// @brief Refuses the requests that wait for a weight version that no
  /// configured upstream has any more.
  void RefuseUnserved(const std::string& model) {
    m_unserved.RefuseWaiting(model);
  }

  /// Applies changed regions to the requests in progress. Running attempts go
  /// on; the next attempt obeys the regions.
  void ApplyResidency() { m_regions.OnResidencyChanged(); }

 private:
  void AdmitSuspect(Request& request, ModelGroup& model, VersionGroup& group);
  bool StartRetries(ModelGroup& model, VersionGroup& group);
  void StartSuspects(ModelGroup& model, VersionGroup& group);
  void StartQueued(ModelGroup& model, VersionGroup& group);
  void DispatchVersion(ModelGroup& model, VersionGroup& group);

  StepContext& m_context;
  RequestTable& m_requests;
  CandidateUpstreams m_candidates;
  IsolatedUpstreams m_isolated{m_context, m_requests, m_candidates};
  UnservedRequests m_unserved{m_context, m_requests};
  AttemptStarter m_starter;
  WaitingRequests m_waiting;
  RequestRegions m_regions{m_context, m_requests, m_waiting};
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_DISPATCHER_H_
