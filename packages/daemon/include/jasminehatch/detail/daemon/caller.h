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

/// @brief A caller that waits for its answer, and what is needed to build it.
struct Caller {
  enum class Kind { kPrompt, kPlainCall, kBooking, kBookingStage };

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
  bool dispatched = false;  ///< Whether the wait in the queue has ended.
  std::string text;         ///< Text so far of an answer that is not streamed.
  std::string finish_reason;
  codec::Usage usage;
  std::uint32_t tokens = 0;
  std::optional<MonotonicTime> last_token_at;

  // Idempotent calls of plain services.
  net::HttpRequest plain_request;
  std::string plain_path;
  int plain_status = 0;
  std::string plain_content_type;
  std::string plain_body;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_CALLER_H_
