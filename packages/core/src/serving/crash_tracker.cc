#include "jasminehatch/detail/serving/crash_tracker.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jasminehatch/detail/serving/dispatcher.h"
#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {

void CrashTracker::OnAttemptBroken(Request& request, UpstreamView& view) {
  // A plain service reports no load, so that its loss cannot be detected. A
  // leaving upstream is stopped on purpose.
  if (!view.report || !view.configured || view.leaving) {
    return;
  }
  view.last_broken_at = m_context.now;
  if (!view.reachable) {
    CountLoss(view, request.arrival.fingerprint);
    return;
  }
  if (view.broken_attempts.size() >= UpstreamView::kMaxBrokenAttempts) {
    view.broken_attempts.erase(view.broken_attempts.begin());
  }
  view.broken_attempts.push_back(
      {request.arrival.request, request.arrival.fingerprint, m_context.now});
  request.unconfirmed_loss = view.id;
}

void CrashTracker::CountLoss(UpstreamView& view,
                             const Fingerprint& fingerprint) {
  State& state = m_context.state;
  // Two copies of a request on one upstream count as one loss.
  if (std::find(view.counted_losses.begin(), view.counted_losses.end(),
                fingerprint) != view.counted_losses.end()) {
    return;
  }
  view.counted_losses.push_back(fingerprint);
  if (state.crashes.IsQuarantined(fingerprint, m_context.now)) {
    return;
  }
  const auto losses =
      state.crashes.AddLoss(fingerprint, m_context.now,
                            m_context.now + state.options.quarantine_time);
  m_context.Count(Counter::kRequestSuspected);
  if (losses >= state.options.crash_limit) {
    m_context.Count(Counter::kRequestQuarantined);
    m_context.Emit(
        BroadcastQuarantine{fingerprint, state.options.quarantine_time});
    Quarantine(fingerprint, state.options.quarantine_time);
  }
}

void CrashTracker::Quarantine(const Fingerprint& fingerprint,
                              Duration remaining) {
  State& state = m_context.state;
  state.crashes.Quarantine(fingerprint, m_context.now,
                           m_context.now + remaining);
  std::vector<RequestId> refused;
  for (const auto& [id, request] : state.requests) {
    if (request.arrival.fingerprint == fingerprint) {
      refused.push_back(id);
    }
  }
  // The iteration order of a hash table is not deterministic.
  std::sort(refused.begin(), refused.end());
  for (const RequestId id : refused) {
    // Dispatching is deferred, since the views are not completely updated yet.
    m_context.models_to_dispatch.push_back(m_requests.Find(id)->arrival.model);
    m_requests.Refuse(*m_requests.Find(id), RefusalCode::kRequestQuarantined,
                      "upstreams were lost while they ran this request");
  }
}

void CrashTracker::ResolveBrokenAttempt(RequestId id, UpstreamId upstream) {
  Request* request = m_requests.Find(id);
  if (request == nullptr || request->unconfirmed_loss != upstream ||
      request->phase != Request::Phase::kHeld) {
    return;
  }
  request->unconfirmed_loss.reset();
  m_requests.StopWaiting(*request);
  if (request->not_before && *request->not_before > m_context.now) {
    request->retry_timer = request->not_before;
    m_context.state.timers.Set(
        {*request->retry_timer, TimerQueue::Kind::kRequestRetry, id.value});
    return;
  }
  m_dispatcher.Requeue(*request);
}

void CrashTracker::OnUnreachable(UpstreamView& view) {
  const auto broken_attempts = std::exchange(view.broken_attempts, {});
  if (!broken_attempts.empty()) {
    m_context.Count(Counter::kUpstreamLost);
  }
  for (const UpstreamView::BrokenAttempt& entry : broken_attempts) {
    CountLoss(view, entry.fingerprint);
  }
  for (const UpstreamView::BrokenAttempt& entry : broken_attempts) {
    ResolveBrokenAttempt(entry.request, view.id);
  }
}

void CrashTracker::OnRestarted(UpstreamView& view) {
  OnUnreachable(view);
  // Counting a loss may refuse requests and so change `view.running`.
  const auto running = view.running;
  for (const UpstreamView::Running& entry : running) {
    Request* request = m_requests.FindAttempt(entry.request, entry.attempt);
    // An attempt that was sent after the latest broken one reached the new
    // incarnation.
    if (request != nullptr && !request->attempt->loss_counted &&
        (!view.last_broken_at || entry.sent_at < *view.last_broken_at)) {
      request->attempt->loss_counted = true;
      CountLoss(view, request->arrival.fingerprint);
    }
  }
  view.counted_losses.clear();
  view.last_broken_at.reset();
}

void CrashTracker::DiscardBrokenAttempts(UpstreamView& view,
                                         MonotonicTime until) {
  view.counted_losses.clear();
  if (view.last_broken_at && *view.last_broken_at <= until) {
    view.last_broken_at.reset();
  }
  std::vector<UpstreamView::BrokenAttempt> settled;
  std::erase_if(view.broken_attempts,
                [&](const UpstreamView::BrokenAttempt& entry) {
                  if (entry.at > until) {
                    return false;
                  }
                  settled.push_back(entry);
                  return true;
                });
  for (const UpstreamView::BrokenAttempt& entry : settled) {
    ResolveBrokenAttempt(entry.request, view.id);
  }
}

}  // namespace jasminehatch::serving
