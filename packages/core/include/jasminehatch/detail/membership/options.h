#ifndef JASMINEHATCH_DETAIL_MEMBERSHIP_OPTIONS_H_
#define JASMINEHATCH_DETAIL_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::membership {

/// @brief Settings of the membership reducer.
struct Options {
  Duration probe_interval = std::chrono::seconds(2);
  std::uint32_t probes_per_interval = 2;
  /// Time after which a suspected process is declared dead. An update reaches
  /// 208 daemons in about 8 exchanges, so a live process has time to refute the
  /// suspicion.
  Duration suspect_time = std::chrono::seconds(10);
  /// An item is sent in this many messages per bit of the number of members, so
  /// that the total grows with the logarithm of that number.
  std::uint32_t send_factor = 3;
  /// Time since the last `LeavingDetected` or message that named a leaving
  /// upstream, after which it is forgotten, so that a later report is shared
  /// again.
  Duration leaving_retention = std::chrono::minutes(10);
  /// Limit for the leaving upstreams, and for the quarantines, that are kept;
  /// the oldest are dropped first.
  std::size_t max_gossip_items = 256;
};

}  // namespace jasminehatch::membership

#endif  // JASMINEHATCH_DETAIL_MEMBERSHIP_OPTIONS_H_
