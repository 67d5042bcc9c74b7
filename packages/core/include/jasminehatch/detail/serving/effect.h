#ifndef JASMINEHATCH_DETAIL_SERVING_EFFECT_H_
#define JASMINEHATCH_DETAIL_SERVING_EFFECT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/base/verdict.h"
#include "jasminehatch/detail/routing/warm_up_limiter.h"

namespace jasminehatch::serving {

/// Send the request to an upstream. If `resume_from` is above 0, the response
/// continues after `resume_text`. If `import_from` is set, the upstream first
/// imports the exported blocks that it lacks, and recomputes those that it
/// cannot import.
struct StartAttempt {
  RequestId request;
  AttemptId attempt;
  UpstreamId upstream;
  std::uint32_t resume_from = 0;  ///< Number of the first chunk to send.
  std::string resume_text;
  std::optional<StoreId> import_from;  ///< Store that has exported blocks.
  std::uint32_t import_blocks =
      0;  ///< Leading blocks of the prompt present after the import, including
          ///< those that the upstream has cached already.
};

/// Cancel an attempt, also at the upstream.
struct CancelAttempt {
  RequestId request;
  AttemptId attempt;
  UpstreamId upstream;
};

/// Forward a chunk of the response to the caller.
struct ForwardChunk {
  RequestId request;
  std::uint32_t position = 0;  ///< Number of the chunk in the response, from 0.
  std::string text;
};

/// Complete the response.
struct FinishRequest {
  RequestId request;
};

/// Refuse the request, or end a started response with an error.
struct RefuseRequest {
  RequestId request;
  RefusalCode code = RefusalCode::kOverloaded;
  Verdict verdict = Verdict::kMayHaveRun;
  std::string detail;
  std::optional<Duration> retry_after;
};

/// Request a complete cache listing from the upstream.
struct ResyncCache {
  UpstreamId upstream;
};

/// Broadcast a quarantine to the other daemons.
struct BroadcastQuarantine {
  Fingerprint fingerprint;
  Duration remaining{};
};

/// Logs that an upstream became cold.
struct ReportCold {
  UpstreamId upstream;
  std::string_view cause;   ///< `added`, `restarted` or `unreachable`.
  Duration left{};          ///< Time until it is warm.
  WarmUpShare share;        ///< Of this daemon.
  std::size_t daemons = 1;  ///< Number of daemons that share its rate.
};

using Effect = std::variant<StartAttempt,
                            CancelAttempt,
                            ForwardChunk,
                            FinishRequest,
                            RefuseRequest,
                            ResyncCache,
                            BroadcastQuarantine,
                            CountEvent,
                            ReportCold>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_EFFECT_H_
