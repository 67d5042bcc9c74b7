#include "jasminehatch/detail/serving/step.h"

#include <array>
#include <utility>
#include <variant>

#include "jasminehatch/detail/serving/attempt_reducer.h"
#include "jasminehatch/detail/serving/cold_upstreams.h"
#include "jasminehatch/detail/serving/crash_tracker.h"
#include "jasminehatch/detail/serving/dispatcher.h"
#include "jasminehatch/detail/serving/request_reducer.h"
#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/step_context.h"
#include "jasminehatch/detail/serving/upstream_reducer.h"

namespace jasminehatch::serving {
namespace {

/// Passes each event to the part of the reducer that handles it.
class Reducer {
 public:
  Reducer(State& state, MonotonicTime now) : m_context{state, now, {}, {}} {}

  void Apply(const UpstreamsConfigured& event) {
    m_upstream_reducer.Apply(event);
  }
  void Apply(const RequestArrived& event) { m_request_reducer.Apply(event); }
  void Apply(const RequestCancelled& event) { m_request_reducer.Apply(event); }
  void Apply(const AttemptChunk& event) { m_attempt_reducer.Apply(event); }
  void Apply(const AttemptEnded& event) { m_attempt_reducer.Apply(event); }
  void Apply(const LoadReported& event) { m_upstream_reducer.Apply(event); }
  void Apply(const UpstreamUnreachable& event) {
    m_upstream_reducer.Apply(event);
  }
  void Apply(const CacheChanged& event) { m_upstream_reducer.Apply(event); }
  void Apply(const CacheListed& event) { m_upstream_reducer.Apply(event); }
  void Apply(const UpstreamLeaving& event) { m_upstream_reducer.Apply(event); }
  void Apply(const StoresConfigured& event) {
    m_context.state.stores.Apply(event);
  }
  void Apply(const StoreContentChanged& event) {
    m_context.state.stores.Apply(event);
  }
  void Apply(const StoreLinkReported& event) {
    m_context.state.stores.Apply(event, m_context.now);
  }
  void Apply(const StoreUnreachable& event) {
    m_context.state.stores.Apply(event);
  }
  void Apply(const QuarantineReceived& event);
  void Apply(const ShutdownRequested& /*event*/) {
    m_context.state.shutting_down = true;
  }
  void Apply(const TimerFired& event);
  void Apply(const FleetConfigured& event);
  void Apply(const DaemonHeard& event) {
    m_context.state.members.OnHeard(event.daemon, m_context.state.zone,
                                    event.stopping, m_context.now);
  }

  Effects Finish() {
    // Dispatching may free further upstreams, which adds models to the list.
    while (!m_context.models_to_dispatch.empty()) {
      const std::string model = std::move(m_context.models_to_dispatch.back());
      m_context.models_to_dispatch.pop_back();
      m_dispatcher.DispatchModel(model);
    }
    return std::move(m_context.effects);
  }

 private:
  void OnTimer(const TimerQueue::Timer& timer);

  StepContext m_context;
  RequestTable m_requests{m_context};
  ColdUpstreams m_cold_upstreams{m_context};
  Dispatcher m_dispatcher{m_context, m_requests, m_cold_upstreams};
  CrashTracker m_crashes{m_context, m_requests, m_dispatcher};
  AttemptReducer m_attempt_reducer{m_context, m_requests, m_dispatcher,
                                   m_crashes, m_cold_upstreams};
  UpstreamReducer m_upstream_reducer{m_context, m_dispatcher, m_crashes,
                                     m_cold_upstreams};
  RequestReducer m_request_reducer{m_context, m_requests, m_dispatcher};
};

void Reducer::Apply(const QuarantineReceived& event) {
  if (event.remaining <= Duration::zero()) {
    return;
  }
  m_context.Count(Counter::kQuarantineLearned);
  m_crashes.Quarantine(event.fingerprint, event.remaining);
}

void Reducer::Apply(const FleetConfigured& event) {
  State& state = m_context.state;
  state.daemon = event.daemon;
  state.zone = event.zone;
  state.members.OnListRead(m_context.now);
  for (const FleetConfigured::Daemon& other : event.others) {
    if (other.name != event.daemon) {
      state.members.OnListed(other.name, other.zone, m_context.now);
    }
  }
}

void Reducer::Apply(const TimerFired& /*event*/) {
  while (const auto timer = m_context.state.timers.PopDue(m_context.now)) {
    OnTimer(*timer);
  }
}

void Reducer::OnTimer(const TimerQueue::Timer& timer) {
  const UpstreamId upstream{static_cast<std::uint32_t>(timer.id)};
  switch (timer.kind) {
    case TimerQueue::Kind::kRequestDeadline:
      return m_request_reducer.OnDeadline(RequestId{timer.id});
    case TimerQueue::Kind::kRequestWaitLimit:
      return m_request_reducer.OnWaitLimit(RequestId{timer.id});
    case TimerQueue::Kind::kRequestRetry:
      return m_request_reducer.OnRetryDue(RequestId{timer.id});
    case TimerQueue::Kind::kUpstreamPauseEnd:
      m_context.state.MarkServingChanged(
          m_context.state.View(upstream).spec.model);
      return m_dispatcher.DispatchAfter(upstream);
    case TimerQueue::Kind::kCacheResync:
      return m_upstream_reducer.OnResyncOverdue(upstream);
    case TimerQueue::Kind::kUpstreamRoom:
      m_context.state.View(upstream).room_timer.reset();
      return m_dispatcher.DispatchAfter(upstream);
  }
}

}  // namespace

Effects Step(const Event& event, MonotonicTime now, State& state) {
  Reducer reducer(state, now);
  std::visit([&](const auto& body) { reducer.Apply(body); }, event);
  return reducer.Finish();
}

std::string_view ToString(Priority priority) {
  static constexpr std::array<std::string_view, kPriorityCount> kNames{
      "interactive", "standard", "batch"};
  return kNames.at(static_cast<std::size_t>(priority));
}

std::string_view ToString(AttemptResult result) {
  static constexpr std::array<std::string_view, 6> kNames{
      "complete", "connect_failed", "refused_not_run",
      "broken",   "timed_out",      "invalid_request"};
  return kNames.at(static_cast<std::size_t>(result));
}

}  // namespace jasminehatch::serving
