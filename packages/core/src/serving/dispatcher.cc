#include "jasminehatch/detail/serving/dispatcher.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <vector>

#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {
namespace {

using Outcome = AttemptStarter::Outcome;

/// Maximum retries and suspects tried after one event; later events try the
/// rest. Bounds the work when none of them can start, for example because a
/// retry avoids the upstream of the failed attempt and no other one is free.
constexpr std::size_t kMaxTriedPerEvent = 8;

std::vector<RequestId> FirstOf(const std::deque<RequestId>& list) {
  const auto count = std::min(list.size(), kMaxTriedPerEvent);
  return {list.begin(), list.begin() + static_cast<std::ptrdiff_t>(count)};
}

}  // namespace

void Dispatcher::Admit(Request& request) {
  const RequestArrived& arrival = request.arrival;
  m_regions.OnAdmission(request);
  if (!m_unserved.IsServed(request)) {
    m_unserved.Refuse(request,
                      "no upstream serves " + arrival.model +
                          (arrival.weight_version.empty()
                               ? ""
                               : " version " + arrival.weight_version));
    return;
  }
  ModelGroup& model = m_context.state.models.at(arrival.model);
  model.EraseIdleVersions();
  VersionGroup& group = model.GroupOf(request);
  request.phase = Request::Phase::kHeld;
  if (m_waiting.IsSuspect(request)) {
    AdmitSuspect(request, model, group);
    return;
  }
  // New requests must not overtake waiting ones.
  if (group.queue.Size() == 0 &&
      m_starter.TryStart(model, request) != Outcome::kNoUpstream) {
    return;
  }
  m_waiting.Add(request, model, group);
}

void Dispatcher::AdmitSuspect(Request& request,
                              ModelGroup& model,
                              VersionGroup& group) {
  if (group.suspects.size() >= m_context.state.options.queue_limit) {
    m_requests.Refuse(
        request, RefusalCode::kOverloaded,
        "too many requests suspected of crashing upstreams wait for " +
            request.arrival.model);
    return;
  }
  m_waiting.Requeue(request);
  StartSuspects(model, group);
  m_candidates.SetRoomTimers(model, group);
}

bool Dispatcher::StartRetries(ModelGroup& model, VersionGroup& group) {
  bool started = false;
  for (const RequestId id : FirstOf(group.retries)) {
    started |=
        m_starter.TryStart(model, *m_requests.Find(id)) != Outcome::kNoUpstream;
  }
  return started;
}

void Dispatcher::StartSuspects(ModelGroup& model, VersionGroup& group) {
  for (const RequestId id : FirstOf(group.suspects)) {
    m_starter.TryStartAlone(model, *m_requests.Find(id));
  }
}

void Dispatcher::StartQueued(ModelGroup& model, VersionGroup& group) {
  while (group.queue.Size() > 0 && m_candidates.AnyHasRoom(model, group)) {
    Request& request = *m_requests.Find(*group.queue.Pop());
    m_requests.StopWaiting(request);
    group.RecordDispatch(m_context.now);
    m_starter.TryStart(model, request);
  }
}

void Dispatcher::DispatchVersion(ModelGroup& model, VersionGroup& group) {
  StartSuspects(model, group);
  while (StartRetries(model, group)) {
  }
  StartQueued(model, group);
  if (group.Waiting() > 0) {
    m_candidates.SetRoomTimers(model, group);
  }
}

void Dispatcher::DispatchModel(const std::string& model) {
  const auto found = m_context.state.models.find(model);
  if (found == m_context.state.models.end()) {
    return;
  }
  ModelGroup& group = found->second;
  std::vector<VersionGroup*> waiting;
  bool compete = false;
  for (auto& [key, version_group] : group.versions) {
    if (version_group.Waiting() > 0) {
      waiting.push_back(&version_group);
      compete = compete || !version_group.regions.empty();
    }
  }
  // Groups of one version with different regions share upstreams. Each of them
  // gets the first choice in turn, so that none waits forever.
  const bool takes_turns = compete && waiting.size() > 1;
  if (takes_turns) {
    const auto first = static_cast<std::ptrdiff_t>(group.turn % waiting.size());
    std::rotate(waiting.begin(), waiting.begin() + first, waiting.end());
  }
  const auto attempts_before = m_context.state.next_attempt;
  for (VersionGroup* version_group : waiting) {
    DispatchVersion(group, *version_group);
  }
  // Without a started request, the next turn belongs to the same group.
  if (takes_turns && m_context.state.next_attempt != attempts_before) {
    ++group.turn;
  }
}

void Dispatcher::DispatchAfter(UpstreamId upstream) {
  const UpstreamView& view = m_context.state.View(upstream);
  if (view.HasRoom() || (view.isolated_for && view.in_flight == 0)) {
    DispatchModel(view.spec.model);
  }
}

}  // namespace jasminehatch::serving
