#ifndef JASMINEHATCH_DETAIL_DAEMON_SERVING_EXECUTOR_H_
#define JASMINEHATCH_DETAIL_DAEMON_SERVING_EXECUTOR_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/serving/effect.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
struct State;
}  // namespace jasminehatch

namespace jasminehatch::codec {
struct DaemonSettings;
}

namespace jasminehatch::net {
class HttpClient;
}

namespace jasminehatch::telemetry {
class Metrics;
}

namespace jasminehatch::daemon {

class CallerTable;
class EventSink;
class UpstreamAttempt;

/// @brief Executes the effects of the serving reducer.
class ServingExecutor {
 public:
  /// @brief Components that the executor uses; all outlive it.
  struct Context {
    asio::io_context& loop;
    const Clock& clock;
    const codec::DaemonSettings& settings;
    const State& state;
    EventSink& sink;
    CallerTable& callers;
    net::HttpClient& client;
    telemetry::Metrics& metrics;
  };

  explicit ServingExecutor(const Context& context);
  ~ServingExecutor();
  ServingExecutor(const ServingExecutor&) = delete;
  ServingExecutor& operator=(const ServingExecutor&) = delete;

  void Execute(const serving::Effect& effect);

  /// Sets the callback that fetches a complete cache listing.
  void SetResyncCallback(std::function<void(UpstreamId)> on_resync) {
    m_on_resync = std::move(on_resync);
  }

  /// Sets an optional callback for quarantined requests. Independently of it,
  /// the reducer shares quarantines with the other daemons in membership
  /// messages.
  void SetQuarantineCallback(
      std::function<void(const serving::BroadcastQuarantine&)> on_quarantine) {
    m_on_quarantine = std::move(on_quarantine);
  }

 private:
  void Apply(const serving::StartAttempt& effect);
  void Apply(const serving::CancelAttempt& effect);
  void Apply(const serving::ForwardChunk& effect);
  void Apply(const serving::FinishRequest& effect);
  void Apply(const serving::RefuseRequest& effect);
  void Apply(const serving::ResyncCache& effect);
  void Apply(const serving::BroadcastQuarantine& effect);
  void Apply(const CountEvent& effect);
  void Apply(const serving::ReportCold& effect);

  Context m_context;
  std::unordered_map<AttemptId, std::unique_ptr<UpstreamAttempt>> m_attempts;
  std::function<void(UpstreamId)> m_on_resync;
  std::function<void(const serving::BroadcastQuarantine&)> m_on_quarantine;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_SERVING_EXECUTOR_H_
