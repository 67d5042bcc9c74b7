#ifndef JASMINEHATCH_DETAIL_FORWARDING_EFFECT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/base/verdict.h"
#include "jasminehatch/detail/forwarding/configuration.h"
#include "jasminehatch/detail/forwarding/crash_suspects.h"
#include "jasminehatch/detail/forwarding/stream_origin.h"

namespace jasminehatch::forwarding {

/// @brief Instructs an upstream which prompt parts to fetch and to save.
struct CachePlan {
  std::string salt;  ///< Cache salt; parts are found only under the same salt.
  std::uint64_t expected_version =
      0;  ///< The upstream rejects the request if it has other weights.
  /// For each part, the address to fetch it from; empty to compute it.
  std::vector<std::string> fetch;
  /// For each part, the address of the store to save it to; empty for none.
  std::vector<std::string> save;
  /// The engine discards a fetch that has not ended at this time on the clock
  /// that all upstreams share, in milliseconds. Set if a store is read.
  std::optional<std::uint64_t> fetch_until_ms;
};

/// Send the request to an upstream.
struct StartAttempt {
  RequestId request;
  AttemptId attempt;
  std::string upstream;          ///< Id of the upstream.
  std::uint64_t started_at = 0;  ///< `UpstreamEntry::started_at`.
  std::string address;
  MonotonicTime deadline{};
  std::optional<MonotonicTime> timeout_at;  ///< Time limit of this attempt.
  std::string workspace;                    ///< Empty on public routes.
  int priority = 5;
  RouteKind route_kind = RouteKind::kNonIdempotent;
  std::optional<CachePlan> cache_plan;
  std::string resume_after;
  /// Open a connection: an idle one may outlive the link for new ones.
  bool fresh_connection = false;
  /// Forward the request to another daemon, named by `upstream`.
  bool to_peer = false;
};

/// Cancel an attempt and discard its response.
struct CancelAttempt {
  RequestId request;
  AttemptId attempt;
};

/// Close the idle connections to an address.
struct CloseIdleConnections {
  std::string address;
};

/// Send the response of the attempt to the caller.
struct DeliverResponse {
  RequestId request;
  AttemptId attempt;
};

/// Refuse the request; a response that has started is aborted, so that the
/// caller sees it as incomplete.
struct RefuseRequest {
  RequestId request;
  RefusalCode code = RefusalCode::kOverloaded;
  Verdict verdict = Verdict::kNotRun;
  std::string detail;
  std::optional<Duration> retry_after;
};

/// Broadcast a crash report to the other daemons.
struct ShareCrashReport {
  CrashReport report;
};

/// Tell the other daemons where streams began.
struct ShareStreamOrigins {
  std::vector<StreamOrigin> origins;
};

/// @brief A field of a logged decision.
struct DecisionField {
  std::string_view name;
  std::string value;
};

/// @brief Log a decision with its inputs and outcome.
struct LogDecision {
  std::string_view event;
  std::string request;  ///< The caller's id of the request; may be empty.
  std::vector<DecisionField> fields;
  /// Whether the line tells a change of the daemon's state, which is logged
  /// even if lines of requests are dropped.
  bool is_state_change = false;
};

using Effect = std::variant<StartAttempt,
                            CancelAttempt,
                            CloseIdleConnections,
                            DeliverResponse,
                            RefuseRequest,
                            ShareCrashReport,
                            ShareStreamOrigins,
                            LogDecision,
                            CountEvent>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_EFFECT_H_
