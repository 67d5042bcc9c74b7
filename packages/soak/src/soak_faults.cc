// The faults that a soak run draws from.

#include <algorithm>
#include <csignal>

#include "jasminehatch/detail/soak/soak_run.h"

namespace jasminehatch::soak {
namespace {

using std::chrono::milliseconds;

/// Mean rate of faults, high enough that several overlap.
constexpr double kFaultsPerSecond = 2;

/// Time from the start of the last fault, which may last five seconds, to the
/// first request that has to be served.
constexpr std::chrono::seconds kRecoveryWait{13};
/// Period in which the requests that have to be served are sent.
constexpr std::chrono::seconds kSampleTime{3};

constexpr LinkFault kLinkFaults[] = {
    LinkFault::kDelay,       LinkFault::kReset,       LinkFault::kSilent,
    LinkFault::kCutToServer, LinkFault::kCutToClient, LinkFault::kEndless};

}  // namespace

std::span<const SoakRun::Fault> SoakRun::Faults() {
  // A restored store affects the most, and is drawn twice as often.
  static constexpr Fault kFaults[] = {&SoakRun::KillDaemon,
                                      &SoakRun::StopDaemon,
                                      &SoakRun::PauseDaemon,
                                      &SoakRun::ReloadDaemon,
                                      &SoakRun::InjectStoreLinkFault,
                                      &SoakRun::InjectUpstreamLinkFault,
                                      &SoakRun::InjectGossipLinkFault,
                                      &SoakRun::StopStore,
                                      &SoakRun::CompactStore,
                                      &SoakRun::RestoreStore,
                                      &SoakRun::RestoreStore,
                                      &SoakRun::FailUpstream,
                                      &SoakRun::DrainUpstream,
                                      &SoakRun::ReplaceKey};
  return kFaults;
}

void SoakRun::InjectNextFault() {
  if (m_faults_over) {
    return;
  }
  (this->*Faults()[Draw(Faults().size())])();
  const double seconds =
      std::exponential_distribution<double>(kFaultsPerSecond)(m_random);
  m_fault_timer.expires_after(std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(seconds)));
  m_fault_timer.async_wait(
      [this](const asio::error_code&) { InjectNextFault(); });
}

void SoakRun::KillDaemon() {
  const std::size_t index = Draw(m_daemons.size());
  Daemon& daemon = m_daemons[index];
  if (!daemon.process) {
    return;
  }
  Log("kill " + daemon.name);
  daemon.disturbed_at = Now();
  daemon.process.reset();
  After(DrawTime(50, 1500), [this, index] {
    if (!m_daemons[index].process) {
      StartDaemon(index);
    }
  });
}

void SoakRun::StopDaemon() {
  Daemon& daemon = m_daemons[Draw(m_daemons.size())];
  if (!daemon.process || daemon.stopping || daemon.paused) {
    return;
  }
  Log("stop " + daemon.name);
  daemon.stopping = true;
  // Monitor() restarts the daemon when it has exited.
  daemon.process->Signal(SIGTERM);
}

void SoakRun::PauseDaemon() {
  const std::size_t index = Draw(m_daemons.size());
  Daemon& daemon = m_daemons[index];
  if (!daemon.process || daemon.paused) {
    return;
  }
  Log("pause " + daemon.name);
  daemon.process->Signal(SIGSTOP);
  daemon.paused = true;
  daemon.disturbed_at = Now();
  After(DrawTime(200, 4000), [this, index] {
    Daemon& paused = m_daemons[index];
    if (paused.process && paused.paused) {
      paused.process->Signal(SIGCONT);
    }
    paused.paused = false;
    paused.disturbed_at = Now();
  });
}

void SoakRun::ReloadDaemon() {
  Daemon& daemon = m_daemons[Draw(m_daemons.size())];
  if (daemon.process) {
    Log("reload " + daemon.name);
    daemon.process->Signal(SIGHUP);
  }
}

void SoakRun::InjectStoreLinkFault() {
  const std::size_t index = Draw(m_daemons.size());
  const LinkFault fault = kLinkFaults[Draw(std::size(kLinkFaults))];
  Log("link to the store of " + m_daemons[index].name + ": fault " +
      std::to_string(static_cast<int>(fault)));
  Daemon& daemon = m_daemons[index];
  daemon.store_link->SetFault(fault);
  const milliseconds duration = DrawTime(300, 5000);
  daemon.store_link_fault_until =
      std::max(daemon.store_link_fault_until, Now() + duration);
  After(duration, [this, index] {
    m_daemons[index].store_link->SetFault(LinkFault::kNone);
  });
}

void SoakRun::InjectUpstreamLinkFault() {
  const std::size_t index = Draw(m_upstreams.size());
  const LinkFault fault = kLinkFaults[Draw(std::size(kLinkFaults))];
  Log("link to " + m_upstreams[index].server->Id() + ": fault " +
      std::to_string(static_cast<int>(fault)));
  Upstream& upstream = m_upstreams[index];
  upstream.link->SetFault(fault);
  const milliseconds duration = DrawTime(300, 4000);
  upstream.link_fault_until =
      std::max(upstream.link_fault_until, Now() + duration);
  After(duration,
        [this, index] { m_upstreams[index].link->SetFault(LinkFault::kNone); });
}

void SoakRun::InjectGossipLinkFault() {
  const std::size_t index = Draw(m_daemons.size());
  const LinkFault fault = kLinkFaults[Draw(std::size(kLinkFaults))];
  Log("gossip to " + m_daemons[index].name + ": fault " +
      std::to_string(static_cast<int>(fault)));
  m_daemons[index].gossip_link->SetFault(fault);
  After(DrawTime(300, 5000), [this, index] {
    m_daemons[index].gossip_link->SetFault(LinkFault::kNone);
  });
}

void SoakRun::StopStore() {
  Log("store down");
  SuspendStore();
  After(DrawTime(300, 4000), [this] { ResumeStore(); });
}

void SoakRun::CompactStore() {
  Log("compaction");
  m_platform.CompactAll();
}

void SoakRun::RestoreStore() {
  if (m_store_away) {
    return;
  }
  m_store_away = true;
  const milliseconds away = DrawTime(0, 1000);
  const milliseconds age = DrawTime(0, 5000);
  const bool silent = Chance(0.3);
  Log("store goes away for " + std::to_string(away.count()) +
      " ms and comes back from a copy " + std::to_string(age.count()) +
      " ms old" + (silent ? "; its reads in progress go silent" : ""));
  if (silent) {
    m_platform.SilencePendingReads();
  }
  SuspendStore();
  After(away, [this, age, away] { ReturnFromOlderCopy(age + away); });
}

void SoakRun::ReturnFromOlderCopy(milliseconds age) {
  const std::uint64_t end_before = m_platform.OperatorEnd();
  m_platform.RestoreOlderCopyOfAll(age);
  m_store_away = false;
  ResumeStore();
  Log("store back");
  if (Chance(0.25)) {
    CompactStore();
  }
  // With as many writes as the store has lost, the offsets that daemons have
  // read are given out again before their next reads, which succeed.
  const std::uint64_t end = m_platform.OperatorEnd();
  const std::uint64_t lost = end_before - std::min(end, end_before);
  const std::uint64_t writes = Chance(0.7) ? lost : 0;
  // A version that was made meanwhile supersedes the one that was lost.
  const bool superseded = writes > 0 && Chance(0.5);
  const auto rewrite = [this, writes, superseded] {
    if (!superseded) {
      PutConfiguration();
    }
    for (std::uint64_t i = superseded ? 0 : 1; i < writes; ++i) {
      WriteConfiguration();
    }
  };
  if (Chance(0.5)) {
    rewrite();
  } else {
    After(DrawTime(0, 1000), rewrite);
  }
  // Each upstream at its next heartbeat.
  for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
    After(DrawTime(0, 1000), [this, i] { PutUpstream(m_upstreams[i]); });
  }
  if (Chance(0.25)) {
    After(DrawTime(0, 2500), [this] { RestoreStore(); });
  }
}

void SoakRun::FailUpstream() {
  const std::size_t index = Draw(m_upstreams.size());
  Log("failures of " + m_upstreams[index].server->Id());
  m_upstreams[index].failure_share = 0.4;
  After(DrawTime(500, 4000),
        [this, index] { m_upstreams[index].failure_share = 0; });
}

void SoakRun::DrainUpstream() {
  const std::size_t index = Draw(m_upstreams.size());
  if (m_upstreams[index].state != UpstreamState::kReady) {
    return;
  }
  Log(m_upstreams[index].server->Id() + " leaves");
  Announce(index, UpstreamState::kDraining);
  After(milliseconds(2500),
        [this, index] { Announce(index, UpstreamState::kRemoved); });
  After(DrawTime(3000, 5000),
        [this, index] { Announce(index, UpstreamState::kReady); });
}

void SoakRun::ReplaceKey() {
  const std::size_t index = Draw(m_keys.size());
  const std::string old = m_keys[index];
  m_keys[index] = "key-" + std::to_string(m_next_key++);
  Log("key " + old + " replaced by " + m_keys[index]);
  WriteConfiguration();
}

void SoakRun::EndFaults() {
  Log("faults end");
  m_faults_over = true;
  After(kRecoveryWait, [this] { m_sampling = true; });
  After(kRecoveryWait + kSampleTime, [this] { m_done = true; });
}

}  // namespace jasminehatch::soak
