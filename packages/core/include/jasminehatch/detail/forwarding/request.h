#ifndef JASMINEHATCH_DETAIL_FORWARDING_REQUEST_H_
#define JASMINEHATCH_DETAIL_FORWARDING_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/route_table.h"

namespace jasminehatch::forwarding {

/// @brief A request in progress and its current attempt.
struct Request {
  struct Attempt {
    AttemptId id;
    std::string upstream;
    std::optional<MonotonicTime> timeout_at;
    bool response_started = false;
    std::uint32_t fetched_tokens = 0;  ///< Read from cache stores.
    std::uint32_t saved_tokens = 0;    ///< Written to cache stores.
    std::uint64_t entry_number = 0;    ///< `Upstream::entry_number`.
    std::string software_version;      ///< Of the upstream.
    bool at_peer =
        false;  ///< `upstream` is a daemon to which it was forwarded.
  };

  RequestReceived arrival;
  std::shared_ptr<const RouteTable> table;  ///< Owns `route`.
  const Route* route = nullptr;
  std::string workspace;
  int priority = 5;
  std::uint64_t expected_tokens = 0;  ///< Expected memory, in tokens.
  /// Hashes of the ids of the prompt parts that other requests share.
  std::vector<std::uint64_t> shared_parts;
  std::string service;  ///< Service of the latest attempt.
  MonotonicTime arrived_at{};
  /// Limit that the caller and the route set.
  MonotonicTime requested_deadline{};
  /// When it gets its final response; earlier than `requested_deadline` if the
  /// daemon stops before.
  MonotonicTime deadline{};
  MonotonicTime timer{};  ///< Time of the entry in `State::timers`.
  std::optional<Attempt> attempt;
  std::vector<std::string> tried_upstreams;  ///< Upstreams of earlier attempts.
  std::uint32_t send_count = 0;
  std::uint32_t run_count = 0;  ///< Earlier attempts that may have run.
  bool response_started = false;
  /// Its next attempt finds out whether upstreams can be reached again.
  bool probes_upstreams = false;
  /// Whether an earlier attempt may have reached an upstream.
  bool may_have_arrived = false;
  std::string last_event;
  /// Software version that began the stream, once an event of it was sent;
  /// further attempts go to upstreams with this version only.
  std::optional<std::string> software_version;

  /// @return the caller's id of the request that got, or gets, the first event
  /// of the stream
  const std::string& StreamId() const {
    return arrival.resumed_request.empty() ? arrival.caller_id
                                           : arrival.resumed_request;
  }

  /// @return whether the caller may resume the response after a break
  bool IsResumableStream() const {
    return route != nullptr && route->kind == RouteKind::kStreaming &&
           route->resumable;
  }

  /// @return whether the request may be sent again after it may have run
  bool IsRepeatable() const {
    return route->kind == RouteKind::kIdempotent ||
           (route->kind == RouteKind::kStreaming && route->resumable);
  }
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_REQUEST_H_
