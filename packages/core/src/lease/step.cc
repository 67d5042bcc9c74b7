#include "jasminehatch/detail/lease/step.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "jasminehatch/detail/lease/state.h"

namespace jasminehatch::lease {
namespace {

/// @return the orders from the reported to the desired state
std::vector<std::pair<OrderKind, std::string>> OrdersBetween(
    const UpstreamState& reported,
    const UpstreamState& desired) {
  std::vector<std::pair<OrderKind, std::string>> orders;
  if (desired.drained && !reported.drained) {
    orders.emplace_back(OrderKind::kDrain, "");
  }
  if (desired.role != reported.role) {
    orders.emplace_back(OrderKind::kChangeRole, desired.role);
  }
  if (desired.model != reported.model) {
    orders.emplace_back(
        desired.model.empty() ? OrderKind::kUnload : OrderKind::kLoad,
        desired.model);
  }
  if (!desired.drained && reported.drained) {
    orders.emplace_back(OrderKind::kServe, "");
  }
  return orders;
}

/// Applies one event to the state and collects the effects.
class Reducer {
 public:
  Reducer(State& state, MonotonicTime now) : m_state(state), m_now(now) {}

  void Apply(const UpstreamConfigured& event);
  void Apply(const DesiredChanged& event);
  void Apply(const DesiredWithdrawn& event) {
    m_state.groups[event.group].upstreams.erase(event.upstream);
  }
  void Apply(const StateReported& event);
  void Apply(const AppendFailed& event);
  void Apply(const LeaseRecordsRead& event);
  void Apply(const LeaseRecordsLost& event);
  void Apply(const OrderEnded& event);
  void Apply(const LeaseWanted& event) {
    m_state.groups[event.group].wanted = event.wanted;
  }
  void Apply(const ShutdownRequested& /*event*/) {
    m_state.shutting_down = true;
  }
  void Apply(const TimerFired& /*event*/) {}

  /// In every group, claims or renews the lease and sends the orders that are
  /// due.
  void UpdateAllGroups();

  Effects TakeEffects() { return std::move(m_effects); }

 private:
  void RepeatSoon(Group& group, const OrderEnded& event);
  bool Follows(const Group& group, const OffsetRecord& read) const;
  bool Holds(const Group& group) const;
  void ForgetRecords(Group& group);
  void Accept(Group& group, std::uint64_t offset, const LeaseRecord& record);
  void AppendClaim(const std::string& name, Group& group);
  void AppendRelease(const std::string& name, Group& group);
  bool AllowsClaimAtOnce(const LeaseRelease& release) const;
  bool MayAppend(Group& group);
  MonotonicTime EarliestClaim(const Group& group, bool holds) const;
  void UpdateGroup(const std::string& name, Group& group);
  void SendOrders(const std::string& name, Group& group);
  HoldReason ReasonToHold(const Group& group, const Upstream& upstream);
  void TrackHold(const std::string& name,
                 const std::string& upstream_name,
                 Upstream& upstream,
                 HoldReason reason);
  void SendOrdersTo(const std::string& name,
                    Group& group,
                    const std::string& upstream_name,
                    Upstream& upstream);
  void ScheduleTimer(MonotonicTime time);

  State& m_state;
  MonotonicTime m_now;
  Effects m_effects;
};

void Reducer::Apply(const UpstreamConfigured& event) {
  Upstream& upstream = m_state.groups[event.group].upstreams[event.upstream];
  upstream.checks_fencing = event.checks_fencing;
  upstream.checks_order_count = event.checks_order_count;
}

void Reducer::Apply(const DesiredChanged& event) {
  Upstream& upstream = m_state.groups[event.group].upstreams[event.upstream];
  if (upstream.desired != event.desired) {
    upstream.desired = event.desired;
    upstream.retry_at.reset();
    upstream.orders_accepted.reset();
  }
}

void Reducer::Apply(const StateReported& event) {
  Upstream& upstream = m_state.groups[event.group].upstreams[event.upstream];
  upstream.reported = event.reported;
  upstream.reported_at = m_now;
  upstream.busy = event.busy;
  if (event.orders_accepted) {
    upstream.orders_accepted = event.orders_accepted;
  }
}

void Reducer::Apply(const AppendFailed& event) {
  const auto group = m_state.groups.find(event.group);
  if (group != m_state.groups.end() && group->second.retry_at) {
    group->second.retry_at = m_now + m_state.options.append_retry;
  }
}

void Reducer::Apply(const LeaseRecordsRead& event) {
  for (const OffsetRecord& read : event.records) {
    Group& group = m_state.groups[read.record.group];
    if (Follows(group, read)) {
      Accept(group, read.offset, read.record);
    }
  }
  if (event.at_end) {
    m_state.read_to_end_at = m_now;
    m_state.reading = false;
  }
}

/// @return whether the record is to be accepted
bool Reducer::Follows(const Group& group, const OffsetRecord& read) const {
  // Daemons of earlier releases write no epoch.
  if (read.record.epoch != 0 && read.record.epoch != m_state.epoch) {
    return false;
  }
  const bool knows_base = !group.follows_gap && !read.record.follows_gap;
  return read.offset > group.offset &&
         (!knows_base || read.record.base == group.offset);
}

void Reducer::Apply(const LeaseRecordsLost& event) {
  m_state.epoch = event.epoch;
  m_state.records_lost_at = m_now;
  m_state.read_to_end_at.reset();
  m_state.reading = false;
  for (auto& [name, group] : m_state.groups) {
    ForgetRecords(group);
  }
}

bool Reducer::Holds(const Group& group) const {
  return group.offset != 0 && group.holder == m_state.self &&
         m_now < group.held_until;
}

/// Forgets who holds the lease. Records that this process has not read may be
/// gone with those that it has, so it knows only its own lease.
void Reducer::ForgetRecords(Group& group) {
  if (!Holds(group)) {
    group.holder = {};
  }
  group.offset = 0;
  group.follows_gap = true;
  group.release.reset();
  group.sent.clear();
  group.retry_at.reset();
}

void Reducer::Apply(const OrderEnded& event) {
  const auto group = m_state.groups.find(event.group);
  if (group != m_state.groups.end() && group->second.orders_in_flight > 0) {
    --group->second.orders_in_flight;
    group->second.last_order_at = m_now;
    RepeatSoon(group->second, event);
  }
}

void Reducer::RepeatSoon(Group& group, const OrderEnded& event) {
  const auto found = group.upstreams.find(event.upstream);
  if (found == group.upstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  const bool repeats =
      event.outcome == OrderOutcome::kRejected ||
      (event.outcome == OrderOutcome::kUnknown && upstream.checks_order_count);
  if (repeats && upstream.retry_at) {
    upstream.retry_at =
        std::min(*upstream.retry_at, m_now + m_state.options.max_report_age);
  }
}

void Reducer::Accept(Group& group,
                     std::uint64_t offset,
                     const LeaseRecord& record) {
  const bool same_holder = group.holder == record.holder;
  group.offset = offset;
  group.follows_gap = false;
  group.holder = record.holder;
  group.read_at = m_now;
  group.held_until = MonotonicTime::min();
  group.release = record.release;
  if (!same_holder) {
    group.last_order_at.reset();
  }
  const auto sent = group.sent.find(record.nonce);
  if (record.holder == m_state.self && sent != group.sent.end()) {
    // Other daemons count the lease time from reading the record, which is
    // after it was sent.
    group.sent_at = sent->second;
    group.held_until =
        group.sent_at + m_state.options.lease_time - m_state.options.margin;
    if (!same_holder) {
      group.earlier_orders_until = m_now + m_state.options.max_order_delay;
    }
  }
  group.sent.clear();
  group.retry_at.reset();
}

void Reducer::ScheduleTimer(MonotonicTime time) {
  if (!m_state.next_timer || time < *m_state.next_timer) {
    m_state.next_timer = time;
  }
}

/// @return whether a record may be appended now; schedules the retry otherwise
bool Reducer::MayAppend(Group& group) {
  if (!m_state.read_to_end_at) {
    return false;
  }
  const bool due = !group.retry_at || *group.retry_at <= m_now;
  if (due) {
    group.retry_at = m_now + m_state.options.append_retry;
  }
  ScheduleTimer(*group.retry_at);
  return due;
}

void Reducer::AppendClaim(const std::string& name, Group& group) {
  if (!MayAppend(group)) {
    return;
  }
  const std::uint64_t nonce = m_state.next_nonce++;
  // Only one record per base is accepted, so that a repeated append with a new
  // nonce is safe. Records older than the lease time are dropped, since their
  // lease would have expired; this bounds the number kept to the lease time
  // divided by the retry time.
  std::erase_if(group.sent, [this](const auto& sent) {
    return sent.second + m_state.options.lease_time <= m_now;
  });
  group.sent.emplace(nonce, m_now);
  m_effects.emplace_back(AppendLease{{name, m_state.self, nonce, group.offset,
                                      m_state.epoch, group.follows_gap}});
}

/// Releases the lease. An order in flight may arrive later, so its end is
/// awaited. A reader counts the age of a release from reading it, so a second
/// record follows when the next holder may claim at once. A holder that goes on
/// running writes only that one.
void Reducer::AppendRelease(const std::string& name, Group& group) {
  if (group.orders_in_flight > 0 ||
      (group.release && AllowsClaimAtOnce(*group.release))) {
    return;
  }
  LeaseRelease release;
  if (group.last_order_at) {
    release.since_last_order = m_now - *group.last_order_at;
  }
  const bool is_first_of_two = m_state.shutting_down && !group.release;
  if (!AllowsClaimAtOnce(release) && !is_first_of_two) {
    ScheduleTimer(*group.last_order_at + m_state.options.margin);
    return;
  }
  if (MayAppend(group)) {
    m_effects.emplace_back(
        AppendLease{{name, m_state.self, m_state.next_nonce++, group.offset,
                     m_state.epoch, group.follows_gap, release}});
  }
}

bool Reducer::AllowsClaimAtOnce(const LeaseRelease& release) const {
  return !release.since_last_order ||
         *release.since_last_order >= m_state.options.margin;
}

MonotonicTime Reducer::EarliestClaim(const Group& group, bool holds) const {
  if (holds) {
    return group.sent_at + m_state.options.renew_after;
  }
  if (group.holder == m_state.self) {
    return m_now;
  }
  if (group.offset == 0) {
    return m_state.records_lost_at
               ? *m_state.records_lost_at + m_state.options.lease_time
               : m_now;
  }
  if (!group.release) {
    // The holder sent the record before this process read it, and stops before
    // the lease time has passed since it sent the record.
    return group.read_at + m_state.options.lease_time;
  }
  const std::optional<Duration>& age = group.release->since_last_order;
  return age ? group.read_at +
                   std::max(m_state.options.margin - *age, Duration::zero())
             : group.read_at;
}

void Reducer::UpdateGroup(const std::string& name, Group& group) {
  const bool is_holder = group.offset != 0 && group.holder == m_state.self;
  const bool wanted = group.wanted && !m_state.shutting_down;
  if (!wanted) {
    // No order may follow a release, also if this daemon wants the lease again
    // before the outcome of the release is known.
    group.held_until = MonotonicTime::min();
  }
  const bool holds = Holds(group);
  if (holds != std::exchange(group.reported_holding, holds)) {
    m_effects.emplace_back(HolderChanged{name, holds});
  }
  if (!wanted) {
    if (is_holder) {
      AppendRelease(name, group);
    }
    return;
  }
  if (holds) {
    ScheduleTimer(group.held_until);
  }
  const MonotonicTime claim_at = EarliestClaim(group, holds);
  if (claim_at <= m_now) {
    AppendClaim(name, group);
  } else {
    ScheduleTimer(claim_at);
  }
  if (holds) {
    SendOrders(name, group);
  }
}

void Reducer::SendOrders(const std::string& name, Group& group) {
  const bool read_recently =
      m_state.read_to_end_at &&
      m_now <= *m_state.read_to_end_at + m_state.options.max_read_age;
  for (auto& [upstream_name, upstream] : group.upstreams) {
    if (!upstream.desired || !upstream.reported ||
        *upstream.desired == *upstream.reported) {
      upstream.hold_reason = HoldReason::kNone;
      continue;
    }
    // An upstream is busy with the order that it got.
    if (upstream.retry_at && m_now < *upstream.retry_at) {
      upstream.hold_reason = HoldReason::kNone;
      ScheduleTimer(*upstream.retry_at);
      continue;
    }
    const HoldReason reason = ReasonToHold(group, upstream);
    TrackHold(name, upstream_name, upstream, reason);
    if (reason != HoldReason::kNone) {
      continue;
    }
    if (!read_recently) {
      if (!std::exchange(m_state.reading, true)) {
        m_effects.emplace_back(ReadLeaseStream{});
      }
      return;
    }
    SendOrdersTo(name, group, upstream_name, upstream);
  }
}

HoldReason Reducer::ReasonToHold(const Group& group, const Upstream& upstream) {
  if (upstream.busy) {
    return HoldReason::kBusy;
  }
  if (upstream.checks_order_count) {
    return upstream.orders_accepted ? HoldReason::kNone : HoldReason::kNoReport;
  }
  // Orders of an earlier holder may still change an upstream that checks
  // neither the fencing token nor the number of orders, so an earlier report is
  // not reliable.
  if (upstream.checks_fencing ||
      upstream.reported_at >= group.earlier_orders_until) {
    return HoldReason::kNone;
  }
  if (m_now >= group.earlier_orders_until) {
    return HoldReason::kNoReport;
  }
  ScheduleTimer(group.earlier_orders_until);
  return HoldReason::kEarlierOrders;
}

void Reducer::TrackHold(const std::string& name,
                        const std::string& upstream_name,
                        Upstream& upstream,
                        HoldReason reason) {
  if (std::exchange(upstream.hold_reason, reason) != reason) {
    upstream.held_since = m_now;
    upstream.hold_reported = false;
  }
  if (reason == HoldReason::kNone || upstream.hold_reported) {
    return;
  }
  const MonotonicTime report_at =
      upstream.held_since + m_state.options.report_held_after;
  if (m_now < report_at) {
    ScheduleTimer(report_at);
    return;
  }
  upstream.hold_reported = true;
  m_effects.emplace_back(OrderHeld{name, upstream_name, reason});
}

void Reducer::SendOrdersTo(const std::string& name,
                           Group& group,
                           const std::string& upstream_name,
                           Upstream& upstream) {
  auto orders = OrdersBetween(*upstream.reported, *upstream.desired);
  if (upstream.checks_order_count) {
    // A number that no report has told could exceed the number of a
    // successor's order, and this order could then follow it.
    orders.resize(1);
  }
  for (auto& [kind, value] : orders) {
    SendOrder effect{
        name,         upstream_name,    kind,        std::move(value),
        std::nullopt, group.held_until, std::nullopt};
    if (upstream.checks_fencing) {
      effect.fence = m_state.FencingToken(group);
    }
    if (upstream.checks_order_count) {
      effect.orders_accepted = upstream.orders_accepted;
    }
    m_effects.emplace_back(std::move(effect));
    ++group.orders_in_flight;
  }
  upstream.retry_at = m_now + m_state.options.order_retry;
  ScheduleTimer(*upstream.retry_at);
}

void Reducer::UpdateAllGroups() {
  m_state.next_timer.reset();
  for (auto& [name, group] : m_state.groups) {
    UpdateGroup(name, group);
  }
}

}  // namespace

Effects Step(const Event& event, MonotonicTime now, State& state) {
  Reducer reducer(state, now);
  std::visit([&](const auto& body) { reducer.Apply(body); }, event);
  reducer.UpdateAllGroups();
  return reducer.TakeEffects();
}

}  // namespace jasminehatch::lease
