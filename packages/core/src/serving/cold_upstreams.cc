#include "jasminehatch/detail/serving/cold_upstreams.h"

#include <algorithm>
#include <chrono>

#include "jasminehatch/detail/serving/step_context.h"

namespace jasminehatch::serving {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

std::optional<ColdUse> ColdUpstreams::UseOf(const UpstreamView& view) const {
  if (!view.spec.warm_up) {
    return std::nullopt;
  }
  State& state = m_context.state;
  // The names of the settings list all daemons, so that no minimum is needed.
  // The limit is the rate itself, of which the limiter keeps a third as a
  // reserve.
  const WarmUpDivision division{.daemon = state.daemon};
  return ColdUseOf(view.spec.name, view.warm_up, *view.spec.warm_up,
                   state.warm_ups, state.members, division, m_context.now);
}

void ColdUpstreams::PresumeCold(UpstreamView& view, std::string_view cause) {
  if (!view.spec.warm_up) {
    return;
  }
  view.warm_up.OnUnreachable(view.spec.warm_up->time, m_context.now);
  if (!view.warm_up.TakeColdStart(m_context.now)) {
    return;
  }
  const auto use = UseOf(view);
  if (!use) {
    return;
  }
  m_context.Count(Counter::kUpstreamCold);
  m_context.Emit(ReportCold{view.id, cause, use->cold_until - m_context.now,
                            use->share, m_context.state.members.Count() + 1});
}

void ColdUpstreams::OnRestarted(UpstreamView& view) {
  PresumeCold(view, "restarted");
  view.warm_up.OnContact(m_context.now);
}

void ColdUpstreams::OnContact(UpstreamView& view) {
  if (!view.spec.warm_up) {
    return;
  }
  const bool was_cold = view.warm_up.ColdUntil(m_context.now).has_value();
  view.warm_up.OnContact(m_context.now);
  if (!was_cold && view.warm_up.ColdUntil(m_context.now)) {
    // It was down for longer than the warm-up time, and starts only now.
    PresumeCold(view, "unreachable");
    view.warm_up.OnContact(m_context.now);
  }
}

bool ColdUpstreams::MayStart(const UpstreamView& view) const {
  const auto use = UseOf(view);
  return !use || use->room_at <= m_context.now;
}

void ColdUpstreams::RecordStart(const UpstreamView& view) {
  if (const auto use = UseOf(view)) {
    m_context.state.warm_ups.RecordSend(view.spec.name, use->share,
                                        m_context.now);
  }
}

void ColdUpstreams::SetRoomTimer(UpstreamView& view) {
  const auto use = UseOf(view);
  if (!use || use->room_at <= m_context.now) {
    return;
  }
  TimerQueue& timers = m_context.state.timers;
  if (view.room_timer) {
    timers.Clear(
        {*view.room_timer, TimerQueue::Kind::kUpstreamRoom, view.id.value});
  }
  view.room_timer = use->room_at;
  timers.Set({use->room_at, TimerQueue::Kind::kUpstreamRoom, view.id.value});
}

std::optional<MonotonicTime> ColdUpstreams::ExpectedStart(
    std::span<const UpstreamId> serving,
    std::size_t ahead) const {
  std::optional<MonotonicTime> room_at;
  std::optional<MonotonicTime> warm_at;
  double per_second = 0;
  for (const UpstreamId id : serving) {
    const auto use = UseOf(m_context.state.View(id));
    if (!use) {
      return std::nullopt;
    }
    room_at = std::min(room_at.value_or(use->room_at), use->room_at);
    warm_at = std::min(warm_at.value_or(use->cold_until), use->cold_until);
    per_second += use->share.requests == 0
                      ? 0
                      : static_cast<double>(use->share.requests) /
                            Seconds(use->share.window).count();
  }
  if (!room_at || ahead == 0) {
    return room_at;
  }
  if (per_second == 0) {
    // Until the fleet is known, the share says nothing of later.
    return m_context.state.members.IsSettled(m_context.now) ? warm_at : room_at;
  }
  const auto wait = std::chrono::duration_cast<Duration>(
      Seconds(static_cast<double>(ahead) / per_second));
  return std::min(*room_at + wait, *warm_at);
}

}  // namespace jasminehatch::serving
