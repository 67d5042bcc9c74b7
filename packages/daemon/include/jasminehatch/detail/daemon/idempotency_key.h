#ifndef JASMINEHATCH_DETAIL_DAEMON_IDEMPOTENCY_KEY_H_
#define JASMINEHATCH_DETAIL_DAEMON_IDEMPOTENCY_KEY_H_

#include <optional>
#include <string_view>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::daemon {

/// @brief Parses the creation time in an idempotency key.
/// @param key `<unix seconds>-<unique>` or a UUID of version 7
/// @return the time, or nothing when the key has another form
std::optional<WallTime> ParseKeyTime(std::string_view key);

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_IDEMPOTENCY_KEY_H_
