#ifndef JASMINEHATCH_DETAIL_CONFIG_OPTIONS_H_
#define JASMINEHATCH_DETAIL_CONFIG_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/config/config_change.h"

namespace jasminehatch::config {

/// @brief Settings of the configuration reducer.
struct Options {
  /// Time without a read to the end of the log, or newer records from a peer,
  /// after which the configuration is marked stale.
  Duration stale_after = std::chrono::seconds(5);
  /// Time without a response from the log after which records are requested
  /// from peers. Must exceed the 1 s that a long poll without records takes.
  Duration log_silence = std::chrono::milliseconds(2500);
  Duration fetch_timeout = std::chrono::seconds(3);
  /// Number of records after the last snapshot at which the next one is due.
  /// The log must retain several times as many.
  Version snapshot_records = 1024;
  /// Age of the last snapshot at which the next one is due; at most a third of
  /// the log's retention.
  std::chrono::seconds snapshot_age = std::chrono::hours(8);
  /// Upper bound of the random delay after which a due snapshot is written,
  /// unless another daemon wrote one first.
  Duration max_snapshot_delay = std::chrono::seconds(30);
  Duration append_retry = std::chrono::milliseconds(500);
};

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_OPTIONS_H_
