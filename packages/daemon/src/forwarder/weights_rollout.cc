#include "jasminehatch/detail/forwarder/weights_rollout.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/forwarding/stable_hash.h"
#include "jasminehatch/detail/lease/step.h"
#include "jasminehatch/detail/rollout/step.h"
#include "jasminehatch/platform.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

using std::chrono::milliseconds;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

/// The lease has one group, which covers all engines.
constexpr char kLeaseGroup[] = "weights";

constexpr milliseconds kTickInterval{60};
constexpr milliseconds kStandbyTickInterval{300};

/// Interval at which engines that load weights are queried. The platform
/// charges for each query as for a health check.
constexpr milliseconds kQueryInterval{110};

/// Interval at which a daemon that does not hold the lease reads its topic
/// during a rollout.
constexpr milliseconds kLeaseReadInterval{1500};

/// Time after the end of a rollout in which the other daemons read the release
/// of the lease. One that has not read it when its record expires could claim
/// the lease only after the lease time.
constexpr milliseconds kReadReleaseTime{3000};

/// Daemons claim a free lease one after another, this far apart, so that most
/// of them see the first claim before they make their own.
constexpr milliseconds kClaimStagger{60};
constexpr std::uint64_t kClaimSlots = 8;

/// The holder may send orders for this long after each claim or renewal.
constexpr milliseconds kHoldTime{1200};
constexpr milliseconds kRenewAfter{600};

/// A stopping daemon waits this long for the append of its release.
constexpr milliseconds kReleaseTime{500};

/// An order without a reported effect is repeated after this time. Orders may
/// take effect seconds later, and the platform charges for each.
constexpr milliseconds kOrderRetryDelay{4000};

/// An engine that has not loaded the weights this long after the order gets
/// another one.
constexpr milliseconds kLoadTimeout{5000};

/// An engine to which no order could be sent for this long, for example since
/// it does not report its state, comes after the others.
constexpr milliseconds kOrderTimeout{2000};

/// Engines compare the number of orders that an order carries with their own
/// count, whether they check the fencing token or not.
constexpr bool kEnginesCheckOrderCount = true;

/// One in `kEnginesPerLoad` engines, but at least `kMinConcurrentLoads`, may
/// load at the same time, since concurrent loads slow each other down.
constexpr std::size_t kMinConcurrentLoads = 2;
constexpr std::size_t kEnginesPerLoad = 6;

lease::UpstreamState MakeLeaseState(std::uint64_t version) {
  lease::UpstreamState state;
  state.model = std::to_string(version);
  return state;
}

lease::OrderOutcome OutcomeOf(platform::OrderResult result) {
  switch (result) {
    case platform::OrderResult::kBusy:
      return lease::OrderOutcome::kRejected;
    case platform::OrderResult::kUnknown:
      return lease::OrderOutcome::kUnknown;
    case platform::OrderResult::kAccepted:
    case platform::OrderResult::kAlreadyDone:
    case platform::OrderResult::kFenced:
    case platform::OrderResult::kInvalid:
    case platform::OrderResult::kWrongUpstream:
      break;
  }
  return lease::OrderOutcome::kAnswered;
}

std::string_view NameOf(lease::HoldReason reason) {
  switch (reason) {
    case lease::HoldReason::kNone:
      return "none";
    case lease::HoldReason::kNoReport:
      return "no_report";
    case lease::HoldReason::kBusy:
      return "busy";
    case lease::HoldReason::kEarlierOrders:
      return "earlier_orders";
  }
  return "unknown";
}

}  // namespace

WeightsRollout::WeightsRollout(asio::io_context& loop,
                               const Clock& clock,
                               platform::StoreClient& store,
                               platform::EngineClient& engines,
                               ForwardingHost& host,
                               telemetry::DecisionLog& log,
                               const Options& options)
    : m_clock(clock),
      m_engines(engines),
      m_host(host),
      m_log(log),
      m_options(options),
      m_timer(loop),
      m_lease_topic(clock, store, log, LeaseTopicCallbacks()),
      m_standby(options.daemon, options.standby_patience) {
  m_lease.self = {options.daemon, options.incarnation};
  // A new holder sends its first order at least one lease time after the last
  // order of its predecessor.
  m_lease.options.lease_time = options.lease_time + kHoldTime;
  m_lease.options.margin = options.lease_time;
  m_lease.options.renew_after = kRenewAfter;
  m_lease.options.max_read_age = kRenewAfter;
  m_lease.options.append_retry = milliseconds(400);
  m_lease.options.order_retry = kOrderRetryDelay;
  m_rollout.options.load_timeout = kLoadTimeout;
  m_rollout.options.order_timeout = kOrderTimeout;
  m_rollout.options.supersede_loads = true;
  StepLease(lease::LeaseWanted{kLeaseGroup, false});
}

void WeightsRollout::Start() {
  m_lease_topic.Read();
}

LeaseTopic::Callbacks WeightsRollout::LeaseTopicCallbacks() {
  LeaseTopic::Callbacks callbacks;
  callbacks.on_records = [this](const lease::LeaseRecordsRead& read) {
    StepLease(read);
  };
  callbacks.on_read_failed = [this] { m_lease.reading = false; };
  callbacks.on_append_failed = [this] {
    StepLease(lease::AppendFailed{kLeaseGroup});
  };
  callbacks.on_records_lost = [this](const lease::LeaseRecordsLost& lost) {
    StepLease(lost);
  };
  return callbacks;
}

std::map<std::string, WeightsRollout::Target> WeightsRollout::CollectTargets()
    const {
  std::map<std::string, Target> targets;
  const forwarding::UpstreamDirectory& upstreams = m_host.State().upstreams;
  const MonotonicTime now = m_clock.Now();
  for (const auto& [model, versions] : upstreams.AllPublished()) {
    for (const auto& [id, upstream] : upstreams.All()) {
      if (!upstreams.IsUsable(*upstream, now) ||
          !upstream->entry.weights.contains(model)) {
        continue;
      }
      targets.emplace(
          id + "/" + model,
          Target{id, upstream->entry.address, upstream->entry.started_at, model,
                 upstream->WeightVersion(model), versions.back().version});
    }
  }
  return targets;
}

void WeightsRollout::Update() {
  if (m_stopped) {
    return;
  }
  auto targets = CollectTargets();
  const auto outdated = static_cast<std::size_t>(
      std::count_if(targets.begin(), targets.end(), [](const auto& entry) {
        return entry.second.current < entry.second.wanted;
      }));
  if (outdated != std::exchange(m_outdated, outdated)) {
    m_standby.OnProgress(m_clock.Now());
  }
  if (outdated == 0) {
    if (m_active) {
      Deactivate();
    }
    return;
  }
  const bool changed =
      m_targets.size() != targets.size() ||
      !std::equal(targets.begin(), targets.end(), m_targets.begin(),
                  [](const auto& a, const auto& b) {
                    return a.first == b.first &&
                           a.second.wanted == b.second.wanted;
                  });
  m_targets = std::move(targets);
  if (!m_active) {
    Activate();
  }
  if (changed) {
    ApplyTargets();
  }
  for (const auto& [key, target] : m_targets) {
    if (target.current != 0) {
      ReportVersion(target);
    }
  }
}

void WeightsRollout::Activate() {
  m_active = true;
  const std::uint64_t slot =
      forwarding::StableHash(m_options.daemon) % kClaimSlots;
  m_earliest_claim_at = m_clock.Now() + kClaimStagger * slot;
  m_log.Write(DecisionLog::Level::kState, "rollout_pending", {});
  if (m_standby.TakesPart(m_clock.Now())) {
    m_lease_topic.Read();
  }
  ArmTimer();
}

void WeightsRollout::Deactivate() {
  m_active = false;
  const std::set<std::string> loading = m_loading;
  for (const std::string& key : loading) {
    SetLoading(key, false);
  }
  m_targets.clear();
  m_reports.clear();
  m_rollout.reports.clear();
  m_rollout.expired_loads.clear();
  StepRollout(rollout::TargetsConfigured{});
  m_log.Write(DecisionLog::Level::kState, "rollout_done", {});
  m_done_at = m_clock.Now();
  StepLease(lease::LeaseWanted{kLeaseGroup, false});
  ArmTimer();
}

void WeightsRollout::Stop() {
  m_stopped = true;
  m_release_until = m_clock.Now() + m_options.lease_time + kReleaseTime;
  StepLease(lease::ShutdownRequested{});
  ArmTimer();
}

bool WeightsRollout::IsReleasing() const {
  return m_stopped && m_lease.NextTimer() && m_clock.Now() < m_release_until;
}

void WeightsRollout::ApplyTargets() {
  m_rollout.options.max_loads =
      std::max(kMinConcurrentLoads, m_targets.size() / kEnginesPerLoad);
  rollout::TargetsConfigured configured;
  for (const auto& [key, target] : m_targets) {
    const rollout::ModelVersion wanted{target.model,
                                       std::to_string(target.wanted)};
    configured.targets.push_back(
        {key, wanted, rollout::LoadStart::kNow,
         target.wanted - std::min(target.current, target.wanted)});
    configured.in_use.push_back(wanted);
  }
  StepRollout(configured);
}

void WeightsRollout::ReportVersion(const Target& target) {
  const std::string key = target.upstream + "/" + target.model;
  const bool reached = target.current >= target.wanted;
  const auto known = m_rollout.reports.find(key);
  const std::string version = std::to_string(target.current);
  if (reached && m_loading.contains(key)) {
    SetLoading(key, false);
  }
  if (known == m_rollout.reports.end() ||
      known->second.loaded.version != version) {
    StepRollout(rollout::VersionReported{key, {target.model, version}, true});
  }
}

void WeightsRollout::SetLoading(const std::string& key, bool loading) {
  const auto target = m_targets.find(key);
  if (loading) {
    m_loading.insert(key);
  } else {
    m_loading.erase(key);
  }
  const std::string upstream = key.substr(0, key.find('/'));
  m_host.Apply(forwarding::UpstreamLoading{upstream, loading});
  if (m_on_update && target != m_targets.end()) {
    m_on_update(
        {upstream, target->second.model, target->second.wanted, loading});
  }
}

void WeightsRollout::ArmTimer() {
  if (m_timer_armed) {
    return;
  }
  m_timer_armed = true;
  m_timer.expires_after(m_standby.TakesPart(m_clock.Now())
                            ? kTickInterval
                            : kStandbyTickInterval);
  m_timer.async_wait([this](const asio::error_code& error) {
    m_timer_armed = false;
    if (!error) {
      Tick();
    }
  });
}

/// Repeats the release of the lease until its record was read, and reads the
/// release of another daemon.
void WeightsRollout::ContinueRelease() {
  StepLease(lease::TimerFired{});
  const bool awaits_release = AwaitsRelease();
  if (awaits_release) {
    ReadReleaseIfDue();
  }
  if (m_lease.NextTimer() || awaits_release) {
    ArmTimer();
  }
}

/// @return whether another daemon is going to release the lease
bool WeightsRollout::AwaitsRelease() const {
  const MonotonicTime now = m_clock.Now();
  const lease::Group& group = m_lease.groups.at(kLeaseGroup);
  return !m_stopped && group.offset != 0 && !group.release &&
         group.holder != m_lease.self && m_standby.TakesPart(now) &&
         now < m_done_at + m_options.lease_time + kReadReleaseTime;
}

void WeightsRollout::ReadReleaseIfDue() {
  // The holder releases the lease when its last order is this old.
  const MonotonicTime due =
      std::max(m_done_at + m_options.lease_time,
               m_lease_topic.LastReadAt() + kLeaseReadInterval);
  if (m_clock.Now() >= due) {
    m_lease_topic.Read();
  }
}

void WeightsRollout::Tick() {
  Update();
  if (!m_active || m_stopped) {
    ContinueRelease();
    return;
  }
  const MonotonicTime now = m_clock.Now();
  const bool is_holder = m_rollout.holder;
  if (!is_holder && !m_standby.TakesPart(now)) {
    ArmTimer();
    return;
  }
  if (!is_holder && now - m_lease_topic.LastReadAt() >= kLeaseReadInterval) {
    m_lease_topic.Read();
  }
  if (now >= m_earliest_claim_at && m_lease.read_to_end_at) {
    StepLease(lease::LeaseWanted{kLeaseGroup, true});
  }
  if (const auto due = m_rollout.NextTimer(); due && *due <= now) {
    StepRollout(rollout::TimerFired{});
  }
  if (m_rollout.paused) {
    ApplyTargets();
  }
  if (is_holder) {
    QueryEngines();
  }
  ArmTimer();
}

void WeightsRollout::QueryEngines() {
  const MonotonicTime now = m_clock.Now();
  for (const auto& [key, load] : m_rollout.loads) {
    const auto target = m_targets.find(key);
    Report& report = m_reports[key];
    if (target == m_targets.end() || report.query_pending ||
        (report.received && now - report.queried_at < kQueryInterval)) {
      continue;
    }
    QueryEngine(key, target->second);
  }
}

void WeightsRollout::QueryEngine(const std::string& key, const Target& target) {
  Report& report = m_reports[key];
  report.query_pending = true;
  report.queried_at = m_clock.Now();
  m_engines.Query(target.Process(), [this, key](const auto& response) {
    OnReport(key, response);
  });
}

void WeightsRollout::OnReport(
    const std::string& key,
    const std::optional<platform::EngineReport>& response) {
  Report& report = m_reports[key];
  report.query_pending = false;
  const auto target = m_targets.find(key);
  if (!response || target == m_targets.end()) {
    return;
  }
  report.received = true;
  const auto weights = response->weights.find(target->second.model);
  if (weights == response->weights.end()) {
    return;
  }
  m_host.Apply(forwarding::WeightsObserved{
      target->second.upstream, target->second.model, weights->second});
  Update();
  if (m_active) {
    StepLease(lease::StateReported{kLeaseGroup, key,
                                   MakeLeaseState(weights->second),
                                   response->orders_accepted, response->busy});
  }
}

void WeightsRollout::StepLease(const lease::Event& event) {
  for (const auto& effect : lease::Step(event, m_clock.Now(), m_lease)) {
    std::visit([this](const auto& body) { Execute(body); }, effect);
  }
}

void WeightsRollout::StepRollout(const rollout::Event& event) {
  for (const auto& effect : rollout::Step(event, m_clock.Now(), m_rollout)) {
    std::visit([this](const auto& body) { Execute(body); }, effect);
  }
  WithdrawOrders();
}

/// Ends the orders of loads that ended or lost their places.
void WeightsRollout::WithdrawOrders() {
  for (auto key = m_ordered.begin(); key != m_ordered.end();) {
    if (m_rollout.loads.contains(*key)) {
      ++key;
      continue;
    }
    StepLease(lease::DesiredWithdrawn{kLeaseGroup, *key});
    key = m_ordered.erase(key);
  }
}

void WeightsRollout::Execute(const lease::AppendLease& effect) {
  if (effect.record.release) {
    m_log.Write(DecisionLog::Level::kState, "rollout_lease_released", {});
  }
  m_lease_topic.Append(effect.record);
}

void WeightsRollout::Execute(const lease::ReadLeaseStream& /*effect*/) {
  m_lease_topic.Read();
}

void WeightsRollout::Execute(const lease::HolderChanged& effect) {
  const std::array fields{
      DecisionLogField{"holds", effect.holds ? "yes" : "no"}};
  m_log.Write(DecisionLog::Level::kState, "rollout_lease", fields);
  StepRollout(rollout::HolderChanged{effect.holds});
}

void WeightsRollout::Execute(const lease::OrderHeld& effect) {
  const std::array fields{DecisionLogField{"upstream", effect.upstream},
                          DecisionLogField{"reason", NameOf(effect.reason)}};
  m_log.Write(DecisionLog::Level::kState, "order_held", fields);
}

void WeightsRollout::Execute(const rollout::OrderLoad& effect) {
  const auto target = m_targets.find(effect.upstream);
  if (target == m_targets.end()) {
    return;
  }
  m_ordered.insert(effect.upstream);
  StepLease(lease::UpstreamConfigured{kLeaseGroup, effect.upstream,
                                      m_options.upstreams_check_fences,
                                      kEnginesCheckOrderCount});
  StepLease(lease::StateReported{kLeaseGroup, effect.upstream,
                                 MakeLeaseState(target->second.current),
                                 std::nullopt});
  StepLease(lease::DesiredChanged{kLeaseGroup, effect.upstream,
                                  MakeLeaseState(target->second.wanted)});
  // The order carries the number of orders from the engine's own report.
  if (!m_reports[effect.upstream].query_pending) {
    QueryEngine(effect.upstream, target->second);
  }
}

void WeightsRollout::Execute(const rollout::ReportPaused& effect) {
  const std::array fields{DecisionLogField{"upstream", effect.upstream},
                          DecisionLogField{"detail", effect.detail}};
  m_log.Write(DecisionLog::Level::kState, "rollout_retried", fields);
}

void WeightsRollout::Execute(const lease::SendOrder& effect) {
  const auto target = m_targets.find(effect.upstream);
  if (target == m_targets.end() || m_stopped ||
      m_clock.Now() >= effect.not_after) {
    StepLease(lease::OrderEnded{kLeaseGroup, effect.upstream,
                                lease::OrderOutcome::kRejected});
    return;
  }
  platform::WeightsOrder order;
  order.engine = target->second.Process();
  order.model = target->second.model;
  order.version = target->second.wanted;
  // Engines that finish their runs first accept no new ones for seconds, which
  // costs callers more than the slowdown of the runs.
  order.run_policy = platform::ActiveRunPolicy::kContinue;
  order.holder = m_options.daemon;
  // Upstreams that do not check the fencing token still require one.
  order.fence = m_lease.FencingToken(m_lease.groups.at(kLeaseGroup));
  order.orders_accepted = effect.orders_accepted;
  const std::string fence = std::to_string(order.fence);
  const std::array fields{DecisionLogField{"upstream", order.engine.upstream},
                          DecisionLogField{"version", effect.value},
                          DecisionLogField{"fence", fence}};
  m_log.Write(DecisionLog::Level::kState, "weights_ordered", fields);
  StepRollout(rollout::LoadOrdered{effect.upstream});
  m_engines.SendOrder(
      order, [this, key = effect.upstream](platform::OrderResult response) {
        OnOrderResponse(key, response);
      });
}

void WeightsRollout::OnOrderResponse(const std::string& key,
                                     platform::OrderResult response) {
  StepLease(lease::OrderEnded{kLeaseGroup, key, OutcomeOf(response)});
  const auto target = m_targets.find(key);
  if (target == m_targets.end()) {
    return;
  }
  const std::string response_code = std::to_string(static_cast<int>(response));
  const std::array fields{DecisionLogField{"upstream", target->second.upstream},
                          DecisionLogField{"answer", response_code}};
  m_log.Write(DecisionLog::Level::kState, "order_answered", fields);
  switch (response) {
    case platform::OrderResult::kAccepted:
      SetLoading(key, true);
      return;
    case platform::OrderResult::kAlreadyDone:
      m_host.Apply(forwarding::WeightsObserved{target->second.upstream,
                                               target->second.model,
                                               target->second.wanted});
      Update();
      return;
    case platform::OrderResult::kFenced:
      m_lease_topic.Read();
      return;
    case platform::OrderResult::kInvalid:
    case platform::OrderResult::kWrongUpstream:
      StepRollout(
          rollout::LoadFailed{key, {}, "the engine rejected the order"});
      return;
    case platform::OrderResult::kBusy:
    case platform::OrderResult::kUnknown:
      return;
  }
}

}  // namespace jasminehatch::daemon
