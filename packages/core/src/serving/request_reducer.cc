#include "jasminehatch/detail/serving/request_reducer.h"

#include <optional>
#include <string>

#include "jasminehatch/detail/serving/dispatcher.h"
#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {

void RequestReducer::Apply(const RequestArrived& event) {
  State& state = m_context.state;
  Request arrived;
  arrived.arrival = event;
  arrived.arrived_at = m_context.now;
  if (state.shutting_down) {
    m_requests.EmitRefusal(arrived, RefusalCode::kShuttingDown,
                           "the daemon is stopping");
    return;
  }
  if (state.crashes.IsQuarantined(event.fingerprint, m_context.now)) {
    m_requests.EmitRefusal(arrived, RefusalCode::kRequestQuarantined,
                           "upstreams were lost while they ran this request");
    return;
  }
  if (event.deadline && *event.deadline <= m_context.now) {
    m_requests.EmitRefusal(arrived, RefusalCode::kDeadlineExceeded,
                           "the deadline had passed on arrival");
    return;
  }
  const auto [entry, inserted] =
      state.requests.try_emplace(event.request, std::move(arrived));
  if (!inserted) {
    return;
  }
  if (event.deadline) {
    state.timers.Set({*event.deadline, TimerQueue::Kind::kRequestDeadline,
                      event.request.value});
  }
  m_dispatcher.Admit(entry->second);
}

template <typename End>
void RequestReducer::EndRequest(Request& request, End end) {
  const auto freed = request.attempt ? std::optional(request.attempt->upstream)
                                     : request.isolated_on;
  end();
  if (freed) {
    m_dispatcher.DispatchAfter(*freed);
  }
}

void RequestReducer::Apply(const RequestCancelled& event) {
  Request* request = m_requests.Find(event.request);
  if (request == nullptr) {
    return;
  }
  EndRequest(*request, [&] {
    m_requests.CancelAttempt(*request);
    m_requests.Erase(*request);
  });
}

void RequestReducer::OnDeadline(RequestId id) {
  Request* request = m_requests.Find(id);
  if (request == nullptr) {
    return;
  }
  EndRequest(*request, [&] {
    m_requests.Refuse(*request, RefusalCode::kDeadlineExceeded,
                      request->attempt ? "the deadline passed while running"
                                       : "the deadline passed while waiting");
  });
}

void RequestReducer::OnWaitLimit(RequestId id) {
  Request* request = m_requests.Find(id);
  if (request == nullptr) {
    return;
  }
  request->wait_timer.reset();
  EndRequest(*request, [&] {
    m_requests.Refuse(*request, RefusalCode::kOverloaded,
                      "no upstream became free in time");
  });
}

void RequestReducer::OnRetryDue(RequestId id) {
  Request* request = m_requests.Find(id);
  if (request == nullptr) {
    return;
  }
  request->retry_timer.reset();
  request->unconfirmed_loss.reset();
  const std::string model = request->arrival.model;
  m_dispatcher.Requeue(*request);
  m_dispatcher.DispatchModel(model);
}

}  // namespace jasminehatch::serving
