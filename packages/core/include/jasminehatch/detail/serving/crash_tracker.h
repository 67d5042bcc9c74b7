#ifndef JASMINEHATCH_DETAIL_SERVING_CRASH_TRACKER_H_
#define JASMINEHATCH_DETAIL_SERVING_CRASH_TRACKER_H_

#include <span>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::serving {

class Dispatcher;
class RequestTable;
struct Request;
struct StepContext;
struct UpstreamView;

/// @brief Finds the requests that were running on an upstream when it was lost
/// (became unreachable or restarted without being stopped on purpose), and
/// quarantines those for which the crash limit is reached.
class CrashTracker {
 public:
  CrashTracker(StepContext& context,
               RequestTable& requests,
               Dispatcher& dispatcher)
      : m_context(context), m_requests(requests), m_dispatcher(dispatcher) {}

  /// @brief Handles an attempt whose connection was lost or that timed out. If
  /// the upstream is known to be lost, counts the loss against the request,
  /// which may refuse it. Otherwise records the attempt until it is known
  /// whether the upstream was lost.
  void OnAttemptBroken(Request& request, UpstreamView& view);

  /// Counts the loss against the requests with a broken attempt on the upstream
  /// since it was last healthy.
  void OnUnreachable(UpstreamView& view);

  /// Counts the loss against the requests with a broken attempt on the upstream
  /// since it was last healthy, and against those that were still running
  /// there.
  void OnRestarted(UpstreamView& view);

  /// Discards the attempts that broke up to `until`. They do not show a loss:
  /// the upstream was healthy then, was removed, or stops as planned.
  void DiscardBrokenAttempts(UpstreamView& view, MonotonicTime until);

  /// Quarantines a fingerprint and refuses its requests.
  void Quarantine(const Fingerprint& fingerprint, Duration remaining);

 private:
  void CountLoss(UpstreamView& view, const Fingerprint& fingerprint);
  void ResolveBrokenAttempt(RequestId id, UpstreamId upstream);

  StepContext& m_context;
  RequestTable& m_requests;
  Dispatcher& m_dispatcher;
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_CRASH_TRACKER_H_
