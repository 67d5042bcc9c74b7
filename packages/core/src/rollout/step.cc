#include "jasminehatch/detail/rollout/step.h"

#include <algorithm>
#include <utility>

#include "jasminehatch/detail/rollout/state.h"

namespace jasminehatch::rollout {
namespace {

/// Applies one event to the state and collects the effects.
class Reducer {
 public:
  Reducer(State& state, MonotonicTime now) : m_state(state), m_now(now) {}

  void Apply(const TargetsConfigured& event);
  void Apply(const VersionReported& event);
  void Apply(const LoadFailed& event);
  void Apply(const HolderChanged& event);
  void Apply(const TimeOfDay& event);
  void Apply(const TimerFired& event);

  Effects TakeEffects() { return std::move(m_effects); }

 private:
  void Pause(const std::string& upstream, std::string detail);
  void OrderLoads();
  bool MayStart(LoadStart start) const;
  bool MayStopServing(const std::string& upstream) const;

  State& m_state;
  MonotonicTime m_now;
  Effects m_effects;
};

void Reducer::Apply(const TargetsConfigured& event) {
  m_state.targets.clear();
  for (const Target& target : event.targets) {
    m_state.targets.emplace(target.upstream, target);
  }
  m_state.in_use = {event.in_use.begin(), event.in_use.end()};
  m_state.paused = false;
  OrderLoads();
}

void Reducer::Apply(const VersionReported& event) {
  m_state.reports.insert_or_assign(event.upstream, event);
  const auto target = m_state.targets.find(event.upstream);
  if (target == m_state.targets.end() ||
      (event.serving && event.loaded == target->second.wanted)) {
    m_state.load_deadlines.erase(event.upstream);
  }
  OrderLoads();
}

void Reducer::Apply(const LoadFailed& event) {
  if (m_state.load_deadlines.erase(event.upstream) > 0) {
    Pause(event.upstream, event.detail);
  }
}

void Reducer::Apply(const HolderChanged& event) {
  m_state.holder = event.holder;
  if (!event.holder) {
    m_state.load_deadlines.clear();
  }
  OrderLoads();
}

void Reducer::Apply(const TimeOfDay& event) {
  m_state.time_of_day = event.since_midnight;
  OrderLoads();
}

void Reducer::Apply(const TimerFired& /*event*/) {
  for (auto load = m_state.load_deadlines.begin();
       load != m_state.load_deadlines.end();) {
    if (load->second > m_now) {
      ++load;
      continue;
    }
    const std::string upstream = load->first;
    load = m_state.load_deadlines.erase(load);
    Pause(upstream,
          "load timed out: the upstream did not report the wanted weights");
  }
}

void Reducer::Pause(const std::string& upstream, std::string detail) {
  m_state.paused = true;
  m_effects.emplace_back(ReportPaused{upstream, std::move(detail)});
}

bool Reducer::MayStart(LoadStart start) const {
  if (start == LoadStart::kNow) {
    return true;
  }
  if (!m_state.time_of_day) {
    return false;
  }
  const auto time = *m_state.time_of_day;
  const auto begin = m_state.options.quiet_begin;
  const auto end = m_state.options.quiet_end;
  // Quiet hours may span midnight.
  return begin <= end ? time >= begin && time < end
                      : time >= begin || time < end;
}

bool Reducer::MayStopServing(const std::string& upstream) const {
  const auto report = m_state.reports.find(upstream);
  if (report == m_state.reports.end() || !report->second.serving) {
    return true;
  }
  const ModelVersion& loaded = report->second.loaded;
  if (!m_state.in_use.contains(loaded)) {
    return true;
  }
  return std::any_of(
      m_state.reports.begin(), m_state.reports.end(), [&](const auto& entry) {
        const auto& [name, other] = entry;
        return name != upstream && other.serving && other.loaded == loaded &&
               !m_state.load_deadlines.contains(name);
      });
}

void Reducer::OrderLoads() {
  if (!m_state.holder || m_state.paused) {
    return;
  }
  for (const auto& [upstream, target] : m_state.targets) {
    if (m_state.load_deadlines.size() >= m_state.options.max_loads) {
      return;
    }
    const auto report = m_state.reports.find(upstream);
    const bool reached = report != m_state.reports.end() &&
                         report->second.loaded == target.wanted;
    if (report == m_state.reports.end() || reached ||
        m_state.load_deadlines.contains(upstream) || !MayStart(target.start) ||
        !MayStopServing(upstream)) {
      continue;
    }
    m_state.load_deadlines.emplace(upstream,
                                   m_now + m_state.options.load_timeout);
    m_effects.emplace_back(OrderLoad{upstream, target.wanted});
  }
}

}  // namespace

std::optional<MonotonicTime> State::NextTimer() const {
  std::optional<MonotonicTime> next;
  for (const auto& [upstream, deadline] : load_deadlines) {
    if (!next || deadline < *next) {
      next = deadline;
    }
  }
  return next;
}

Effects Step(const Event& event, MonotonicTime now, State& state) {
  Reducer reducer(state, now);
  std::visit([&](const auto& body) { reducer.Apply(body); }, event);
  return reducer.TakeEffects();
}

}  // namespace jasminehatch::rollout
