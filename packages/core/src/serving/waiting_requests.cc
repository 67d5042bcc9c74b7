#include "jasminehatch/detail/serving/waiting_requests.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "jasminehatch/detail/serving/candidate_upstreams.h"
#include "jasminehatch/detail/serving/cold_upstreams.h"
#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/step_context.h"
#include "jasminehatch/detail/serving/unserved_requests.h"

namespace jasminehatch::serving {
namespace {

using Phase = Request::Phase;

/// Up to this time is added at random to the Retry-After of requests that were
/// refused because all upstreams are cold, so that callers do not return
/// simultaneously.
constexpr std::chrono::milliseconds kMaxRetryJitter{250};

}  // namespace

bool WaitingRequests::IsSuspect(const Request& request) const {
  return m_context.state.crashes.IsSuspect(request.arrival.fingerprint,
                                           m_context.now);
}

void WaitingRequests::Add(Request& request,
                          ModelGroup& model,
                          VersionGroup& group) {
  const RequestArrived& arrival = request.arrival;
  if (RefuseForWarmUp(request, model, group) || !MakeRoom(request, group) ||
      RefuseForDeadline(request, group)) {
    return;
  }
  if (group.queue.Size() == 0) {
    group.last_dispatch = m_context.now;
  }
  group.queue.Push({arrival.request, arrival.workspace, arrival.priority,
                    arrival.prompt_tokens});
  request.phase = Phase::kQueued;
  SetWaitTimer(request);
  m_candidates.SetRoomTimers(model, group);
}

bool WaitingRequests::RefuseForWarmUp(Request& request,
                                      ModelGroup& model,
                                      VersionGroup& group) {
  const State& state = m_context.state;
  const RequestArrived& arrival = request.arrival;
  if (!state.has_warm_ups) {
    return false;
  }
  const auto start = m_cold_upstreams.ExpectedStart(
      m_candidates.Serving(model, group),
      group.retries.size() + group.queue.SizeUpTo(arrival.priority));
  const MonotonicTime limit =
      arrival.deadline.value_or(m_context.now + state.options.wait_limit);
  if (!start || *start < limit) {
    return false;
  }
  const auto jitter = std::chrono::milliseconds(
      arrival.random % static_cast<std::uint64_t>(kMaxRetryJitter.count()));
  m_context.Count(Counter::kWarmUpRefused);
  m_requests.Refuse(request, RefusalCode::kOverloaded,
                    "all upstreams of " + arrival.model +
                        " are cold, and this daemon may send them no more "
                        "requests within the time left",
                    *start - m_context.now + jitter);
  return true;
}

bool WaitingRequests::MakeRoom(Request& request, VersionGroup& group) {
  const std::size_t limit = m_context.state.options.queue_limit;
  if (group.queue.Size() < limit) {
    return true;
  }
  const std::size_t own = group.queue.Waiting(request.arrival.workspace);
  const std::size_t workspaces =
      group.queue.WorkspaceCount() + (own == 0 ? 1 : 0);
  const std::size_t share = limit / workspaces;
  if (workspaces > 1 && own > share) {
    m_requests.Refuse(request, RefusalCode::kWorkspaceOverShare,
                      "the queue is full and the workspace has " +
                          std::to_string(own) + " requests in it, its share " +
                          "is " + std::to_string(share));
    return false;
  }
  const auto newest = group.queue.NewestOfLargestWorkspace();
  if (newest && newest->second > share && newest->second > own + 1) {
    m_context.Count(Counter::kQueuedRequestDisplaced);
    m_requests.Refuse(*m_requests.Find(newest->first),
                      RefusalCode::kWorkspaceOverShare,
                      "displaced from the full queue by a workspace that is "
                      "within its share");
    return true;
  }
  m_requests.Refuse(request, RefusalCode::kOverloaded,
                    "the queue for " + request.arrival.model + " is full");
  return false;
}

bool WaitingRequests::RefuseForDeadline(Request& request,
                                        const VersionGroup& group) {
  const RequestArrived& arrival = request.arrival;
  if (!arrival.deadline || group.dispatch_gap_seconds <= 0) {
    return false;
  }
  const std::chrono::duration<double> wait(
      group.dispatch_gap_seconds *
      static_cast<double>(group.queue.SizeUpTo(arrival.priority) + 1));
  if (std::chrono::duration<double>(*arrival.deadline - m_context.now) >=
      wait) {
    return false;
  }
  m_requests.Refuse(request, RefusalCode::kDeadlineUnreachable,
                    "the expected wait for an upstream exceeds the time "
                    "left until the deadline");
  return true;
}

void WaitingRequests::SetWaitTimer(Request& request) {
  if (request.arrival.deadline) {
    return;
  }
  request.wait_timer = m_context.now + m_context.state.options.wait_limit;
  m_context.state.timers.Set({*request.wait_timer,
                              TimerQueue::Kind::kRequestWaitLimit,
                              request.arrival.request.value});
}

void WaitingRequests::Requeue(Request& request) {
  ModelGroup& model = m_context.state.models[request.arrival.model];
  m_requests.StopWaiting(request);
  if (!m_unserved.IsServed(request)) {
    m_unserved.Refuse(request,
                      "no upstream serves the weight version any more");
    return;
  }
  VersionGroup& group = model.GroupOf(request);
  const bool suspect = IsSuspect(request);
  request.phase = suspect ? Phase::kSuspect : Phase::kRetry;
  (suspect ? group.suspects : group.retries).push_back(request.arrival.request);
  SetWaitTimer(request);
}

}  // namespace jasminehatch::serving
