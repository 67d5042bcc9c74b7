#ifndef JASMINEHATCH_DETAIL_SERVING_ATTEMPT_REDUCER_H_
#define JASMINEHATCH_DETAIL_SERVING_ATTEMPT_REDUCER_H_

#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch::serving {

class ColdUpstreams;
class CrashTracker;
class Dispatcher;
class RequestTable;
struct Request;
struct StepContext;
struct UpstreamView;

/// @brief Handles the events of attempts: forwards chunks in order, and
/// resumes, retries or refuses a request whose attempt failed.
class AttemptReducer {
 public:
  AttemptReducer(StepContext& context,
                 RequestTable& requests,
                 Dispatcher& dispatcher,
                 CrashTracker& crashes,
                 ColdUpstreams& cold_upstreams)
      : m_context(context),
        m_requests(requests),
        m_dispatcher(dispatcher),
        m_crashes(crashes),
        m_cold_upstreams(cold_upstreams) {}

  void Apply(const AttemptChunk& event);
  void Apply(const AttemptEnded& event);

 private:
  void DropChunk(const AttemptChunk& event);
  void OnChunkGap(Request& request);
  /// Records whether the end of an attempt shows that the upstream is alive.
  void RecordContact(UpstreamView& view, AttemptResult result);
  void OnComplete(Request& request);
  void OnFailure(Request& request, const AttemptEnded& event);
  void Pause(UpstreamId upstream, Duration pause);
  void Retry(Request& request, Counter reason, const std::string& detail);
  Duration Backoff(const Request& request) const;

  StepContext& m_context;
  RequestTable& m_requests;
  Dispatcher& m_dispatcher;
  CrashTracker& m_crashes;
  ColdUpstreams& m_cold_upstreams;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_ATTEMPT_REDUCER_H_
