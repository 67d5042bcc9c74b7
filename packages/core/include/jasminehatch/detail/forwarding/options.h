#ifndef JASMINEHATCH_DETAIL_FORWARDING_OPTIONS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/routing/allowed_zones.h"

namespace jasminehatch::forwarding {

/// @brief How the upstream of a prompt is chosen.
enum class PromptPlacement {
  kPrefix,       ///< By the prompt prefix, unless that upstream is overloaded.
  kPrefixAlone,  ///< By the prompt prefix, regardless of load.
  kLeastLoaded,
};

/// @brief Policy settings of the forwarder.
struct Options {
  std::string zone;  ///< Availability zone of this daemon.

  PromptPlacement prompt_placement = PromptPlacement::kPrefix;
  bool use_cache_stores = true;
  /// Whether requests are refused when no upstream has memory for them.
  bool limit_admission = true;

  /// Maximum age of the freshness proof of the configuration. Requests that
  /// need a key are refused when it is older.
  Duration max_proof_age = std::chrono::milliseconds(3000);

  /// Retries allowed to the whole fleet within `retry_window`: `retry_ratio`
  /// times the number of requests, plus `retry_slack`.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  Duration retry_window = std::chrono::seconds(10);
  /// Minimum number of daemons among which the slack is divided.
  std::uint32_t min_daemons = 8;

  /// After an outage of the registry, removed upstreams stay in use for this
  /// grace period, since they may only have failed to renew their entries.
  Duration removal_grace_period = std::chrono::milliseconds(2000);

  /// Age of this daemon's knowledge of the registry up to which it takes the
  /// only software version that it knows of a service for the only one there
  /// is. No daemon begins resumable streams with a new version until it has
  /// known of it for this long, so that the others know of it as well.
  Duration max_registry_age = std::chrono::milliseconds(1600);

  /// Age of a published weight version from which upstreams that have it are
  /// preferred, as far as they have capacity.
  Duration version_soft_limit = std::chrono::milliseconds(1200);
  /// Age of a published weight version from which only upstreams that have it
  /// are used.
  Duration version_hard_limit = std::chrono::milliseconds(5000);
  /// The same for a weight version that this daemon found when it started, from
  /// then on, since its age is not known.
  Duration found_version_limit = std::chrono::milliseconds(2250);

  /// Time after which an upstream that was said to load weights is used again,
  /// since the daemon that waits for the end of the load may have stopped.
  Duration max_load_time = std::chrono::milliseconds(5000);

  /// Retry delay sent with refusals; up to the same time is added at random, so
  /// that callers do not return simultaneously.
  Duration retry_after = std::chrono::milliseconds(250);

  /// Time for which an unreachable upstream is not used; doubles with each
  /// further failure, up to `max_suspend_time`.
  Duration suspend_time = std::chrono::milliseconds(700);
  Duration max_suspend_time = std::chrono::seconds(5);

  /// Time for which an upstream is not used after it rejected a request.
  Duration reject_pause = std::chrono::milliseconds(100);
  /// Time for which an upstream is not used after it rejected a request while
  /// it had older weights than the published ones, since it is probably loading
  /// the new ones.
  Duration weight_change_pause = std::chrono::milliseconds(400);

  /// Requests are refused when every upstream would need more than this share
  /// of its memory. For smaller requests the limit is higher, by up to
  /// `small_request_headroom`.
  double memory_limit = 1.05;
  double small_request_headroom = 0.6;
  /// Requests that need at least this share of an upstream's memory get no
  /// part of `small_request_headroom`.
  double small_request_share = 1.0 / 16;

  /// An idempotent request without a response after this share of its remaining
  /// time is cancelled and sent to another upstream.
  double attempt_time_share = 0.4;

  /// Prompts are not placed by prefix on upstreams whose load exceeds the mean
  /// times `overload_factor` by more than `overload_margin` requests.
  double overload_factor = 1.3;
  double overload_margin = 3;

  /// Regions of the availability zones. A zone without an entry gets no request
  /// that is restricted to regions.
  ZoneRegions zone_regions;
  std::string daemon;  ///< Name of this daemon.

  /// Requests per second that a cold upstream may get from the whole fleet:
  /// `warm_up_factor` times `WarmUpSpec::rate`, plus `warm_up_slack`.
  double warm_up_factor = 1;
  double warm_up_slack = 0;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_OPTIONS_H_
