#ifndef JASMINEHATCH_DETAIL_FORWARDING_OPTIONS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief How the upstream of a prompt is chosen.
enum class PromptPlacement {
  kPrefix,       ///< By its leading parts, unless that one is overloaded.
  kPrefixAlone,  ///< By its leading parts, whatever the load.
  kLeastLoaded,
};

/// @brief Policy settings of the forwarding concern.
struct Options {
  std::string zone;  ///< Availability zone of this daemon.

  PromptPlacement prompt_placement = PromptPlacement::kPrefix;
  bool use_cache_stores = true;
  /// Requests for which no upstream has memory are refused.
  bool limit_admission = true;

  /// A request with a key is refused when the newest proof that the
  /// configuration is current is older than this.
  Duration proof_limit = std::chrono::milliseconds(3000);

  /// Retries that all daemons together may make in `retry_window`: a share of
  /// the requests, plus a number.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  Duration retry_window = std::chrono::seconds(10);
  /// Daemons that the slack is divided among, at least.
  std::uint32_t daemons = 8;

  /// After an outage of the registry, removed upstreams stay in use this long,
  /// since they may only have failed to renew their entries.
  Duration lapse_grace = std::chrono::milliseconds(2000);

  /// From this age of a weight version on, requests go to upstreams that have
  /// it, as far as those have room.
  Duration version_soft_limit = std::chrono::milliseconds(1200);
  /// From this age on, requests go to no other upstream.
  Duration version_hard_limit = std::chrono::milliseconds(5000);

  /// Sent with refusals; a random part of the same length is added, so that
  /// callers do not return at once.
  Duration retry_after = std::chrono::milliseconds(250);

  /// An upstream that could not be reached is left alone this long, and twice
  /// as long after each further failure.
  Duration suspend_time = std::chrono::milliseconds(700);
  Duration max_suspend_time = std::chrono::seconds(5);

  /// An upstream that rejected a request is passed over this long.
  Duration reject_pause = std::chrono::milliseconds(100);
  /// The same when it has older weights than were named, since it is probably
  /// changing them.
  Duration change_pause = std::chrono::milliseconds(400);

  /// Requests are refused when each upstream would need more than this share
  /// of its memory, and small ones when it would need `small_limit` more.
  double memory_limit = 1.05;
  double small_limit = 0.6;
  /// Requests from this share of an upstream's memory on are not small.
  double small_share = 1.0 / 16;

  /// An idempotent request that got no answer after this share of its time is
  /// sent to another upstream.
  double hedge_share = 0.4;

  /// Upstreams whose load is over the mean by more than this factor and number
  /// are passed over for cached prompts.
  double overload_factor = 1.3;
  double overload_margin = 3;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_OPTIONS_H_
