#include "jasminehatch/detail/shedding/caller_refusal.h"

#include <array>

namespace jasminehatch::shedding {
namespace {

struct RefusalRow {
  CallerRefusal reason;
  std::string_view name;
  int http_status;
};

constexpr std::array<RefusalRow, kCallerRefusalCount> kRows{{
    {CallerRefusal::kMalformed, "malformed", 400},
    {CallerRefusal::kUnsupportedVersion, "unsupported_version", 505},
    {CallerRefusal::kHeadTooLarge, "head_too_large", 431},
    {CallerRefusal::kBodyTooLarge, "body_too_large", 413},
    {CallerRefusal::kHeadTimeout, "head_timeout", 408},
    {CallerRefusal::kBodyTimeout, "body_timeout", 408},
    {CallerRefusal::kIdleTimeout, "idle_timeout", 0},
    {CallerRefusal::kResponseTimeout, "response_timeout", 0},
    {CallerRefusal::kNoMemory, "no_memory", 503},
    {CallerRefusal::kShed, "shed", 503},
    {CallerRefusal::kResponseMemory, "response_memory", 0},
    {CallerRefusal::kConnectionLimit, "connection_limit", 0},
}};

constexpr bool IsTableInEnumOrder() {
  for (std::size_t i = 0; i < kRows.size(); ++i) {
    if (static_cast<std::size_t>(kRows[i].reason) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsTableInEnumOrder());

}  // namespace

std::string_view ToString(CallerRefusal reason) {
  return kRows.at(static_cast<std::size_t>(reason)).name;
}

int HttpStatus(CallerRefusal reason) {
  return kRows.at(static_cast<std::size_t>(reason)).http_status;
}

}  // namespace jasminehatch::shedding
