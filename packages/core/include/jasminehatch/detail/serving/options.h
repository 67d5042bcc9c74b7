#ifndef JASMINEHATCH_DETAIL_SERVING_OPTIONS_H_
#define JASMINEHATCH_DETAIL_SERVING_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::serving {

/// @brief Policy settings of the serving reducer.
struct Options {
  double ttft_weight =
      1.0;  ///< Weight of expected time to first token, per second.
  double recompute_weight = 0.0;  ///< Weight of recomputed prompt tokens, in
                                  ///< seconds per 1,000 tokens.
  double link_weight =
      0.0;  ///< Weight of bytes on store links, in seconds per MB.
  double import_limit_seconds =
      10.0;  ///< Imports that would take longer are not started, since the
             ///< engine abandons them.
  std::uint32_t block_tokens = 2000;  ///< Tokens per cached block of a prompt.
  std::size_t queue_limit = 256;      ///< Maximum new requests of one model and
                                      ///< version waiting in this daemon; also
                                      ///< the number of waiting suspects at
                                      ///< which new ones are refused.
  Duration wait_limit = std::chrono::seconds(
      60);  ///< Maximum wait of a request without a deadline.
  Duration refusal_retry_after = std::chrono::seconds(
      1);  ///< Sent with refusals after which a retry may succeed.
  std::uint32_t max_attempts = 4;  ///< Maximum attempts of one request.
  double retry_share = 0.1;        ///< Retries allowed per first attempt.
  double retry_burst = 10;         ///< Maximum burst of retries.
  Duration retry_backoff =
      std::chrono::milliseconds(20);  ///< Mean backoff before the first
                                      ///< retry; doubles with each attempt.
  Duration max_retry_backoff = std::chrono::seconds(2);
  std::uint32_t crash_limit =
      2;  ///< Upstream losses after which a request is quarantined.
  Duration quarantine_time = std::chrono::minutes(
      10);  ///< Duration of a quarantine; also the time after which the losses
            ///< counted for a request expire.
  Duration loss_confirm_time = std::chrono::milliseconds(
      1500);  ///< Maximum wait of a retry after a broken attempt until it is
              ///< known whether the upstream was lost. Must exceed the timeout
              ///< of a load query, which is 1 s.
  Duration resync_timeout = std::chrono::seconds(
      2);  ///< Time after which a missing cache listing is requested again.
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_OPTIONS_H_
