// The faults that a soak run draws from.

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
  static constexpr Fault kFaults[] = {&SoakRun::KillDaemon,
                                      &SoakRun::StopDaemon,
                                      &SoakRun::PauseDaemon,
                                      &SoakRun::ReloadDaemon,
                                      &SoakRun::InjectStoreLinkFault,
                                      &SoakRun::InjectUpstreamLinkFault,
                                      &SoakRun::InjectGossipLinkFault,
                                      &SoakRun::StopStore,
                                      &SoakRun::CompactStore,
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
  m_daemons[index].store_link->SetFault(fault);
  After(DrawTime(300, 5000), [this, index] {
    m_daemons[index].store_link->SetFault(LinkFault::kNone);
  });
}

void SoakRun::InjectUpstreamLinkFault() {
  const std::size_t index = Draw(m_upstreams.size());
  const LinkFault fault = kLinkFaults[Draw(std::size(kLinkFaults))];
  Log("link to " + m_upstreams[index].server->Id() + ": fault " +
      std::to_string(static_cast<int>(fault)));
  m_upstreams[index].link->SetFault(fault);
  After(DrawTime(300, 4000),
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
  m_platform.SetDown(true);
  After(DrawTime(300, 4000), [this] { m_platform.SetDown(false); });
}

void SoakRun::CompactStore() {
  Log("compaction");
  m_platform.CompactAll();
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
  Upstream& upstream = m_upstreams[index];
  if (!upstream.registered) {
    return;
  }
  Log(upstream.server->Id() + " leaves");
  upstream.registered = false;
  Register(upstream, true);
  After(milliseconds(2500), [this, index] {
    m_platform.PutUpstream(m_upstreams[index].server->Id(), "");
  });
  After(DrawTime(3000, 5000), [this, index] {
    m_upstreams[index].registered = true;
    Register(m_upstreams[index], false);
  });
}

void SoakRun::ReplaceKey() {
  const std::size_t index = Draw(m_keys.size());
  const std::string old = m_keys[index];
  m_keys[index] = "key-" + std::to_string(m_next_key++);
  Log("key " + old + " replaced by " + m_keys[index]);
  m_checker.OnKeyAdded(m_keys[index], "workspace-" + m_keys[index]);
  WriteConfiguration();
  m_checker.OnKeyRevoked(old, Now());
}

void SoakRun::EndFaults() {
  Log("faults end");
  m_faults_over = true;
  After(kRecoveryWait, [this] { m_sampling = true; });
  After(kRecoveryWait + kSampleTime, [this] { m_done = true; });
}

}  // namespace jasminehatch::soak
