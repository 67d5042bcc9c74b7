#include "jasminehatch/detail/forwarder/weights_rollout.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
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

/// The one group of the lease: all engines.
constexpr char kGroup[] = "weights";

constexpr milliseconds kTick{60};

/// Engines with an order in progress are asked this often; each question is
/// priced like a health check.
constexpr milliseconds kReportInterval{110};

/// A daemon that does not hold the lease reads its topic this often during a
/// rollout.
constexpr milliseconds kFollowInterval{1500};

/// Daemons claim a free lease one after another, this far apart, so that most
/// of them see the first claim before their own.
constexpr milliseconds kClaimStep{60};
constexpr std::uint64_t kClaimSteps = 8;

/// The holder orders within this time from each claim or renewal.
constexpr milliseconds kHoldTime{1200};
constexpr milliseconds kRenewAfter{600};

/// An order that shows no effect is repeated after this time: the runs of an
/// engine end first, and each order has its price.
constexpr milliseconds kOrderRetry{4000};

/// An engine that has not finished by then is ordered again.
constexpr milliseconds kLoadTimeout{5000};

/// Engines that load at once: more slow each other down.
constexpr std::size_t kLeastAtOnce = 2;
constexpr std::size_t kEnginesPerLoad = 6;

lease::UpstreamState StateOf(std::uint64_t version) {
  lease::UpstreamState state;
  state.model = std::to_string(version);
  return state;
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
      m_store(store),
      m_engines(engines),
      m_host(host),
      m_log(log),
      m_options(options),
      m_timer(loop) {
  m_lease.self = {options.daemon, options.incarnation};
  // A successor orders at the earliest a lease time after the last order of
  // the holder before.
  m_lease.options.lease_time = options.lease_time + kHoldTime;
  m_lease.options.margin = options.lease_time;
  m_lease.options.renew_after = kRenewAfter;
  m_lease.options.read_age = kRenewAfter;
  m_lease.options.append_retry = milliseconds(400);
  m_lease.options.order_retry = kOrderRetry;
  m_rollout.options.load_timeout = kLoadTimeout;
}

std::map<std::string, WeightsRollout::Target> WeightsRollout::CollectTargets()
    const {
  std::map<std::string, Target> targets;
  const forwarding::UpstreamDirectory& upstreams = m_host.State().upstreams;
  const MonotonicTime now = m_clock.Now();
  for (const auto& [model, versions] : upstreams.AllNamed()) {
    for (const auto& [id, upstream] : upstreams.All()) {
      if (!upstreams.Usable(*upstream, now) ||
          !upstream->entry.weights.contains(model)) {
        continue;
      }
      targets.emplace(id + "/" + model, Target{id, upstream->entry.address,
                                               model, upstream->Weights(model),
                                               versions.back().version});
    }
  }
  return targets;
}

void WeightsRollout::Update() {
  if (m_stopped) {
    return;
  }
  auto targets = CollectTargets();
  bool behind = false;
  for (const auto& [key, target] : targets) {
    behind = behind || target.current < target.wanted;
  }
  if (!behind) {
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
      ReportState(target);
    }
  }
}

void WeightsRollout::Activate() {
  m_active = true;
  const std::uint64_t turn =
      forwarding::StableHash(m_options.daemon) % kClaimSteps;
  m_claim_from = m_clock.Now() + kClaimStep * turn;
  m_log.Write(DecisionLog::Level::kState, "rollout_pending", {});
  ReadLease();
  Arm();
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
  StepRollout(rollout::TargetsConfigured{});
  m_log.Write(DecisionLog::Level::kState, "rollout_done", {});
}

void WeightsRollout::Stop() {
  m_stopped = true;
  m_timer.cancel();
  StepLease(lease::ShutdownRequested{});
}

void WeightsRollout::ApplyTargets() {
  m_rollout.options.max_loads =
      std::max(kLeastAtOnce, m_targets.size() / kEnginesPerLoad);
  rollout::TargetsConfigured configured;
  for (const auto& [key, target] : m_targets) {
    const rollout::ModelVersion wanted{target.model,
                                       std::to_string(target.wanted)};
    configured.targets.push_back({key, wanted, rollout::Start::kNow});
    configured.in_use.push_back(wanted);
  }
  m_rollout.loading.clear();
  StepRollout(configured);
}

void WeightsRollout::ReportState(const Target& target) {
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
  if (m_on_news && target != m_targets.end()) {
    m_on_news({upstream, target->second.model, target->second.wanted, loading});
  }
}

void WeightsRollout::Arm() {
  if (m_ticking || m_stopped) {
    return;
  }
  m_ticking = true;
  m_timer.expires_after(kTick);
  m_timer.async_wait([this](const asio::error_code& error) {
    m_ticking = false;
    if (!error) {
      Tick();
    }
  });
}

void WeightsRollout::Tick() {
  Update();
  if (!m_active || m_stopped) {
    return;
  }
  const MonotonicTime now = m_clock.Now();
  const bool holds = m_rollout.holder;
  if (!holds && now - m_last_read >= kFollowInterval) {
    ReadLease();
  }
  if (now >= m_claim_from && m_lease.read_to_end_at) {
    StepLease(lease::UpstreamConfigured{kGroup, "", true});
  }
  if (const auto due = m_rollout.NextTimer(); due && *due <= now) {
    StepRollout(rollout::TimerFired{});
  }
  if (m_rollout.paused) {
    ApplyTargets();
  }
  if (holds) {
    QueryReports();
  }
  Arm();
}

void WeightsRollout::QueryReports() {
  const MonotonicTime now = m_clock.Now();
  for (const auto& [key, timeout] : m_rollout.loading) {
    const auto target = m_targets.find(key);
    Report& report = m_reports[key];
    if (target == m_targets.end() || report.asking ||
        (report.known && now - report.asked_at < kReportInterval)) {
      continue;
    }
    report.asking = true;
    report.asked_at = now;
    m_engines.Query(
        target->second.upstream, target->second.address,
        [this, key = key](const auto& answer) { OnReport(key, answer); });
  }
}

void WeightsRollout::OnReport(
    const std::string& key,
    const std::optional<platform::EngineReport>& answer) {
  Report& report = m_reports[key];
  report.asking = false;
  const auto target = m_targets.find(key);
  if (!answer || target == m_targets.end()) {
    return;
  }
  report.known = true;
  report.busy = answer->busy;
  report.orders_accepted = answer->orders_accepted;
  const auto weights = answer->weights.find(target->second.model);
  if (weights == answer->weights.end()) {
    return;
  }
  m_host.Apply(forwarding::WeightsObserved{
      target->second.upstream, target->second.model, weights->second});
  Update();
  if (m_active && m_lease.groups.contains(kGroup)) {
    StepLease(lease::StateReported{kGroup, key, StateOf(weights->second)});
  }
}

void WeightsRollout::ReadLease() {
  if (std::exchange(m_reading, true)) {
    return;
  }
  m_last_read = m_clock.Now();
  m_store.Read(platform::kLeaseTopic, m_next_record, milliseconds(0),
               [this](const platform::StorePage& page) {
                 m_reading = false;
                 OnLeaseRecords(page);
               });
}

void WeightsRollout::OnLeaseRecords(const platform::StorePage& page) {
  if (page.status == platform::StorePage::Status::kCompacted) {
    m_next_record = page.first;
    ReadLease();
    return;
  }
  if (page.status == platform::StorePage::Status::kFailed) {
    m_lease.reading = false;
    return;
  }
  lease::RecordsRead read;
  for (const platform::StoreRecord& record : page.records) {
    m_next_record = record.offset + 1;
    try {
      // Offsets of the lease concern start at one.
      read.records.push_back(
          {record.offset + 1, codec::DecodeLease(record.value)});
    } catch (const CodecError& error) {
      const std::array fields{DecisionLogField{"detail", error.what()}};
      m_log.Write(DecisionLog::Level::kState, "lease_record_invalid", fields);
    }
  }
  read.at_end = m_next_record >= page.end;
  StepLease(read);
  if (!read.at_end) {
    ReadLease();
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
}

void WeightsRollout::Execute(const lease::AppendLease& effect) {
  if (!m_active || m_stopped) {
    return;
  }
  const std::uint64_t at = m_next_record;
  m_store.Append(platform::kLeaseTopic, codec::EncodeLease(effect.record), at,
                 [this, record = effect.record,
                  at](const platform::StoreAppendResult& outcome) {
                   using Status = platform::StoreAppendResult::Status;
                   if (outcome.status == Status::kAppended &&
                       outcome.offset == at && m_next_record == at) {
                     m_next_record = at + 1;
                     lease::RecordsRead read;
                     read.records.push_back({at + 1, record});
                     read.at_end = true;
                     StepLease(read);
                     return;
                   }
                   StepLease(lease::AppendFailed{kGroup});
                   ReadLease();
                 });
}

void WeightsRollout::Execute(const lease::ReadRecords& /*effect*/) {
  ReadLease();
}

void WeightsRollout::Execute(const lease::HolderChanged& effect) {
  const std::array fields{
      DecisionLogField{"holds", effect.holds ? "yes" : "no"}};
  m_log.Write(DecisionLog::Level::kState, "rollout_lease", fields);
  StepRollout(rollout::HolderChanged{effect.holds});
}

void WeightsRollout::Execute(const rollout::OrderLoad& effect) {
  const auto target = m_targets.find(effect.upstream);
  if (target == m_targets.end()) {
    return;
  }
  StepLease(lease::UpstreamConfigured{kGroup, effect.upstream,
                                      m_options.upstreams_check_fences});
  StepLease(lease::StateReported{kGroup, effect.upstream,
                                 StateOf(target->second.current)});
  StepLease(lease::DesiredChanged{kGroup, effect.upstream,
                                  StateOf(target->second.wanted)});
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
    return;
  }
  platform::WeightsOrder order;
  order.upstream = target->second.upstream;
  order.address = target->second.address;
  order.model = target->second.model;
  order.version = target->second.wanted;
  // Engines that finish their runs first take no new ones for seconds, which
  // costs callers more than what the runs lose.
  order.run_policy = platform::ActiveRunPolicy::kContinue;
  order.holder = m_options.daemon;
  // Upstreams that do not check the number want one all the same.
  order.fence = m_lease.groups.at(kGroup).offset;
  const auto report = m_reports.find(effect.upstream);
  if (report != m_reports.end() && report->second.known) {
    order.orders_accepted = report->second.orders_accepted;
  }
  const std::array fields{DecisionLogField{"upstream", order.upstream},
                          DecisionLogField{"version", effect.value}};
  m_log.Write(DecisionLog::Level::kState, "weights_ordered", fields);
  m_engines.SendOrder(
      order, [this, key = effect.upstream](platform::OrderResult answer) {
        OnOrderAnswer(key, answer);
      });
}

void WeightsRollout::OnOrderAnswer(const std::string& key,
                                   platform::OrderResult answer) {
  const auto target = m_targets.find(key);
  if (target == m_targets.end()) {
    return;
  }
  const std::string number = std::to_string(static_cast<int>(answer));
  const std::array fields{DecisionLogField{"upstream", target->second.upstream},
                          DecisionLogField{"answer", number}};
  m_log.Write(DecisionLog::Level::kState, "order_answered", fields);
  switch (answer) {
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
      ReadLease();
      return;
    case platform::OrderResult::kInvalid:
    case platform::OrderResult::kWrongUpstream:
      StepRollout(rollout::LoadFailed{key, {}, "the order was rejected"});
      return;
    case platform::OrderResult::kBusy:
    case platform::OrderResult::kUnknown:
      return;
  }
}

}  // namespace jasminehatch::daemon
