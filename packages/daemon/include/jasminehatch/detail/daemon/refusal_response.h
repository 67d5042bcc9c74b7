#ifndef JASMINEHATCH_DETAIL_DAEMON_REFUSAL_RESPONSE_H_
#define JASMINEHATCH_DETAIL_DAEMON_REFUSAL_RESPONSE_H_

#include <optional>
#include <string_view>

#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/base/verdict.h"

namespace jasminehatch::net {
class ResponseWriter;
}

namespace jasminehatch::daemon {

/// Sends a refusal as a complete response, with `Retry-After` where a retry can
/// help.
void SendRefusal(net::ResponseWriter& writer,
                 RefusalCode code,
                 Verdict verdict,
                 std::string_view detail,
                 std::string_view request_id,
                 std::optional<Duration> retry_after = std::nullopt);

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_REFUSAL_RESPONSE_H_
