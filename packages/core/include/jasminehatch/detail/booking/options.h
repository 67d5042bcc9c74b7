#ifndef JASMINEHATCH_DETAIL_BOOKING_OPTIONS_H_
#define JASMINEHATCH_DETAIL_BOOKING_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::booking {

/// @brief Settings of the booking reducer.
struct Options {
  /// Time for which entries are collected before they are appended as one
  /// record.
  Duration batch_interval = std::chrono::milliseconds(10);
  std::size_t batch_limit =
      256;  ///< Number of entries at which a batch is appended without waiting.
  /// Time within which an intent must be dispatched; else it is voided.
  Duration claim_time = std::chrono::seconds(5);
  /// Time after which an append without a response is repeated; readers ignore
  /// duplicates.
  Duration append_retry = std::chrono::milliseconds(250);
  /// Time for which a caller waits for the outcome of an intent that another
  /// process dispatches.
  Duration outcome_wait = std::chrono::seconds(10);
  std::chrono::seconds key_window =
      std::chrono::hours(24);  ///< Maximum age of an accepted key.
  std::chrono::seconds clock_skew =
      std::chrono::minutes(5);  ///< Tolerance for key times in the future.
  std::size_t response_body_limit =
      16UL * 1024;  ///< Larger response bodies are not kept in the log, bytes.
  std::uint32_t max_dispatches = 3;  ///< Dispatches of one intent; all but the
                                     ///< last are proven not to have run.
  /// Number of claims at which further bookings are refused; bounds memory and
  /// the appends that are repeated after an outage of the log.
  std::size_t claim_limit = 4096;
  /// Time after which entries that were handed off to the zone's batcher, and
  /// that it has not confirmed, are appended directly.
  Duration batcher_timeout = std::chrono::milliseconds(200);
};

}  // namespace jasminehatch::booking

#endif  // JASMINEHATCH_DETAIL_BOOKING_OPTIONS_H_
