#include "jasminehatch/detail/serving/isolated_upstreams.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "jasminehatch/detail/serving/candidate_upstreams.h"
#include "jasminehatch/detail/serving/request_table.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {
namespace {

bool IsBeingEmptied(const UpstreamView& view) {
  return view.isolated_for && view.in_flight > 0 &&
         view.running.front().request != *view.isolated_for;
}

}  // namespace

std::optional<UpstreamId> IsolatedUpstreams::IsolateFor(ModelGroup& model,
                                                        Request& request) {
  if (request.isolated_on) {
    const auto serving = m_candidates.Serving(model, model.GroupOf(request));
    if (std::find(serving.begin(), serving.end(), *request.isolated_on) ==
        serving.end()) {
      m_requests.ReleaseIsolation(request);
    }
  }
  if (!request.isolated_on) {
    if (const auto upstream = Choose(model, request)) {
      Isolate(request, *upstream);
    }
  }
  return request.isolated_on;
}

void IsolatedUpstreams::Isolate(Request& request, UpstreamId upstream) {
  if (request.isolated_on == upstream) {
    return;
  }
  m_requests.ReleaseIsolation(request);
  request.isolated_on = upstream;
  UpstreamView& view = m_context.state.View(upstream);
  view.isolated_for = request.arrival.request;
  m_context.state.UpdateRoom(view);
}

std::optional<UpstreamId> IsolatedUpstreams::Choose(ModelGroup& model,
                                                    const Request& request) {
  // Isolation costs capacity: at most half of the upstreams are isolated, and
  // only one at a time waits for its running attempts to end.
  const State& state = m_context.state;
  std::size_t serving = 0;
  std::size_t isolated = 0;
  bool being_emptied = false;
  const UpstreamView* best = nullptr;
  for (const UpstreamId id :
       m_candidates.Serving(model, model.GroupOf(request))) {
    const UpstreamView& view = state.View(id);
    ++serving;
    isolated += view.isolated_for ? 1 : 0;
    being_emptied = being_emptied || IsBeingEmptied(view);
    const auto rank = [&](const UpstreamView& candidate) {
      return std::pair(candidate.id == request.last_failed,
                       candidate.in_flight);
    };
    // If the upstream was just lost, that loss must not be counted against the
    // suspect.
    if (!view.isolated_for && view.broken_attempts.empty() &&
        (best == nullptr || rank(view) < rank(*best))) {
      best = &view;
    }
  }
  if (best == nullptr || isolated >= std::max<std::size_t>(1, serving / 2) ||
      (being_emptied && best->in_flight > 0) ||
      (best->id == request.last_failed && serving > 1)) {
    return std::nullopt;
  }
  return best->id;
}

}  // namespace jasminehatch::serving
