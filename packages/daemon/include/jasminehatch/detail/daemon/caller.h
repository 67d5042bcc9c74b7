#ifndef JASMINEHATCH_DETAIL_DAEMON_CALLER_H_
#define JASMINEHATCH_DETAIL_DAEMON_CALLER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/http/http_message.h"
#include "jasminehatch/detail/json/completion_request.h"
#include "jasminehatch/detail/json/engine_chunk.h"

namespace jasminehatch::net {
class ResponseWriter;
}

namespace jasminehatch::daemon {

/// @brief A caller that waits for its response, and the state needed to build
/// the response.
struct Caller {
  enum class Kind { kPrompt, kIdempotentCall, kBooking, kBookingStage };

  Kind kind = Kind::kPrompt;
  std::string request_id;  ///< As shown to the caller and in logs.
  std::string workspace;
  std::shared_ptr<net::ResponseWriter> writer;
  MonotonicTime arrived_at{};

  // Prompts.
  std::shared_ptr<const codec::CompletionRequest> completion;
  std::string weight_version;
  std::vector<std::string> cache_keys;
  codec::ResponseFormatter format;
  bool dispatched = false;  ///< The wait in the queue has ended.
  std::string text;         ///< Text so far of a response that is not streamed.
  std::string finish_reason;
  codec::Usage usage;
  /// Chunks of the output so far, also of a response that is not streamed; each
  /// is counted as one token.
  std::uint32_t forwarded_chunks = 0;
  std::optional<MonotonicTime> last_token_at;

  // Idempotent calls to services.
  net::HttpRequest service_request;
  std::string service_path;
  int service_status = 0;
  std::string service_content_type;
  std::string service_body;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_CALLER_H_
