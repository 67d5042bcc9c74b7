#include "jasminehatch/detail/base/refusal.h"

#include <array>

#include "jasminehatch/detail/base/verdict.h"

namespace jasminehatch {
namespace {

using enum RefusalCode;

constexpr std::array<RefusalInfo, kRefusalCodeCount> kRefusals{{
    {kMalformedRequest, "malformed_request", 1001, 400, false},
    {kUnauthorized, "unauthorized", 1002, 401, false},
    {kUnknownRoute, "unknown_route", 1003, 404, false},
    {kUnknownModel, "unknown_model", 1004, 404, false},
    {kVersionNotAllowed, "version_not_allowed", 1005, 403, false},
    {kBodyTooLarge, "body_too_large", 1006, 413, false},
    {kMissingIdempotencyKey, "missing_idempotency_key", 2001, 400, false},
    {kMalformedIdempotencyKey, "malformed_idempotency_key", 2002, 400, false},
    {kIdempotencyKeyReused, "idempotency_key_reused", 2003, 422, false},
    {kBookingKeyExpired, "booking_key_expired", 2004, 410, false},
    {kBookingOutcomeUnknown, "booking_outcome_unknown", 2005, 409, false},
    {kBookingLogUnavailable, "booking_log_unavailable", 2006, 503, true},
    {kBookingNotDispatched, "booking_not_dispatched", 2007, 503, true},
    {kOverloaded, "overloaded", 3001, 503, true},
    {kWorkspaceOverShare, "workspace_over_share", 3002, 429, true},
    {kDeadlineUnreachable, "deadline_unreachable", 3003, 503, true},
    {kDeadlineExceeded, "deadline_exceeded", 3004, 504, false},
    {kNoUpstream, "no_upstream", 3005, 503, true},
    {kUpstreamFailed, "upstream_failed", 3006, 502, true},
    {kRetryBudgetExhausted, "retry_budget_exhausted", 3007, 503, true},
    {kRequestQuarantined, "request_quarantined", 3008, 422, false},
    {kConfigurationStale, "configuration_stale", 3009, 503, true},
    {kShuttingDown, "shutting_down", 3010, 503, true},
    {kCallerTooSlow, "caller_too_slow", 3011, 408, false},
    {kCrashSuspect, "crash_suspect", 3012, 503, true},
}};

constexpr bool IsTableInEnumOrder() {
  for (std::size_t i = 0; i < kRefusals.size(); ++i) {
    if (static_cast<std::size_t>(kRefusals[i].code) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsTableInEnumOrder());

}  // namespace

const RefusalInfo& Describe(RefusalCode code) {
  return kRefusals.at(static_cast<std::size_t>(code));
}

std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

}  // namespace jasminehatch
