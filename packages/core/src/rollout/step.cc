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
  void Apply(const LoadOrdered& event);
  void Apply(const LoadFailed& event);
  void Apply(const HolderChanged& event);
  void Apply(const TimeOfDay& event);
  void Apply(const TimerFired& event);

  Effects TakeEffects() { return std::move(m_effects); }

 private:
  void Pause(const std::string& upstream, std::string detail);
  void OrderLoads();
  void SupersedeLoads(const std::map<std::string, Target>& previous);
  void StartLoad(const std::string& upstream, const ModelVersion& wanted);
  std::vector<const Target*> TargetsInOrder() const;
  bool MayStart(LoadStart start) const;
  bool MayStopServing(const std::string& upstream) const;

  State& m_state;
  MonotonicTime m_now;
  Effects m_effects;
};

void Reducer::Apply(const TargetsConfigured& event) {
  const auto previous = std::exchange(m_state.targets, {});
  for (const Target& target : event.targets) {
    m_state.targets.emplace(target.upstream, target);
  }
  m_state.in_use = {event.in_use.begin(), event.in_use.end()};
  m_state.paused = false;
  if (m_state.options.supersede_loads) {
    SupersedeLoads(previous);
  }
  OrderLoads();
}

void Reducer::SupersedeLoads(const std::map<std::string, Target>& previous) {
  std::erase_if(m_state.loads, [this](const auto& load) {
    return !m_state.targets.contains(load.first);
  });
  for (const auto& [upstream, load] : std::map(m_state.loads)) {
    const ModelVersion& wanted = m_state.targets.at(upstream).wanted;
    const auto before = previous.find(upstream);
    if (before == previous.end() || before->second.wanted != wanted) {
      StartLoad(upstream, wanted);
    }
  }
}

void Reducer::StartLoad(const std::string& upstream,
                        const ModelVersion& wanted) {
  m_state.loads.insert_or_assign(
      upstream, Load{m_now + m_state.options.order_timeout, false});
  m_effects.emplace_back(OrderLoad{upstream, wanted});
}

void Reducer::Apply(const VersionReported& event) {
  m_state.reports.insert_or_assign(event.upstream, event);
  const auto target = m_state.targets.find(event.upstream);
  if (target == m_state.targets.end() ||
      (event.serving && event.loaded == target->second.wanted)) {
    m_state.loads.erase(event.upstream);
  }
  OrderLoads();
}

void Reducer::Apply(const LoadOrdered& event) {
  const auto load = m_state.loads.find(event.upstream);
  if (load != m_state.loads.end() &&
      !std::exchange(load->second.ordered, true)) {
    load->second.deadline = m_now + m_state.options.load_timeout;
  }
}

void Reducer::Apply(const LoadFailed& event) {
  if (m_state.loads.erase(event.upstream) > 0) {
    Pause(event.upstream, event.detail);
  }
}

void Reducer::Apply(const HolderChanged& event) {
  m_state.holder = event.holder;
  if (!event.holder) {
    m_state.loads.clear();
  }
  OrderLoads();
}

void Reducer::Apply(const TimeOfDay& event) {
  m_state.time_of_day = event.since_midnight;
  OrderLoads();
}

void Reducer::Apply(const TimerFired& /*event*/) {
  for (auto load = m_state.loads.begin(); load != m_state.loads.end();) {
    if (load->second.deadline > m_now) {
      ++load;
      continue;
    }
    const std::string upstream = load->first;
    const bool ordered = load->second.ordered;
    load = m_state.loads.erase(load);
    ++m_state.expired_loads[upstream];
    if (ordered) {
      Pause(upstream,
            "load timed out: the upstream did not report the wanted weights");
    }
  }
  OrderLoads();
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
               !m_state.loads.contains(name);
      });
}

/// @return the targets; the oldest weights reach their time limit first, and
/// upstreams whose loads expired come last, so that they do not take the places
/// of the others again and again
std::vector<const Target*> Reducer::TargetsInOrder() const {
  std::vector<const Target*> targets;
  for (const auto& [upstream, target] : m_state.targets) {
    targets.push_back(&target);
  }
  const auto expired = [this](const Target* target) {
    const auto loads = m_state.expired_loads.find(target->upstream);
    return loads == m_state.expired_loads.end() ? 0 : loads->second;
  };
  std::stable_sort(targets.begin(), targets.end(),
                   [&](const Target* a, const Target* b) {
                     return std::pair(expired(a), b->versions_behind) <
                            std::pair(expired(b), a->versions_behind);
                   });
  return targets;
}

void Reducer::OrderLoads() {
  if (!m_state.holder || m_state.paused) {
    return;
  }
  for (const Target* target : TargetsInOrder()) {
    if (m_state.loads.size() >= m_state.options.max_loads) {
      return;
    }
    const std::string& upstream = target->upstream;
    const auto report = m_state.reports.find(upstream);
    const bool reached = report != m_state.reports.end() &&
                         report->second.loaded == target->wanted;
    if (report == m_state.reports.end() || reached ||
        m_state.loads.contains(upstream) || !MayStart(target->start) ||
        !MayStopServing(upstream)) {
      continue;
    }
    StartLoad(upstream, target->wanted);
  }
}

}  // namespace

std::optional<MonotonicTime> State::NextTimer() const {
  std::optional<MonotonicTime> next;
  for (const auto& [upstream, load] : loads) {
    if (!next || load.deadline < *next) {
      next = load.deadline;
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
