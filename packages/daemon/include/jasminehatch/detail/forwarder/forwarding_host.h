#ifndef JASMINEHATCH_DETAIL_FORWARDER_FORWARDING_HOST_H_
#define JASMINEHATCH_DETAIL_FORWARDER_FORWARDING_HOST_H_

#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/effect.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/state.h"
#include "jasminehatch/detail/platform/upstream_response.h"
#include "jasminehatch/detail/sse/event_splitter.h"
#include "jasminehatch/detail/stream/stream_client.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::net {
class ServerExchange;
}

namespace jasminehatch::telemetry {
class DecisionLog;
class Metrics;
}  // namespace jasminehatch::telemetry

namespace jasminehatch::daemon {

/// @brief Runs the forwarding concern: turns what happens on the connections of
/// callers and upstreams into events, and carries out the effects.
class ForwardingHost {
 public:
  ForwardingHost(asio::io_context& loop,
                 const Clock& clock,
                 net::StreamClient& client,
                 telemetry::DecisionLog& log,
                 telemetry::Metrics& metrics,
                 forwarding::Options options);

  /// Applies an event and carries out its effects.
  void Apply(const forwarding::Event& event);

  /// Takes a caller's request.
  void OnRequest(const std::shared_ptr<net::ServerExchange>& exchange);

  /// Sets what is called for each crash that other daemons should know of.
  void OnCrash(std::function<void(const forwarding::CrashReport&)> on_crash) {
    m_on_crash = std::move(on_crash);
  }

  const forwarding::State& State() const { return m_state; }

  /// @return what the daemons of this zone have in flight at each upstream
  std::vector<forwarding::UpstreamShare> ZoneShares(
      std::span<const forwarding::UpstreamShare> own);

 private:
  /// A request in progress, as far as connections are concerned.
  struct Running {
    std::shared_ptr<net::ServerExchange> exchange;
    std::string caller_id;
    std::string model;
    AttemptId attempt;
    std::string upstream;
    forwarding::Repeat repeat = forwarding::Repeat::kOnce;
    std::uint64_t call = 0;
    net::StreamHead head;
    platform::UpstreamResponseHead facts;
    std::string body;
    codec::EventSplitter splitter;
    std::string last_event;
    MonotonicTime received_at{};
    MonotonicTime first_event_at{};  ///< When it was passed on; see `begun`.
    MonotonicTime last_event_at{};
    bool streaming = false;  ///< The answer is passed on event by event.
    bool begun = false;      ///< The caller has the head of the answer.
  };

  void Execute(const forwarding::StartAttempt& effect);
  void Execute(const forwarding::CancelAttempt& effect);
  void Execute(const forwarding::DeliverAnswer& effect);
  void Execute(const forwarding::RefuseRequest& effect);
  void Execute(const forwarding::ShareCrash& effect);
  void Execute(const forwarding::LogDecision& effect);
  void Execute(const CountEvent& effect);

  void RefuseMalformed(net::ServerExchange& exchange, std::string_view cause);
  void OnHead(RequestId id, AttemptId attempt, net::StreamHead head);
  void OnData(RequestId id, AttemptId attempt, std::string_view data);
  void OnEnd(RequestId id, AttemptId attempt, const net::StreamEnd& end);
  void PassOn(RequestId id,
              Running& running,
              const codec::EventSplitter::Event& event);
  forwarding::AttemptOutcome Judge(const Running& running,
                                   const net::StreamEnd& end) const;
  void EndAttempt(RequestId id,
                  forwarding::AttemptOutcome outcome,
                  std::string detail);
  void LogAnswer(const Running& running);
  Running* Find(RequestId id, AttemptId attempt);
  void ArmTimer();

  const Clock& m_clock;
  net::StreamClient& m_client;
  telemetry::DecisionLog& m_log;
  telemetry::Metrics& m_metrics;
  forwarding::State m_state;
  std::function<void(const forwarding::CrashReport&)> m_on_crash;
  std::unordered_map<RequestId, Running> m_running;
  asio::steady_timer m_timer;
  std::optional<MonotonicTime> m_timer_at;
  std::mt19937_64 m_random{std::random_device{}()};
  std::uint64_t m_next_request = 1;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_FORWARDING_HOST_H_
