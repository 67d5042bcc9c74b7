#include "jasminehatch/detail/relay/store_call.h"

#include <array>

namespace jasminehatch::relay {
namespace {

constexpr std::array<std::string_view, kStoreOperationCount> kOperationNames{
    "read", "wait", "newest", "append"};
constexpr std::array<std::string_view, kStoreOutcomeCount> kOutcomeNames{
    "done",    "compacted", "conflict", "rejected",
    "invalid", "timed_out", "broken",   "not_sent"};

}  // namespace

std::string_view ToString(StoreOperation operation) {
  return kOperationNames.at(static_cast<std::size_t>(operation));
}

std::string_view ToString(StoreOutcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace jasminehatch::relay
