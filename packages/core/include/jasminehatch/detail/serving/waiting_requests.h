#ifndef JASMINEHATCH_DETAIL_SERVING_WAITING_REQUESTS_H_
#define JASMINEHATCH_DETAIL_SERVING_WAITING_REQUESTS_H_

namespace jasminehatch::serving {

class CandidateUpstreams;
class ColdUpstreams;
class RequestTable;
class UnservedRequests;
struct ModelGroup;
struct Request;
struct StepContext;
struct VersionGroup;

/// @brief Queues requests that have to wait for an upstream, or refuses those
/// that would wait in vain.
class WaitingRequests {
 public:
  WaitingRequests(StepContext& context,
                  RequestTable& requests,
                  ColdUpstreams& cold_upstreams,
                  CandidateUpstreams& candidates,
                  UnservedRequests& unserved)
      : m_context(context),
        m_requests(requests),
        m_cold_upstreams(cold_upstreams),
        m_candidates(candidates),
        m_unserved(unserved) {}

  /// Queues a request for its first attempt, or refuses it; `request` is then
  /// dangling.
  void Add(Request& request, ModelGroup& model, VersionGroup& group);

  /// Queues a request for a further attempt, or a suspect for any attempt.
  /// Refuses it if no upstream serves it; `request` is then dangling.
  void Requeue(Request& request);

  /// @return whether the request is suspected of crashing upstreams
  bool IsSuspect(const Request& request) const;

 private:
  /// Refuses a new request that all upstreams are too cold for until its
  /// deadline or the limit of its wait; `request` is then dangling.
  /// @return whether it was refused
  bool RefuseForWarmUp(Request& request,
                       ModelGroup& model,
                       VersionGroup& group);
  /// Makes room in a full queue: refuses a queued request or, returning false,
  /// `request` itself.
  bool MakeRoom(Request& request, VersionGroup& group);
  /// Refuses a new request that is expected to wait beyond its deadline;
  /// `request` is then dangling.
  /// @return whether it was refused
  bool RefuseForDeadline(Request& request, const VersionGroup& group);
  void SetWaitTimer(Request& request);

  StepContext& m_context;
  RequestTable& m_requests;
  ColdUpstreams& m_cold_upstreams;
  CandidateUpstreams& m_candidates;
  UnservedRequests& m_unserved;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_WAITING_REQUESTS_H_
