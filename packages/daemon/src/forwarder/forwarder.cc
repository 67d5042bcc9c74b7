#include "jasminehatch/detail/forwarder/forwarder.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "build_id.h"
#include "cache_store_followers.h"
#include "caller_listener.h"
#include "dependency_log.h"
#include "forwarder_options.h"
#include "freshness_proof_renewal.h"
#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/forwarder/explain_endpoint.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/forwarder/peer_gossip.h"
#include "jasminehatch/detail/forwarder/topic_follower.h"
#include "jasminehatch/detail/forwarder/weights_rollout.h"
#include "jasminehatch/detail/forwarder/zone_relay.h"
#include "jasminehatch/net.h"
#include "jasminehatch/platform.h"
#include "jasminehatch/telemetry.h"
#include "operator_records.h"
#include "peer_listener.h"
#include "probe_listeners.h"
#include "software_history_reader.h"
#include "upstream_records.h"

namespace jasminehatch::daemon {
namespace {

using std::chrono::milliseconds;
using telemetry::DecisionLog;
using telemetry::DecisionLogField;

/// Names of the relayed feeds of the configuration and of the registry.
constexpr char kConfigurationFeed[] = "configuration";
constexpr char kRegistryFeed[] = "registry";

/// Time without progress after which followers join a rollout, as a fraction of
/// `version_limit`. They join within as much time again.
constexpr double kStandbyPatienceFraction = 0.35;

/// Time until the load balancer sends no more requests: it probes once a second
/// and removes a daemon after two failed probes.
constexpr milliseconds kBalancerDetectionTime{2600};

constexpr milliseconds kStopCheckInterval{50};

/// Time before the end of the stop grace period at which the process ends by
/// itself; the platform terminates it soon after.
constexpr milliseconds kExitMargin{300};

/// Time before that at which all requests have their final responses, which
/// have yet to reach the callers.
constexpr milliseconds kFinalResponseTime{200};
constexpr milliseconds kLogFlushInterval{200};

}  // namespace

class Forwarder::Impl {
 public:
  Impl(asio::io_context& loop,
       const codec::ForwarderSettings& settings,
       const Clock& clock,
       std::uint64_t incarnation,
       int log_descriptor)
      : m_loop(loop),
        m_settings(settings),
        m_clock(clock),
        m_log(log_descriptor, clock, {}),
        m_http_client(loop),
        m_stream_client(loop, {}),
        m_store(m_http_client, settings.store_address),
        m_host(loop,
               clock,
               m_stream_client,
               m_log,
               m_metrics,
               MakeForwardingOptions(settings)),
        m_engines(m_http_client),
        m_rollout(loop,
                  clock,
                  m_store,
                  m_engines,
                  m_host,
                  m_log,
                  {settings.name, incarnation, settings.lease_time,
                   settings.upstreams_check_fences,
                   std::chrono::duration_cast<Duration>(
                       settings.version_limit * kStandbyPatienceFraction)}),
        m_operator_records(m_host, m_log),
        m_configuration(loop,
                        m_store,
                        clock,
                        MakeConfigurationTopicOptions(settings),
                        ConfigurationCallbacks()),
        m_upstream_records(m_host, m_log),
        m_registry(loop,
                   m_store,
                   clock,
                   MakeRegistryTopicOptions(settings),
                   RegistryCallbacks()),
        m_proof_renewal(loop,
                        clock,
                        m_host,
                        m_configuration,
                        OperatorRecordLimit(settings)),
        m_software_history(m_store, m_host),
        m_cache_stores(loop, clock, m_engines, m_host, m_log),
        m_stop_timer(loop),
        m_log_timer(loop) {
    const std::array fields{DecisionLogField{"name", settings.name},
                            DecisionLogField{"zone", settings.zone},
                            DecisionLogField{"build", std::string(kBuildId)}};
    m_log.Write(DecisionLog::Level::kState, "started", fields);
    m_store.SetCallObserver([this](const relay::StoreCall& call) {
      m_metrics.CountStoreCall(call);
    });
    m_store.SetEpochObserver(
        [this](std::uint32_t epoch) { OnStoreEpoch(epoch); });
    Listen();
    m_engines.SetNoticeCallback(
        [this](const forwarding::Event& notice) { m_host.Apply(notice); });
    m_configuration.Start();
    m_software_history.Start([this] { m_registry.Start(); });
    m_rollout.Start();
    StartGossip(incarnation);
    m_proof_renewal.Start();
    FlushLog();
  }

  bool IsReady() const {
    const forwarding::State& state = m_host.State();
    return !m_stopping && m_upstream_records.HasHadUpstream() && state.table &&
           state.confirmed_at &&
           m_clock.Now() - *state.confirmed_at <= state.options.max_proof_age;
  }

  void Stop(std::function<void()> on_stopped) {
    if (std::exchange(m_stopping, true)) {
      return;
    }
    m_log.Write(DecisionLog::Level::kState, "stopping", {});
    m_on_stopped = std::move(on_stopped);
    m_stop_requested_at = m_clock.Now();
    m_exit_at = m_stop_requested_at + m_settings.stop_grace - kExitMargin;
    const MonotonicTime end_by = m_exit_at - kFinalResponseTime;
    m_host.Apply(forwarding::StopRequested{
        std::min(m_stop_requested_at + kBalancerDetectionTime, end_by),
        end_by});
    m_callers->CloseAfterResponses();
    m_rollout.Stop();
    if (m_gossip) {
      m_relay->Stop();
      m_gossip->AnnounceStop();
    }
    CheckStop();
  }

  void Reload(const codec::ForwarderSettings& settings) {
    // Changes of these settings need a restart of the process.
    const bool needs_restart =
        settings.address != m_settings.address ||
        settings.ready_address != m_settings.ready_address ||
        settings.metrics_address != m_settings.metrics_address ||
        settings.peer_address != m_settings.peer_address ||
        settings.advertised_peer_address !=
            m_settings.advertised_peer_address ||
        settings.store_address != m_settings.store_address ||
        settings.name != m_settings.name || settings.zone != m_settings.zone ||
        settings.upstreams_check_fences != m_settings.upstreams_check_fences ||
        settings.lease_time != m_settings.lease_time ||
        settings.drain_limit != m_settings.drain_limit ||
        settings.evacuate_limit != m_settings.evacuate_limit;
    const std::array fields{
        DecisionLogField{"needs_restart", needs_restart ? "yes" : "no"}};
    m_log.Write(DecisionLog::Level::kState, "settings_read_again", fields);
    m_settings.stop_grace = settings.stop_grace;
    m_host.Apply(forwarding::OptionsChanged{MakeForwardingOptions(settings)});
    m_settings.memory = settings.memory;
    m_callers->LimitMemory(m_settings);
  }

 private:
  void Listen();
  TopicFollower::Callbacks ConfigurationCallbacks();
  TopicFollower::Callbacks RegistryCallbacks();
  /// Called when the store names its first or a higher epoch.
  void OnStoreEpoch(std::uint32_t epoch);
  /// Logs that reads of `dependency` succeed again.
  void LogRecovery(std::string_view dependency, Duration outage);
  /// Called when records of the operators were applied.
  void OnConfigurationRead();
  /// Called when this daemon has read all that the registry has.
  void OnRegistryKnown();
  void UpdateCacheStoreFollowers();
  /// @return the position of this daemon in the order in which daemons free
  /// parts of cache stores
  std::size_t FreeingRank() const;
  void StartGossip(std::uint64_t incarnation);
  void CheckStop();
  void FlushLog();

  asio::io_context& m_loop;
  codec::ForwarderSettings m_settings;
  const Clock& m_clock;
  DecisionLog m_log;
  telemetry::Metrics m_metrics;
  net::HttpClient m_http_client;
  net::StreamClient m_stream_client;
  platform::StoreClient m_store;
  ForwardingHost m_host;
  platform::EngineClient m_engines;
  WeightsRollout m_rollout;
  OperatorRecords m_operator_records;
  TopicFollower m_configuration;
  UpstreamRecords m_upstream_records;
  TopicFollower m_registry;
  std::unique_ptr<PeerGossip> m_gossip;  ///< Null without a peer address.
  FreshnessProofRenewal m_proof_renewal;
  SoftwareHistoryReader m_software_history;
  CacheStoreFollowers m_cache_stores;
  std::unique_ptr<ZoneRelay> m_relay;  ///< Null without a peer address.
  std::unique_ptr<CallerListener> m_callers;
  std::unique_ptr<PeerListener> m_peer_requests;  ///< Null without peers.
  std::unique_ptr<ProbeListeners> m_probes;
  asio::steady_timer m_stop_timer;
  asio::steady_timer m_log_timer;
  std::function<void()> m_on_stopped;
  MonotonicTime m_stop_requested_at{};
  MonotonicTime m_exit_at{};  ///< Latest end of a process that is stopping.
  std::uint32_t m_store_epoch = 0;  ///< Highest one that the store named.
  bool m_stopping = false;
  bool m_accepting = true;
};

void Forwarder::Impl::Listen() {
  m_callers = std::make_unique<CallerListener>(m_loop, m_settings, m_clock,
                                               m_host, m_log, m_metrics);
  m_probes = std::make_unique<ProbeListeners>(
      m_loop, m_settings, m_host, [this] { return IsReady(); },
      [this] {
        m_metrics.SetCallerMemory(
            m_callers->MemoryBytes() +
            (m_peer_requests ? m_peer_requests->MemoryBytes() : 0));
        return m_metrics.Render();
      });
}

TopicFollower::Callbacks Forwarder::Impl::ConfigurationCallbacks() {
  TopicFollower::Callbacks callbacks;
  callbacks.on_snapshot = [this](auto records, SnapshotKind kind) {
    m_operator_records.ApplySnapshot(records, kind);
    OnConfigurationRead();
  };
  callbacks.on_records = [this](auto records) {
    m_operator_records.ApplyChanges(records);
    OnConfigurationRead();
  };
  callbacks.on_caught_up = [this](MonotonicTime sent_at) {
    m_proof_renewal.Confirm(sent_at);
  };
  callbacks.on_unavailable = [this](const std::string& detail) {
    LogDependency(m_log, "dependency_lost", "configuration", detail);
  };
  callbacks.on_recovered = [this](Duration outage) {
    LogRecovery("configuration", outage);
  };
  return callbacks;
}

TopicFollower::Callbacks Forwarder::Impl::RegistryCallbacks() {
  TopicFollower::Callbacks callbacks;
  callbacks.on_snapshot = [this](auto records, SnapshotKind kind) {
    m_upstream_records.ApplySnapshot(records, kind);
    m_rollout.Update();
  };
  callbacks.on_records = [this](auto records) {
    m_upstream_records.ApplyChanges(records);
  };
  callbacks.on_caught_up = [this](MonotonicTime known_at) {
    m_host.Apply(forwarding::RegistryKnown{known_at});
    OnRegistryKnown();
  };
  callbacks.on_unavailable = [this](const std::string& detail) {
    LogDependency(m_log, "dependency_lost", "registry", detail);
  };
  callbacks.on_recovered = [this](Duration outage) {
    LogRecovery("registry", outage);
    if (outage >= kRegistryOutageThreshold) {
      m_host.Apply(forwarding::RegistryRecovered{});
    }
  };
  return callbacks;
}

void Forwarder::Impl::OnStoreEpoch(std::uint32_t epoch) {
  const std::uint32_t before = std::exchange(m_store_epoch, epoch);
  const std::string number = std::to_string(epoch);
  const std::string previous = std::to_string(before);
  const std::array fields{DecisionLogField{"epoch", number},
                          DecisionLogField{"before", previous}};
  m_log.Write(DecisionLog::Level::kState,
              before == 0 ? "store_epoch_known" : "store_restored", fields);
  m_rollout.OnStoreEpoch(epoch);
  m_configuration.OnStoreEpoch(epoch);
  m_registry.OnStoreEpoch(epoch);
  if (before != 0) {
    m_metrics.Count(Counter::kStoreRestored);
    if (m_gossip) {
      m_gossip->RegisterAgain();
    }
  }
}

void Forwarder::Impl::LogRecovery(std::string_view dependency,
                                  Duration outage) {
  LogDependency(m_log, "dependency_regained", dependency,
                std::to_string(outage / milliseconds(1)) + " ms");
}

void Forwarder::Impl::OnConfigurationRead() {
  m_rollout.Update();
  UpdateCacheStoreFollowers();
  if (const auto& table = m_host.State().table) {
    m_callers->SetLimits(table->SourceConfiguration().limits);
    if (m_peer_requests) {
      m_peer_requests->SetLimits(table->SourceConfiguration().limits);
    }
  }
}

void Forwarder::Impl::StartGossip(std::uint64_t incarnation) {
  if (m_settings.peer_address.empty()) {
    return;
  }
  m_peer_requests =
      std::make_unique<PeerListener>(m_loop, m_settings, m_host, m_log);
  m_gossip = std::make_unique<PeerGossip>(
      m_loop, m_clock, m_store, m_host, m_log,
      PeerGossip::Options{m_settings.name, m_settings.zone,
                          m_settings.peer_address, incarnation,
                          m_settings.advertised_peer_address,
                          m_settings.capacity, m_peer_requests->Address()});
  m_gossip->Start();
  m_relay = std::make_unique<ZoneRelay>(
      m_loop, m_clock, *m_gossip, m_log, m_metrics,
      relay::ReaderCandidate{m_settings.name, m_settings.capacity});
  m_relay->AddFeed(kConfigurationFeed, m_configuration);
  m_relay->AddFeed(kRegistryFeed, m_registry);
  m_relay->Start();
  m_proof_renewal.ShareWith(*m_gossip);
  m_host.SetCrashReportCallback([this](const forwarding::CrashReport& report) {
    m_gossip->Broadcast(report);
  });
  m_host.SetStreamOriginsCallback(
      [this](std::span<const forwarding::StreamOrigin> origins) {
        m_gossip->Share(origins);
      });
  m_rollout.SetUpdateCallback([this](const codec::WeightsUpdate& update) {
    m_gossip->Broadcast(update);
  });
}

void Forwarder::Impl::UpdateCacheStoreFollowers() {
  const std::size_t daemons =
      1 + (m_gossip ? m_gossip->Peers().LiveCount() : 0);
  m_registry.SetPause(RegistryPause(m_settings, daemons));
  m_cache_stores.Update(daemons, FreeingRank(), m_relay.get());
}

std::size_t Forwarder::Impl::FreeingRank() const {
  if (!m_gossip) {
    return 0;
  }
  // Where feeds are relayed, only one daemon of each zone frees parts.
  return m_registry.Role() == relay::FeedRole::kIndependent
             ? m_gossip->Peers().Rank()
             : m_gossip->Peers().ZoneIndex();
}

void Forwarder::Impl::OnRegistryKnown() {
  m_rollout.SetStandby(m_registry.Role() == relay::FeedRole::kFollower);
  m_rollout.Update();
  UpdateCacheStoreFollowers();
}

void Forwarder::Impl::CheckStop() {
  const MonotonicTime now = m_clock.Now();
  if (now - m_stop_requested_at >= kBalancerDetectionTime &&
      std::exchange(m_accepting, false)) {
    m_callers->StopAccepting();
    if (m_peer_requests) {
      m_peer_requests->StopAccepting();
    }
  }
  const std::size_t busy =
      m_callers->BusyConnections() +
      (m_peer_requests ? m_peer_requests->BusyConnections() : 0);
  const bool idle = !m_accepting && busy == 0 && !m_rollout.IsReleasing();
  if (idle || now >= m_exit_at) {
    if (m_gossip) {
      m_gossip->Stop();
    }
    m_log.Write(DecisionLog::Level::kState, "stopped", {});
    m_log.Flush();
    m_on_stopped();
    return;
  }
  m_stop_timer.expires_after(kStopCheckInterval);
  m_stop_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      CheckStop();
    }
  });
}

void Forwarder::Impl::FlushLog() {
  m_callers->LogRefusals();
  m_log.Flush();
  m_log_timer.expires_after(kLogFlushInterval);
  m_log_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      FlushLog();
    }
  });
}

Forwarder::Forwarder(asio::io_context& loop,
                     const codec::ForwarderSettings& settings,
                     const Clock& clock,
                     std::uint64_t incarnation,
                     int log_descriptor)
    : m_impl(std::make_unique<Impl>(loop,
                                    settings,
                                    clock,
                                    incarnation,
                                    log_descriptor)) {}

Forwarder::~Forwarder() = default;

bool Forwarder::IsReady() const {
  return m_impl->IsReady();
}

void Forwarder::Reload(const codec::ForwarderSettings& settings) {
  m_impl->Reload(settings);
}

void Forwarder::Stop(std::function<void()> on_stopped) {
  m_impl->Stop(std::move(on_stopped));
}

}  // namespace jasminehatch::daemon
