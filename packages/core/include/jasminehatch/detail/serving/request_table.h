#ifndef JASMINEHATCH_DETAIL_SERVING_REQUEST_TABLE_H_
#define JASMINEHATCH_DETAIL_SERVING_REQUEST_TABLE_H_

#include <string>

#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch::serving {

struct Request;
struct StepContext;
struct VersionGroup;

/// @brief Ends requests and attempts, and keeps queues, timers and upstream
/// views consistent with them.
class RequestTable {
 public:
  explicit RequestTable(StepContext& context) : m_context(context) {}

  /// @return the request, or nullptr if it is not in progress
  Request* Find(RequestId request);

  /// @return the request if `attempt` is its current attempt, else nullptr
  Request* FindAttempt(RequestId request, AttemptId attempt);

  /// Ends the current attempt, if any, without cancelling it at the upstream.
  void ReleaseAttempt(Request& request);

  /// Ends the current attempt, if any, and cancels it at the upstream.
  void CancelAttempt(Request& request);

  /// Releases the upstream that is isolated for the request, if any.
  void ReleaseIsolation(Request& request);

  /// Removes the request from the queue in which it waits, and clears its retry
  /// and wait timers.
  void StopWaiting(Request& request);

  /// Emits a refusal with the request's verdict.
  void EmitRefusal(const Request& request,
                   RefusalCode code,
                   std::string detail);

  /// Refuses and erases a request; `request` is dangling afterwards.
  void Refuse(Request& request, RefusalCode code, std::string detail);

  /// The same, with the time after which a retry may succeed.
  void Refuse(Request& request,
              RefusalCode code,
              std::string detail,
              Duration retry_after);

  /// Erases a request without a response; `request` is dangling afterwards.
  void Erase(Request& request);

 private:
  /// @return the group in which the request waits, or nullptr if there is none
  VersionGroup* FindGroup(const Request& request);

  StepContext& m_context;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_REQUEST_TABLE_H_
