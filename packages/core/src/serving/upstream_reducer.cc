#include "jasminehatch/detail/serving/upstream_reducer.h"

#include <string>
#include <vector>

#include "jasminehatch/detail/serving/cold_upstreams.h"
#include "jasminehatch/detail/serving/crash_tracker.h"
#include "jasminehatch/detail/serving/dispatcher.h"
#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {

UpstreamView& UpstreamReducer::Configure(const UpstreamSpec& spec) {
  State& state = m_context.state;
  const auto [entry, inserted] = state.upstreams_by_name.try_emplace(
      spec.name,
      UpstreamId{static_cast<std::uint32_t>(state.upstreams.size())});
  if (inserted) {
    state.upstreams.emplace_back();
    state.upstreams.back().id = entry->second;
  }
  UpstreamView& view = state.View(entry->second);
  if (inserted || view.spec.weight_version != spec.weight_version) {
    view.version_configured_at = m_context.now;
  }
  view.spec = spec;
  view.configured = true;
  state.UpdateRoom(view);
  return view;
}

void UpstreamReducer::Apply(const UpstreamsConfigured& event) {
  State& state = m_context.state;
  std::vector<bool> was_configured;
  for (UpstreamView& view : state.upstreams) {
    was_configured.push_back(view.configured);
    view.configured = false;
  }
  state.has_warm_ups = false;
  for (const UpstreamSpec& spec : event.upstreams) {
    UpstreamView& view = Configure(spec);
    state.has_warm_ups = state.has_warm_ups || spec.warm_up;
    const bool kept =
        view.id.value < was_configured.size() && was_configured[view.id.value];
    if (state.has_configuration && !kept) {
      m_cold_upstreams.OnAdded(view);
    }
    const bool added_again =
        view.id.value < was_configured.size() && !was_configured[view.id.value];
    if (added_again && !view.report) {
      // A plain service reports no incarnation; only the configuration shows
      // that it is back.
      view.leaving = false;
    }
  }
  state.has_configuration = true;
  IndexModels();
  if (state.residency != event.residency) {
    state.residency = event.residency;
    m_dispatcher.ApplyResidency();
  }
  for (UpstreamView& view : state.upstreams) {
    const bool removed = view.id.value < was_configured.size() &&
                         was_configured[view.id.value] && !view.configured;
    if (removed) {
      ClearCache(view);
      m_crashes.DiscardBrokenAttempts(view, m_context.now);
    }
  }
  std::vector<std::string> models;
  for (const auto& [model, group] : state.models) {
    models.push_back(model);
  }
  for (const std::string& model : models) {
    m_dispatcher.RefuseUnserved(model);
    m_dispatcher.DispatchModel(model);
  }
  std::erase_if(state.models, [](const auto& entry) {
    if (!entry.second.upstreams.empty()) {
      return false;
    }
    for (const auto& [version, group] : entry.second.versions) {
      if (group.Waiting() > 0) {
        return false;
      }
    }
    return true;
  });
}

void UpstreamReducer::IndexModels() {
  State& state = m_context.state;
  for (auto& [model, group] : state.models) {
    group.upstreams.clear();
    ++group.changes;
  }
  for (const UpstreamView& view : state.upstreams) {
    if (view.configured) {
      state.models[view.spec.model].upstreams.push_back(view.id);
    }
  }
}

void UpstreamReducer::Apply(const LoadReported& event) {
  State& state = m_context.state;
  UpstreamView& view = state.View(event.upstream);
  const MonotonicTime taken = m_context.now - event.age;
  if (view.report && taken < view.reported_at) {
    m_context.Count(Counter::kStaleReportDropped);
    return;
  }
  const bool restarted =
      view.report && view.report->incarnation != event.incarnation;
  if (restarted) {
    OnRestarted(view, event);
  }
  const bool version_changed =
      view.report && view.report->weight_version != event.weight_version;
  if (!view.report || restarted || version_changed || !view.reachable ||
      view.report->loading != event.loading ||
      view.reported_at < view.version_configured_at) {
    state.MarkServingChanged(view.spec.model);
  }
  if (restarted) {
    m_cold_upstreams.OnRestarted(view);
  } else {
    m_cold_upstreams.OnContact(view);
  }
  if (view.leaving && !view.leaving_incarnation) {
    view.leaving_incarnation = event.incarnation;
  }
  view.report = event;
  view.reported_at = taken;
  view.reachable = true;
  view.RecountSends();
  const bool had_broken_attempts = !view.broken_attempts.empty();
  m_crashes.DiscardBrokenAttempts(view, taken);
  if (event.draining) {
    MarkLeaving(view);
  }
  if (restarted || version_changed || had_broken_attempts || event.draining) {
    m_dispatcher.RefuseUnserved(view.spec.model);
    m_dispatcher.DispatchModel(view.spec.model);
  } else {
    m_dispatcher.DispatchAfter(event.upstream);
  }
}

void UpstreamReducer::OnRestarted(UpstreamView& view,
                                  const LoadReported& event) {
  m_context.Count(Counter::kUpstreamRestarted);
  ClearCache(view);
  view.paused_until.reset();
  if (view.leaving) {
    view.leaving = view.leaving_incarnation == event.incarnation;
    m_crashes.DiscardBrokenAttempts(view, m_context.now);
  } else {
    m_crashes.OnRestarted(view);
  }
}

void UpstreamReducer::Apply(const UpstreamUnreachable& event) {
  UpstreamView& view = m_context.state.View(event.upstream);
  view.reachable = false;
  m_cold_upstreams.OnUnreachable(view);
  m_context.state.MarkServingChanged(view.spec.model);
  if (!view.leaving) {
    m_crashes.OnUnreachable(view);
  }
  m_dispatcher.DispatchModel(view.spec.model);
}

void UpstreamReducer::MarkLeaving(UpstreamView& view) {
  if (view.leaving) {
    return;
  }
  view.leaving = true;
  m_context.state.MarkServingChanged(view.spec.model);
  view.leaving_incarnation.reset();
  if (view.report) {
    view.leaving_incarnation = view.report->incarnation;
  }
  // A planned stop does not count as a loss.
  m_crashes.DiscardBrokenAttempts(view, m_context.now);
}

void UpstreamReducer::Apply(const UpstreamLeaving& event) {
  UpstreamView& view = m_context.state.View(event.upstream);
  MarkLeaving(view);
  m_dispatcher.RefuseUnserved(view.spec.model);
  m_dispatcher.DispatchModel(view.spec.model);
}

void UpstreamReducer::ClearCache(UpstreamView& view) {
  m_context.state.prefixes.Clear(view.id);
  view.cache_sequence = 0;
  EndResync(view);
}

void UpstreamReducer::EndResync(UpstreamView& view) {
  view.awaiting_resync = false;
  m_context.state.prefixes.SetTrusted(view.id, true);
  if (view.resync_timer) {
    m_context.state.timers.Clear(
        {*view.resync_timer, TimerQueue::Kind::kCacheResync, view.id.value});
    view.resync_timer.reset();
  }
}

void UpstreamReducer::RequestListing(UpstreamView& view) {
  view.resync_timer = m_context.now + m_context.state.options.resync_timeout;
  m_context.state.timers.Set(
      {*view.resync_timer, TimerQueue::Kind::kCacheResync, view.id.value});
  m_context.Emit(ResyncCache{view.id});
}

void UpstreamReducer::Apply(const CacheChanged& event) {
  State& state = m_context.state;
  UpstreamView& view = state.View(event.upstream);
  for (const CacheChange& change : event.changes) {
    if (change.sequence <= view.cache_sequence) {
      continue;
    }
    if (change.sequence != view.cache_sequence + 1 && !view.awaiting_resync) {
      view.awaiting_resync = true;
      state.prefixes.SetTrusted(view.id, false);
      m_context.Count(Counter::kCacheEventGap);
      RequestListing(view);
    }
    view.cache_sequence = change.sequence;
    if (change.stored) {
      state.prefixes.Add(event.upstream, change.key);
    } else {
      state.prefixes.Evict(event.upstream, change.key);
    }
  }
}

void UpstreamReducer::Apply(const CacheListed& event) {
  State& state = m_context.state;
  UpstreamView& view = state.View(event.upstream);
  state.prefixes.Clear(event.upstream);
  for (const BlockKey& key : event.keys) {
    state.prefixes.Add(event.upstream, key);
  }
  // Clearing the index also dropped the changes after the listing that were
  // already applied; returning to the sequence of the listing makes the daemon
  // fetch them again.
  view.cache_sequence = event.sequence;
  EndResync(view);
  m_context.Count(Counter::kCacheResync);
}

void UpstreamReducer::OnResyncOverdue(UpstreamId upstream) {
  UpstreamView& view = m_context.state.View(upstream);
  view.resync_timer.reset();
  if (view.awaiting_resync && view.configured) {
    m_context.Count(Counter::kCacheResyncRepeated);
    RequestListing(view);
  }
}

}  // namespace jasminehatch::serving
