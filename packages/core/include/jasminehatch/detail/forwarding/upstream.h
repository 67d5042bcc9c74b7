#ifndef JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_H_
#define JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/failure_observations.h"
#include "jasminehatch/detail/forwarding/options.h"
#include "jasminehatch/detail/forwarding/upstream_replacement.h"
#include "jasminehatch/detail/forwarding/upstream_speed.h"
#include "jasminehatch/detail/routing/warm_up_state.h"

namespace jasminehatch::forwarding {

/// @brief What the responses of an upstream's process said about new requests.
/// The registry may lag behind it.
struct UpstreamNotice {
  bool leaving = false;  ///< It accepts no new requests until it exits.
  /// It asked for no requests until then.
  std::optional<MonotonicTime> pause_until;
  MonotonicTime pause_requested_at{};  ///< When the latest pause was asked for.

  /// @return what of the notice holds for a process of the same id that is
  /// first seen at `now` with another start
  UpstreamNotice AfterRestart(MonotonicTime now) const;

  /// Extends the pause; a shorter one does not end a longer one early.
  void ExtendPause(Duration pause, MonotonicTime now);

  bool PausesAt(MonotonicTime now) const {
    return pause_until && now < *pause_until;
  }

  friend bool operator==(const UpstreamNotice&,
                         const UpstreamNotice&) = default;
};

/// @brief State of one upstream as known to this daemon.
struct Upstream {
  UpstreamEntry entry;
  /// Differs between two entries of one id that have another address or start
  /// time, so that an attempt at the earlier process says nothing of the later.
  std::uint64_t entry_number = 0;
  UpstreamNotice notice;
  /// End of its use after it was removed from the registry, if it was.
  std::optional<MonotonicTime> removed_until;
  /// It is loading weights, until then or until it reports newer ones.
  std::optional<MonotonicTime> loading_until;

  /// Not used until then, unless there is no other upstream; set after it
  /// rejected a request because it was full or loading weights.
  std::optional<MonotonicTime> paused_until;

  UpstreamSpeed speed;
  std::uint32_t in_flight = 0;  ///< Running attempts of this daemon.
  std::uint64_t tokens = 0;     ///< Memory that these need, in tokens.
  double reported_load = 0;  ///< Running and waiting requests of all daemons.
  /// Change by this daemon's attempts since the report.
  double load_since_report = 0;
  std::optional<MonotonicTime> load_reported_at;  ///< If it was reported.
  /// When its registry entry was last read.
  MonotonicTime entry_read_at{};

  std::uint32_t consecutive_failures = 0;
  std::optional<MonotonicTime> suspended_until;
  /// Start of the first attempt since its last response, if any.
  std::optional<MonotonicTime> silent_since;
  double failure_share = 0;  ///< Moving average over the latest attempts.
  WarmUpState warm_up;
  UpstreamReplacement replacement;
  FailureObservations failures;

  /// @return the estimated number of its requests, from the last report and
  /// this daemon's attempts since then
  double Load() const {
    return std::max({reported_load + load_since_report,
                     static_cast<double>(in_flight), 0.0});
  }

  /// @return the version of its weights of `model`, or 0 if unknown
  std::uint64_t WeightVersion(const std::string& model) const {
    const auto found = entry.weights.find(model);
    return found == entry.weights.end() ? 0 : found->second;
  }

  bool IsLoading(MonotonicTime now) const {
    return loading_until && now < *loading_until;
  }

  void OnAttemptStarted(std::uint64_t needed_tokens, MonotonicTime now) {
    silent_since = silent_since.value_or(now);
    tokens += needed_tokens;
    ++in_flight;
    load_since_report += 1;
  }
  void OnAttemptEnded(std::uint64_t needed_tokens) {
    tokens -= std::min(tokens, needed_tokens);
    in_flight -= in_flight > 0 ? 1 : 0;
    load_since_report -= 1;
  }
  void OnLoadReport(std::uint32_t running,
                    std::uint32_t waiting,
                    MonotonicTime now) {
    reported_load = static_cast<double>(running) + waiting;
    load_reported_at = now;
    load_since_report = 0;
  }

  /// Records that something answered at its address.
  void OnContact(MonotonicTime now) {
    silent_since.reset();
    warm_up.OnContact(now);
  }

  /// Records a response of this process.
  void OnResponse(MonotonicTime now) {
    OnContact(now);
    replacement.OnResponse();
    failures.OnResponse(now);
  }

  /// @return the end of its suspension after own failed attempts, or after
  /// those of other daemons, if it is later
  std::optional<MonotonicTime> SuspendedUntil() const {
    return std::max(suspended_until, failures.SuspendedUntil());
  }

  /// Records an attempt that the upstream completed.
  void RecordSuccess();

  /// Records a failed attempt, and suspends the upstream after too many.
  /// @param unreachable whether the upstream could not be reached
  void RecordFailure(bool unreachable,
                     MonotonicTime now,
                     const Options& options);

  /// Records an attempt that timed out. It counts as a failed one only if the
  /// upstream has been silent for longer than a sound one may be, otherwise
  /// only in `failure_share`.
  void RecordTimeout(MonotonicTime now, const Options& options);
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_UPSTREAM_H_
