#ifndef JASMINEHATCH_DETAIL_SERVING_EVENT_H_
#define JASMINEHATCH_DETAIL_SERVING_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/attempt_result.h"
#include "jasminehatch/detail/serving/priority.h"
#include "jasminehatch/detail/serving/residency.h"
#include "jasminehatch/detail/serving/store_spec.h"
#include "jasminehatch/detail/serving/upstream_spec.h"

namespace jasminehatch::serving {

/// The upstreams of the configuration in force changed; those that are no
/// longer listed are removed.
struct UpstreamsConfigured {
  std::vector<UpstreamSpec> upstreams;
  Residency residency;
};

/// A caller's request passed authentication and decoding.
struct RequestArrived {
  RequestId request;
  std::string workspace;
  std::string model;  ///< Model, or `service:<name>` for an idempotent call of
                      ///< a plain service.
  std::string weight_version;  ///< Empty for plain services.
  Priority priority = Priority::kInteractive;
  std::vector<BlockKey>
      keys;  ///< One key per complete block of the prompt, in order.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::optional<MonotonicTime> deadline;
  Fingerprint fingerprint;
  std::uint64_t random = 0;  ///< Random number for the jitter of the backoff.
};

/// The caller closed its connection.
struct RequestCancelled {
  RequestId request;
};

/// An upstream sent a chunk of a response.
struct AttemptChunk {
  RequestId request;
  AttemptId attempt;
  std::uint32_t position = 0;  ///< Number of the chunk in the response, from 0.
  std::string text;
};

/// An attempt ended. `detail` is for logs and refusals.
struct AttemptEnded {
  RequestId request;
  AttemptId attempt;
  AttemptResult result = AttemptResult::kComplete;
  std::string detail;
  std::optional<Duration> retry_after;  ///< Delay requested by the upstream.
};

/// A load report of an upstream was received.
struct LoadReported {
  UpstreamId upstream;
  Duration age{};             ///< Time since the report was taken.
  std::uint32_t running = 0;  ///< Requests in decode.
  std::uint32_t slots = 1;    ///< Requests that can decode at once.
  std::uint32_t queued = 0;   ///< Requests waiting for a slot.
  std::uint64_t queued_prefill_tokens = 0;
  std::uint64_t incarnation =
      0;  ///< Changes when the upstream process restarts.
  std::string weight_version;
  bool draining = false;      ///< The upstream itself announces that it will be
                              ///< stopped; has the effect of `UpstreamLeaving`.
  bool loading = false;       ///< Loading weights; accepts no requests.
  std::uint64_t fencing = 0;  ///< Highest fencing token seen by the upstream.
};

/// An upstream did not reply to a load query.
struct UpstreamUnreachable {
  UpstreamId upstream;
};

/// @brief One change of an upstream's prefix cache.
struct CacheChange {
  std::uint64_t sequence = 0;
  BlockKey key;
  bool stored = true;  ///< False when the block was evicted.
};

/// The cache of an upstream changed. The upstream numbers its changes
/// consecutively from 1; a gap shows that changes are missing, so that a
/// listing is requested.
struct CacheChanged {
  UpstreamId upstream;
  std::vector<CacheChange> changes;
};

/// An upstream listed its complete cache content as of `sequence`.
struct CacheListed {
  UpstreamId upstream;
  std::uint64_t sequence = 0;
  std::vector<BlockKey> keys;
};

/// The platform's list of VMs, an operator or another daemon announced that the
/// upstream will be stopped. It gets no new attempts.
struct UpstreamLeaving {
  UpstreamId upstream;
};

/// The stores of the configuration in force changed. There is one entry per
/// tier; entries that are no longer listed are not used.
struct StoresConfigured {
  std::vector<StoreSpec> stores;
};

/// A store added or removed exported blocks.
struct StoreContentChanged {
  StoreId store;
  std::vector<BlockKey> keys;
  bool added = true;  ///< False if the blocks were removed.
};

/// A store reported the state of its link.
struct StoreLinkReported {
  StoreId store;
  Duration age{};               ///< Time since the report was taken.
  double bytes_per_second = 0;  ///< Measured rate of the link.
  double pending_bytes = 0;     ///< Remaining bytes of the link's transfers.
};

/// A store did not reply; its blocks cannot be imported until it reports again.
struct StoreUnreachable {
  StoreId store;
};

/// A quarantine was received from another daemon.
struct QuarantineReceived {
  Fingerprint fingerprint;
  Duration remaining{};
};

/// The settings name the daemons that send requests to the upstreams.
struct FleetConfigured {
  struct Daemon {
    std::string name;
    std::string zone;
  };
  std::string daemon;  ///< Name of this daemon.
  std::string zone;    ///< Availability zone of this daemon.
  std::vector<Daemon> others;
};

/// Another daemon of the zone sent a message.
struct DaemonHeard {
  std::string daemon;
  bool stopping = false;  ///< It announced that it stops.
};

/// The daemon is stopping: it refuses new requests and finishes those in
/// progress.
struct ShutdownRequested {};

/// The time returned by `State::NextTimer` was reached.
struct TimerFired {};

using Event = std::variant<UpstreamsConfigured,
                           RequestArrived,
                           RequestCancelled,
                           AttemptChunk,
                           AttemptEnded,
                           LoadReported,
                           UpstreamUnreachable,
                           CacheChanged,
                           CacheListed,
                           UpstreamLeaving,
                           StoresConfigured,
                           StoreContentChanged,
                           StoreLinkReported,
                           StoreUnreachable,
                           QuarantineReceived,
                           ShutdownRequested,
                           TimerFired,
                           FleetConfigured,
                           DaemonHeard>;

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_EVENT_H_
