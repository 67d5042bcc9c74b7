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
#include "jasminehatch/detail/forwarding/explanation.h"
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

/// @brief Runs the forwarding reducer: turns I/O on the connections of callers
/// and upstreams into events and executes the effects.
class ForwardingHost {
 public:
  ForwardingHost(asio::io_context& loop,
                 const Clock& clock,
                 net::StreamClient& client,
                 telemetry::DecisionLog& log,
                 telemetry::Metrics& metrics,
                 forwarding::Options options);

  /// Applies an event and executes its effects.
  void Apply(const forwarding::Event& event);

  /// Handles a caller's request.
  void OnRequest(const std::shared_ptr<net::ServerExchange>& exchange) {
    Receive(exchange, /*forwarded=*/false);
  }

  /// Handles a request that another daemon forwarded to this one.
  void OnForwardedRequest(const std::shared_ptr<net::ServerExchange>& exchange);

  /// Sets the callback for crash reports that are sent to other daemons.
  void SetCrashReportCallback(
      std::function<void(const forwarding::CrashReport&)> on_crash_report) {
    m_on_crash_report = std::move(on_crash_report);
  }

  /// Sets the callback for origins of streams that are sent to other daemons.
  void SetStreamOriginsCallback(
      std::function<void(std::span<const forwarding::StreamOrigin>)>
          on_stream_origins) {
    m_on_stream_origins = std::move(on_stream_origins);
  }

  const forwarding::State& State() const { return m_state; }

  /// Explains what would happen to a request that arrives now.
  forwarding::Explanation Explain(const forwarding::RequestReceived& arrival);

  /// @return the in-flight load of the daemons of this zone at each upstream
  std::vector<forwarding::UpstreamLoad> ZoneLoads(
      std::span<const forwarding::UpstreamLoad> own);

 private:
  /// The connection state of a request in progress.
  struct ActiveRequest {
    std::shared_ptr<net::ServerExchange> exchange;
    std::string caller_id;  ///< The caller's own id of the request.
    std::string model;
    AttemptId attempt;
    std::string upstream;    ///< Upstream of the attempt, or another daemon.
    bool at_peer = false;    ///< The attempt was forwarded to another daemon.
    bool forwarded = false;  ///< Another daemon forwarded it to this one.
    std::uint64_t upstream_started_at = 0;
    MonotonicTime attempt_started_at{};
    forwarding::RouteKind route_kind = forwarding::RouteKind::kNonIdempotent;
    std::uint64_t call_id = 0;
    std::vector<std::string> sent_to;  ///< Addresses of the attempts so far.
    net::StreamHead head;
    platform::UpstreamResponseHead metadata;
    std::string body;
    codec::EventSplitter splitter;
    std::string last_event_id;
    MonotonicTime received_at{};
    /// When the head and the first event were forwarded.
    MonotonicTime first_event_at{};
    MonotonicTime last_event_at{};
    bool streaming = false;       ///< The response is forwarded event by event.
    bool event_received = false;  ///< In the current attempt.
    bool head_sent = false;  ///< The response's head was sent to the caller.

    /// @return the memory that the response takes until it is delivered, in
    /// bytes, with the spare capacity of its buffers
    std::size_t BufferedBytes() const {
      return body.capacity() + splitter.BufferedBytes();
    }
  };

  void Execute(const forwarding::StartAttempt& effect);
  void Execute(const forwarding::CancelAttempt& effect);
  void Execute(const forwarding::CloseIdleConnections& effect);
  void Execute(const forwarding::DeliverResponse& effect);
  void Execute(const forwarding::RefuseRequest& effect);
  void Execute(const forwarding::ShareCrashReport& effect);
  void Execute(const forwarding::ShareStreamOrigins& effect);
  void Execute(const forwarding::LogDecision& effect);
  void Execute(const CountEvent& effect);

  void Receive(const std::shared_ptr<net::ServerExchange>& exchange,
               bool forwarded);
  /// Applies what the head of an upstream's response says of the upstream.
  void ApplyNotices(const ActiveRequest& active);
  void RefuseMalformed(net::ServerExchange& exchange, std::string_view cause);
  void OnHead(RequestId id, AttemptId attempt, net::StreamHead head);
  void OnData(RequestId id, AttemptId attempt, std::string_view data);
  void OnEnd(RequestId id, AttemptId attempt, const net::StreamEnd& end);
  /// Ends the attempt with the largest buffered response if those of all
  /// requests take too much memory.
  /// @param grown request that received a part of its response
  /// @param before its buffered bytes before that
  void LimitBufferedBytes(const ActiveRequest& grown, std::size_t before);
  void ForwardEvent(RequestId id,
                    ActiveRequest& active,
                    const codec::EventSplitter::Event& event);
  static bool IsShedding(const ActiveRequest& active);
  static forwarding::AttemptOutcome ClassifyPeerResponse(
      const ActiveRequest& active);
  forwarding::AttemptOutcome ClassifyOutcome(const ActiveRequest& active,
                                             const net::StreamEnd& end) const;
  void EndAttempt(RequestId id,
                  forwarding::AttemptOutcome outcome,
                  std::string detail,
                  forwarding::ConnectFailure connect_failure =
                      forwarding::ConnectFailure::kNone,
                  bool closed_by_upstream = false);
  void LogResponse(const ActiveRequest& active);
  ActiveRequest* FindAttempt(RequestId id, AttemptId attempt);
  void ArmTimer();

  const Clock& m_clock;
  net::StreamClient& m_client;
  telemetry::DecisionLog& m_log;
  telemetry::Metrics& m_metrics;
  forwarding::State m_state;
  std::function<void(const forwarding::CrashReport&)> m_on_crash_report;
  std::function<void(std::span<const forwarding::StreamOrigin>)>
      m_on_stream_origins;
  std::unordered_map<RequestId, ActiveRequest> m_active_requests;
  asio::steady_timer m_timer;
  std::optional<MonotonicTime> m_timer_at;
  std::mt19937_64 m_random{std::random_device{}()};
  std::uint64_t m_next_request_id = 1;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_FORWARDING_HOST_H_
