#ifndef JASMINEHATCH_DETAIL_BLOCKS_STATE_H_
#define JASMINEHATCH_DETAIL_BLOCKS_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/blocks/block_name.h"
#include "jasminehatch/detail/blocks/event.h"
#include "jasminehatch/detail/blocks/options.h"

namespace jasminehatch::blocks {

/// @brief One copy of a block in `State::entries`, the directory of all copies
/// on the owned tiers.
struct Entry {
  enum class Phase {
    kWriting,      ///< Not readable; the reply to the write is outstanding.
    kReadable,     ///< Readable; length and digest are known.
    kUnvalidated,  ///< Not readable until a listing confirms it.
    kFreeing,      ///< Not readable; freed when its reads have ended.
  };

  Phase phase = Phase::kWriting;
  StoreId store;
  Digest context;  ///< See `RunFinished::context`.
  Checksum checksum;
  std::uint64_t bytes = 0;
  MonotonicTime since{};  ///< Start of the phase.
  std::optional<BlockName> moved_from;
};

/// @brief When a context was used, and the cost of recomputing its blocks.
struct ContextUse {
  MonotonicTime last_used{};
  std::optional<Duration> gap;  ///< Expected time between uses.
  double recompute_seconds_per_block = 0;
};

/// @brief State of the blocks reducer of the process that owns a set of tiers.
struct State {
  struct Grant {
    std::vector<BlockName> names;
    MonotonicTime until{};
  };
  struct Export {
    RunFinished run;
    MonotonicTime queued_at{};
  };
  struct TierState {
    Tier tier;
    double busy_seconds = 0;
    std::uint32_t imports = 0;
    std::uint64_t used_bytes = 0;
    bool rebuilding = true;  ///< Until the first listing after the start.
    std::uint64_t list_request = 0;  ///< 0 if no listing is outstanding.
    MonotonicTime list_due{};
  };

  Options options;
  std::uint64_t incarnation = 0;
  bool confirmed = false;  ///< Ownership is certain; false after a pause.
  std::uint64_t next_sequence = 1;
  std::uint64_t next_list = 1;
  std::map<StoreId, TierState> tiers;
  std::map<BlockName, Entry> entries;
  std::map<GrantId, Grant> grants;
  std::map<Digest, ContextUse> contexts;
  std::map<BlockName, MonotonicTime>
      orphans;  ///< Listed copies that are not in `entries`, with the time of
                ///< discovery; freed when old enough.
  std::deque<Export> exports;
  MonotonicTime started_at{};
  MonotonicTime last_event{};
  std::optional<MonotonicTime> timer;

  /// @return when the next `TimerFired` is due, if at all
  std::optional<MonotonicTime> NextTimer() const { return timer; }
};

}  // namespace jasminehatch::blocks

#endif  // JASMINEHATCH_DETAIL_BLOCKS_STATE_H_
