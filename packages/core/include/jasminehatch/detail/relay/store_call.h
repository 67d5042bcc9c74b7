#ifndef JASMINEHATCH_DETAIL_RELAY_STORE_CALL_H_
#define JASMINEHATCH_DETAIL_RELAY_STORE_CALL_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace jasminehatch::relay {

/// @brief What a call asks the platform's store for.
enum class StoreOperation {
  kRead,    ///< Records from an offset on that exist now.
  kWait,    ///< The same; the store may wait for a first record.
  kNewest,  ///< One page of the newest record of each key.
  kAppend,
  kCount
};

/// @brief How a call to the platform's store ended.
enum class StoreOutcome {
  kDone,
  kCompacted,  ///< The records to read were removed by compaction.
  kConflict,   ///< Another record precedes the one to append.
  kRejected,   ///< Any other status.
  kInvalid,    ///< The response cannot be decoded.
  kTimedOut,
  kBroken,   ///< The connection broke after the request was sent.
  kNotSent,  ///< No byte was sent, so that the call is not charged.
  kCount
};

inline constexpr std::size_t kStoreOperationCount =
    static_cast<std::size_t>(StoreOperation::kCount);
inline constexpr std::size_t kStoreOutcomeCount =
    static_cast<std::size_t>(StoreOutcome::kCount);

/// @brief One call to the platform's store.
struct StoreCall {
  StoreOperation operation = StoreOperation::kRead;
  std::string topic;
  StoreOutcome outcome = StoreOutcome::kDone;
};

/// @return the value of the metric's label
std::string_view ToString(StoreOperation operation);
std::string_view ToString(StoreOutcome outcome);

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_STORE_CALL_H_
