#include "jasminehatch/detail/testing/serving_checker.h"

#include <algorithm>
#include <variant>

#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/testing/serving_text.h"

namespace jasminehatch::testing {
namespace {

/// @return whether the upstream is cold and a timer tells when it has room
bool WaitsForRoom(const serving::UpstreamView& view, MonotonicTime now) {
  if (!view.room_timer) {
    return false;
  }
  if (*view.room_timer == now) {
    return true;
  }
  const auto cold_until = view.spec.warm_up ? view.warm_up.ColdUntil(now)
                                            : std::optional<MonotonicTime>();
  return cold_until && *view.room_timer > now &&
         *view.room_timer <= *cold_until;
}

}  // namespace

std::string ServingChecker::ResponseText(RequestId request,
                                         std::uint32_t position) {
  return "r" + std::to_string(request.value) + "." + std::to_string(position) +
         " ";
}

void ServingChecker::Require(bool holds, const std::string& violation) {
  if (!holds && m_violation.empty()) {
    m_violation = violation;
  }
}

void ServingChecker::OnEvent(const serving::Event& event, MonotonicTime now) {
  m_now = now;
  std::visit([this](const auto& body) { Observe(body); }, event);
}

void ServingChecker::OnEffect(const serving::Effect& effect) {
  std::visit([this](const auto& body) { Check(body); }, effect);
}

void ServingChecker::Observe(const serving::UpstreamsConfigured& event) {
  m_residency = event.residency;
  std::vector<bool> before;
  for (Upstream& upstream : m_upstreams) {
    before.push_back(upstream.configured);
    upstream.configured = false;
  }
  for (const serving::UpstreamSpec& spec : event.upstreams) {
    const auto [entry, inserted] = m_names.try_emplace(
        spec.name, UpstreamId{static_cast<std::uint32_t>(m_upstreams.size())});
    if (inserted) {
      m_upstreams.emplace_back();
    }
    Upstream& upstream = m_upstreams[entry->second.value];
    if (inserted || upstream.spec.weight_version != spec.weight_version) {
      upstream.version_configured_at = m_now;
    }
    if (!inserted && !before[entry->second.value] && !upstream.report) {
      upstream.leaving = false;
    }
    upstream.spec = spec;
    upstream.configured = true;
  }
}

void ServingChecker::Observe(const serving::RequestArrived& event) {
  m_open[event.request] =
      Request{event, 0, 0, false,
              serving::RegionsOf(m_residency, event.workspace, event.model)};
}

void ServingChecker::Observe(const serving::RequestCancelled& event) {
  // The effects of this event may still cancel its attempt.
  if (m_open.erase(event.request) > 0) {
    m_ended.insert(event.request);
  }
}

void ServingChecker::Observe(const serving::AttemptChunk& event) {
  // A chunk whose request and attempt do not belong together proves nothing
  // about either.
  const auto attempt = m_running.find(event.attempt);
  const auto request = m_open.find(event.request);
  if (attempt != m_running.end() && request != m_open.end() &&
      attempt->second.request == event.request) {
    request->second.may_have_run = true;
  }
}

void ServingChecker::Observe(const serving::AttemptEnded& event) {
  const auto attempt = m_running.find(event.attempt);
  if (attempt == m_running.end()) {
    return;
  }
  const auto request = m_open.find(attempt->second.request);
  if (request != m_open.end() &&
      event.result != serving::AttemptResult::kNotSent &&
      event.result != serving::AttemptResult::kRejectedNotRun) {
    request->second.may_have_run = true;
  }
  m_running.erase(attempt);
}

void ServingChecker::Observe(const serving::LoadReported& event) {
  Upstream& upstream = m_upstreams.at(event.upstream.value);
  const MonotonicTime taken = m_now - event.age;
  if (upstream.report && taken < upstream.reported_at) {
    return;
  }
  if (upstream.leaving && !upstream.leaving_incarnation) {
    upstream.leaving_incarnation = event.incarnation;
  }
  upstream.leaving =
      event.draining ||
      (upstream.leaving && upstream.leaving_incarnation == event.incarnation);
  if (event.draining) {
    upstream.leaving_incarnation = event.incarnation;
  }
  upstream.report = event;
  upstream.reported_at = taken;
}

void ServingChecker::Observe(const serving::UpstreamLeaving& event) {
  Upstream& upstream = m_upstreams.at(event.upstream.value);
  if (!upstream.leaving) {
    upstream.leaving_incarnation.reset();
    if (upstream.report) {
      upstream.leaving_incarnation = upstream.report->incarnation;
    }
  }
  upstream.leaving = true;
}

void ServingChecker::CheckVersion(const Request& request,
                                  const Upstream& upstream) {
  const std::string& wanted = request.arrival.weight_version;
  const std::string name = upstream.spec.name + ": ";
  if (wanted.empty()) {
    return;
  }
  const bool reported =
      upstream.report && !upstream.report->weight_version.empty();
  if (reported) {
    Require(upstream.report->weight_version == wanted,
            name + "start against the reported weight version");
  }
  if (!reported || upstream.reported_at < upstream.version_configured_at) {
    Require(upstream.spec.weight_version == wanted,
            name + "start against the configured weight version");
  }
}

void ServingChecker::Check(const serving::StartAttempt& effect) {
  const std::string name = ToText(serving::Effect{effect}) + ": ";
  const auto found = m_open.find(effect.request);
  Require(found != m_open.end(), name + "the request is not in progress");
  if (found == m_open.end()) {
    return;
  }
  Request& request = found->second;
  const Upstream& upstream = m_upstreams.at(effect.upstream.value);
  Require(upstream.configured, name + "the upstream is not configured");
  Require(!upstream.leaving, name + "the upstream is leaving");
  for (const auto& lists :
       {request.regions,
        serving::RegionsOf(m_residency, request.arrival.workspace,
                           request.arrival.model)}) {
    Require(serving::AllowedZonesOf(lists, m_residency.zone_regions)
                .Contains(upstream.spec.zone),
            name + "the upstream is outside the allowed regions");
  }
  Require(!upstream.spec.evacuated, name + "the upstream's zone is evacuated");
  Require(!upstream.report || !upstream.report->loading,
          name + "the upstream is loading weights");
  Require(upstream.spec.model == request.arrival.model,
          name + "the upstream serves another model");
  CheckVersion(request, upstream);
  Require(effect.resume_from == request.next_position,
          name + "does not resume at the next position");
  Require(request.arrival.weight_version.empty() == false ||
              request.next_position == 0,
          name + "repeats a plain call after a part was delivered");
  const auto quarantine = m_quarantined.find(request.arrival.fingerprint);
  Require(quarantine == m_quarantined.end() || quarantine->second <= m_now,
          name + "the request is quarantined");
  for (const auto& [id, attempt] : m_running) {
    Require(attempt.request != effect.request,
            name + "another attempt of the request is running");
  }
  m_running[effect.attempt] = {effect.request, effect.upstream,
                               effect.resume_from};
  m_first_attempts += request.attempts == 0 ? 1 : 0;
  ++request.attempts;
  ++m_attempts;
  Require(
      static_cast<double>(m_attempts) <=
          static_cast<double>(m_first_attempts) * (1 + m_options.retry_share) +
              m_options.retry_burst + 1e-6,
      name + "retries exceed their budget");
  Require(request.attempts <= m_options.max_attempts,
          name + "too many attempts of one request");
}

void ServingChecker::Check(const serving::CancelAttempt& effect) {
  const auto attempt = m_running.find(effect.attempt);
  Require(
      attempt != m_running.end() && attempt->second.upstream == effect.upstream,
      ToText(serving::Effect{effect}) + ": the attempt is not running");
  if (attempt == m_running.end()) {
    return;
  }
  const auto request = m_open.find(effect.request);
  if (request != m_open.end()) {
    request->second.may_have_run = true;
  }
  m_running.erase(attempt);
}

void ServingChecker::Check(const serving::ForwardChunk& effect) {
  const std::string name = ToText(serving::Effect{effect}) + ": ";
  const auto request = m_open.find(effect.request);
  Require(request != m_open.end(), name + "the request is not in progress");
  if (request == m_open.end()) {
    return;
  }
  Require(effect.position == request->second.next_position,
          name + "gap or repeat in the answer");
  Require(effect.text == ResponseText(effect.request, effect.position),
          name + "the chunk belongs to another request or position");
  ++request->second.next_position;
}

void ServingChecker::EndRequest(RequestId request) {
  const std::string name = "r" + std::to_string(request.value) + ": ";
  Require(!m_ended.contains(request), name + "ended twice");
  Require(m_open.contains(request), name + "ended but is not in progress");
  for (const auto& [id, attempt] : m_running) {
    Require(attempt.request != request, name + "ended with a running attempt");
  }
  m_open.erase(request);
  m_ended.insert(request);
}

void ServingChecker::Check(const serving::FinishRequest& effect) {
  EndRequest(effect.request);
}

void ServingChecker::Check(const serving::RefuseRequest& effect) {
  const auto request = m_open.find(effect.request);
  if (request != m_open.end()) {
    Require(request->second.may_have_run ? effect.verdict != Verdict::kNotRun
                                         : effect.verdict == Verdict::kNotRun,
            ToText(serving::Effect{effect}) + ": the verdict is not true");
  }
  EndRequest(effect.request);
}

void ServingChecker::Check(const serving::BroadcastQuarantine& effect) {
  m_quarantined[effect.fingerprint] = m_now + effect.remaining;
}

void ServingChecker::CheckUpstreams(const serving::State& state) {
  std::vector<std::uint32_t> running(state.upstreams.size());
  for (const auto& [id, attempt] : m_running) {
    ++running.at(attempt.upstream.value);
  }
  for (const serving::UpstreamView& view : state.upstreams) {
    const std::uint32_t expected = running.at(view.id.value);
    Require(view.in_flight == expected && view.running.size() == expected,
            view.spec.name + ": in-flight count differs from the attempts");
    Require(view.HasRoom() == state.has_room.at(view.id.value),
            view.spec.name + ": has_room differs from HasRoom()");
    Require(expected <= view.spec.max_in_flight,
            view.spec.name + ": more attempts than max_in_flight");
    std::uint32_t sent = 0;
    for (const auto& entry : view.running) {
      sent += entry.sent_at >= view.reported_at || !view.report ? 1 : 0;
      const auto request = state.requests.find(entry.request);
      Require(request != state.requests.end() && request->second.attempt,
              view.spec.name +
                  ": runs an attempt of a request that is not in progress");
      if (request != state.requests.end() && request->second.attempt &&
          request->second.attempt->alone) {
        Require(expected == 1, view.spec.name + ": a suspect has neighbours");
      }
    }
    Require(view.sent_since_report == sent,
            view.spec.name + ": sends since the report are miscounted");
  }
}

void ServingChecker::CheckQueues(const serving::State& state) {
  for (const auto& [model, group] : state.models) {
    for (const auto& [key, waiting] : group.versions) {
      Require(waiting.queue.Size() <= m_options.queue_limit,
              model + ": the queue is longer than its bound");
      if (waiting.queue.Size() == 0) {
        continue;
      }
      const AllowedZones zones =
          serving::AllowedZonesOf(waiting.regions, m_residency.zone_regions);
      for (const UpstreamId id : group.upstreams) {
        const auto& view = state.View(id);
        Require(!view.HasRoom() ||
                    !view.Serves(model, waiting.version, m_now) ||
                    !zones.Contains(view.spec.zone) ||
                    (view.paused_until && *view.paused_until == m_now) ||
                    WaitsForRoom(view, m_now),
                view.spec.name + ": idle while requests wait");
      }
    }
  }
}

void ServingChecker::AfterStep(const serving::State& state) {
  Require(state.requests.size() == m_open.size(),
          "requests in progress differ from those that were not ended");
  CheckUpstreams(state);
  CheckQueues(state);
}

void ServingChecker::AtEnd(const serving::State& state) {
  Require(m_open.empty(), "a request never ended");
  Require(m_running.empty(), "an attempt never ended");
  for (const auto& view : state.upstreams) {
    Require(!view.isolated_for,
            view.spec.name + ": kept free for a request that ended");
  }
}

}  // namespace jasminehatch::testing
