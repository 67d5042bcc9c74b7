#ifndef JASMINEHATCH_DETAIL_FORWARDER_WEIGHTS_ROLLOUT_H_
#define JASMINEHATCH_DETAIL_FORWARDER_WEIGHTS_ROLLOUT_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarder/lease_topic.h"
#include "jasminehatch/detail/json/gossip_message.h"
#include "jasminehatch/detail/lease/effect.h"
#include "jasminehatch/detail/lease/event.h"
#include "jasminehatch/detail/lease/state.h"
#include "jasminehatch/detail/platform/engine_client.h"
#include "jasminehatch/detail/relay/standby.h"
#include "jasminehatch/detail/rollout/effect.h"
#include "jasminehatch/detail/rollout/event.h"
#include "jasminehatch/detail/rollout/state.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::platform {
class StoreClient;
}

namespace jasminehatch::telemetry {
class DecisionLog;
}

namespace jasminehatch::daemon {

class ForwardingHost;

/// @brief Makes the model engines load the weight versions that the operators
/// published.
///
/// One daemon at a time sends load orders. It holds a lease in the platform's
/// store, which is claimed only while an engine has older weights. The lease
/// reducer decides which daemon sends orders, the rollout reducer which engine
/// is next.
class WeightsRollout {
 public:
  struct Options {
    std::string daemon;
    std::uint64_t incarnation = 0;
    /// Minimum time between orders of two different daemons.
    Duration lease_time = std::chrono::seconds(3);
    bool upstreams_check_fences = true;
    /// Time without progress after which daemons on standby join.
    Duration standby_patience = std::chrono::seconds(3);
  };

  WeightsRollout(asio::io_context& loop,
                 const Clock& clock,
                 platform::StoreClient& store,
                 platform::EngineClient& engines,
                 ForwardingHost& host,
                 telemetry::DecisionLog& log,
                 const Options& options);

  /// Reads the lease, so that the age of a record that another daemon left
  /// counts from now on.
  void Start();

  /// Checks whether an engine has older weights than the published ones; to be
  /// called after each change of the registry or of the published weights.
  void Update();

  /// Reads the lease if the store has come back from an older copy, so that the
  /// time for which an unknown holder may send orders counts from now on.
  void OnStoreEpoch(std::uint32_t epoch) { m_lease_topic.OnEpoch(epoch); }

  /// Sets whether this daemon leaves the lease to others, as long as the
  /// rollout makes progress.
  void SetStandby(bool on_standby) { m_standby.SetStandby(on_standby); }

  /// Sets the callback that informs other daemons of changes.
  void SetUpdateCallback(
      std::function<void(const codec::WeightsUpdate&)> callback) {
    m_on_update = std::move(callback);
  }

  /// Stops sending orders and releases the lease.
  void Stop();

  /// @return whether the process should go on running to release the lease
  bool IsReleasing() const;

 private:
  /// A model on an upstream.
  struct Target {
    std::string upstream;
    std::string address;
    std::uint64_t started_at = 0;  ///< Start of the upstream's process.
    std::string model;
    std::uint64_t current = 0;  ///< 0 when unknown.
    std::uint64_t wanted = 0;

    platform::EngineProcess Process() const {
      return {upstream, address, started_at};
    }
  };

  /// The last report of an upstream.
  struct Report {
    MonotonicTime queried_at{};
    bool query_pending = false;
    bool received = false;
  };

  std::map<std::string, Target> CollectTargets() const;
  void Tick();
  void ContinueRelease();
  bool AwaitsRelease() const;
  void ReadReleaseIfDue();
  void Activate();
  void Deactivate();
  void ApplyTargets();
  void QueryEngines();
  void QueryEngine(const std::string& key, const Target& target);
  void OnReport(const std::string& key,
                const std::optional<platform::EngineReport>& report);
  LeaseTopic::Callbacks LeaseTopicCallbacks();
  void StepLease(const lease::Event& event);
  void StepRollout(const rollout::Event& event);
  void WithdrawOrders();
  void Execute(const lease::AppendLease& effect);
  void Execute(const lease::ReadLeaseStream& effect);
  void Execute(const lease::SendOrder& effect);
  void Execute(const lease::HolderChanged& effect);
  void Execute(const lease::OrderHeld& effect);
  void Execute(const rollout::OrderLoad& effect);
  void Execute(const rollout::ReportPaused& effect);
  void OnOrderResponse(const std::string& key, platform::OrderResult response);
  void ReportVersion(const Target& target);
  void SetLoading(const std::string& key, bool loading);
  void ArmTimer();

  const Clock& m_clock;
  platform::EngineClient& m_engines;
  ForwardingHost& m_host;
  telemetry::DecisionLog& m_log;
  Options m_options;
  asio::steady_timer m_timer;
  LeaseTopic m_lease_topic;
  lease::State m_lease;
  rollout::State m_rollout;
  std::map<std::string, Target> m_targets;  ///< By upstream and model.
  std::map<std::string, Report> m_reports;
  std::set<std::string> m_ordered;  ///< Keys with a desired state.
  std::set<std::string> m_loading;  ///< Keys of accepted orders.
  std::function<void(const codec::WeightsUpdate&)> m_on_update;
  relay::Standby m_standby;
  std::size_t m_outdated = 0;  ///< Targets with older weights.
  MonotonicTime m_earliest_claim_at{};
  MonotonicTime m_done_at{};  ///< End of the latest rollout.
  MonotonicTime m_release_until{};
  bool m_active = false;
  bool m_timer_armed = false;
  bool m_stopped = false;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_WEIGHTS_ROLLOUT_H_
