#ifndef JASMINEHATCH_DETAIL_SERVING_REQUEST_REDUCER_H_
#define JASMINEHATCH_DETAIL_SERVING_REQUEST_REDUCER_H_

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch::serving {

class Dispatcher;
class RequestTable;
struct Request;
struct StepContext;

/// @brief Handles the arrival and cancellation of requests, and their timers.
class RequestReducer {
 public:
  RequestReducer(StepContext& context,
                 RequestTable& requests,
                 Dispatcher& dispatcher)
      : m_context(context), m_requests(requests), m_dispatcher(dispatcher) {}

  void Apply(const RequestArrived& event);
  void Apply(const RequestCancelled& event);

  void OnDeadline(RequestId id);
  void OnWaitLimit(RequestId id);
  void OnRetryDue(RequestId id);

 private:
  template <typename End>
  void EndRequest(Request& request, End end);

  StepContext& m_context;
  RequestTable& m_requests;
  Dispatcher& m_dispatcher;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_REQUEST_REDUCER_H_
