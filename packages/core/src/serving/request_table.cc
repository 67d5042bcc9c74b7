#include "jasminehatch/detail/serving/request_table.h"

#include <algorithm>
#include <utility>

#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {

Request* RequestTable::Find(RequestId request) {
  const auto entry = m_context.state.requests.find(request);
  return entry == m_context.state.requests.end() ? nullptr : &entry->second;
}

Request* RequestTable::FindAttempt(RequestId request, AttemptId attempt) {
  Request* found = Find(request);
  return found != nullptr && found->attempt && found->attempt->id == attempt
             ? found
             : nullptr;
}

void RequestTable::ReleaseAttempt(Request& request) {
  if (!request.attempt) {
    return;
  }
  UpstreamView& view = m_context.state.View(request.attempt->upstream);
  view.RemoveRunning(request.attempt->id);
  m_context.state.UpdateRoom(view);
  request.past_attempts.push_back(request.attempt->id);
  request.attempt.reset();
  ReleaseIsolation(request);
}

void RequestTable::CancelAttempt(Request& request) {
  if (!request.attempt) {
    return;
  }
  // The upstream may have received the request even if it sent no response yet.
  request.may_have_run = true;
  m_context.Emit(serving::CancelAttempt{
      request.arrival.request, request.attempt->id, request.attempt->upstream});
  ReleaseAttempt(request);
}

void RequestTable::ReleaseIsolation(Request& request) {
  if (request.isolated_on) {
    UpstreamView& view = m_context.state.View(*request.isolated_on);
    view.isolated_for.reset();
    m_context.state.UpdateRoom(view);
    request.isolated_on.reset();
    m_context.models_to_dispatch.push_back(request.arrival.model);
  }
}

VersionGroup* RequestTable::FindGroup(const Request& request) {
  auto& models = m_context.state.models;
  const auto model = models.find(request.arrival.model);
  if (model == models.end()) {
    return nullptr;
  }
  const auto group = model->second.versions.find(request.group);
  return group == model->second.versions.end() ? nullptr : &group->second;
}

void RequestTable::StopWaiting(Request& request) {
  State& state = m_context.state;
  const RequestId id = request.arrival.request;
  if (request.retry_timer) {
    state.timers.Clear(
        {*request.retry_timer, TimerQueue::Kind::kRequestRetry, id.value});
    request.retry_timer.reset();
  }
  if (request.wait_timer) {
    state.timers.Clear(
        {*request.wait_timer, TimerQueue::Kind::kRequestWaitLimit, id.value});
    request.wait_timer.reset();
  }
  if (request.phase == Request::Phase::kRunning ||
      request.phase == Request::Phase::kHeld) {
    return;
  }
  if (VersionGroup* group = FindGroup(request)) {
    if (request.phase == Request::Phase::kQueued) {
      group->queue.Remove(id);
    } else {
      std::erase(request.phase == Request::Phase::kRetry ? group->retries
                                                         : group->suspects,
                 id);
    }
  }
  request.phase = Request::Phase::kHeld;
}

void RequestTable::EmitRefusal(const Request& request,
                               RefusalCode code,
                               std::string detail) {
  m_context.Emit(RefuseRequest{
      request.arrival.request, code,
      request.may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun,
      std::move(detail),
      Describe(code).retry_can_help
          ? std::optional(m_context.state.options.refusal_retry_after)
          : std::nullopt});
}

void RequestTable::Refuse(Request& request,
                          RefusalCode code,
                          std::string detail) {
  CancelAttempt(request);
  EmitRefusal(request, code, std::move(detail));
  Erase(request);
}

void RequestTable::Refuse(Request& request,
                          RefusalCode code,
                          std::string detail,
                          Duration retry_after) {
  CancelAttempt(request);
  m_context.Emit(RefuseRequest{
      request.arrival.request, code,
      request.may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun,
      std::move(detail), retry_after});
  Erase(request);
}

void RequestTable::Erase(Request& request) {
  const RequestId id = request.arrival.request;
  ReleaseAttempt(request);
  ReleaseIsolation(request);
  StopWaiting(request);
  if (request.arrival.deadline) {
    m_context.state.timers.Clear({*request.arrival.deadline,
                                  TimerQueue::Kind::kRequestDeadline,
                                  id.value});
  }
  m_context.state.requests.erase(id);
}

}  // namespace jasminehatch::serving
