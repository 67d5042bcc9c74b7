#ifndef JASMINEHATCH_DETAIL_BASE_REFUSAL_H_
#define JASMINEHATCH_DETAIL_BASE_REFUSAL_H_

#include <cstddef>
#include <string_view>

namespace jasminehatch {

/// @brief Reason for refusing a request; described by RefusalInfo.
enum class RefusalCode {
  kMalformedRequest,
  kUnauthorized,
  kUnknownRoute,
  kUnknownModel,
  kVersionNotAllowed,
  kBodyTooLarge,
  kMissingIdempotencyKey,
  kMalformedIdempotencyKey,
  kIdempotencyKeyReused,
  kBookingKeyExpired,
  kBookingOutcomeUnknown,
  kBookingLogUnavailable,
  kBookingNotDispatched,
  kOverloaded,
  kWorkspaceOverShare,
  kDeadlineUnreachable,
  kDeadlineExceeded,
  kNoUpstream,
  kUpstreamFailed,
  kRetryBudgetExhausted,
  kRequestQuarantined,
  kConfigurationStale,
  kShuttingDown,
  kCallerTooSlow,
  kCrashSuspect,
  kCount,
};

/// @brief How a refusal code is reported to the caller.
struct RefusalInfo {
  RefusalCode code;
  std::string_view name;  ///< Stable code in the JSON error.
  int number;             ///< Stable number in the JSON error.
  int http_status;
  bool retry_can_help;  ///< Whether `Retry-After` is sent.
};

/// @return the entry of the refusal table for `code`; constant time
const RefusalInfo& Describe(RefusalCode code);

inline constexpr std::size_t kRefusalCodeCount =
    static_cast<std::size_t>(RefusalCode::kCount);

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_REFUSAL_H_
