#ifndef JASMINEHATCH_DETAIL_BLOCKS_EVENT_H_
#define JASMINEHATCH_DETAIL_BLOCKS_EVENT_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/blocks/block_name.h"

namespace jasminehatch::blocks {

/// @brief One tier of a store.
struct Tier {
  StoreId store;
  std::optional<StoreId> lower;  ///< Tier that blocks move to when it is full.
  std::uint64_t capacity_bytes = 0;
};

/// The process became the owner of the blocks of these tiers.
struct OwnershipStarted {
  std::uint64_t incarnation = 0;
  std::vector<Tier> tiers;  ///< Exports go to the one with the lowest id.
};

/// The process still owns the tiers; follows `ConfirmOwnership`.
struct OwnershipConfirmed {};

/// Another process became the owner of the tiers.
struct OwnershipEnded {};

/// An upstream finished a run and still holds the blocks of the prompt.
struct RunFinished {
  Digest context;  ///< Context of the prompt, such as a conversation; the
                   ///< history of its uses decides which blocks are kept.
  UpstreamId upstream;
  std::vector<BlockKey> keys;
  std::uint64_t block_bytes = 0;
  double recompute_seconds_per_block = 0;  ///< Time to recompute one block.
};

/// The store replied to a write; contains what was sent and what is stored.
struct WriteReplied {
  BlockName name;
  Checksum written;
  Checksum stored;
};

/// The write failed and stored nothing.
struct WriteFailed {
  BlockName name;
};

/// @brief One copy in a store's listing.
struct ListedBlock {
  BlockName name;
  std::optional<Checksum> checksum;  ///< Empty until the write is complete.
};

/// The store replied to `ListStore`.
struct StoreListed {
  StoreId store;
  std::uint64_t request = 0;
  std::vector<ListedBlock> blocks;
};

/// The store lost its content.
struct StoreLost {
  StoreId store;
};

/// The load of a store's link: seconds of queued work, and imports that callers
/// wait for.
struct LinkObserved {
  StoreId store;
  double busy_seconds = 0;
  std::uint32_t imports = 0;
};

/// An import requested to read leading blocks of a prompt.
struct GrantRequested {
  GrantId grant;
  StoreId store;
  std::vector<BlockKey> keys;
};

/// The import ended; its reads have stopped.
struct GrantEnded {
  GrantId grant;
};

/// A read did not find the block, or found another length or digest.
struct ReadMismatched {
  BlockName name;
};

/// The time returned by `State::NextTimer` was reached.
struct TimerFired {};

using Event = std::variant<OwnershipStarted,
                           OwnershipConfirmed,
                           OwnershipEnded,
                           RunFinished,
                           WriteReplied,
                           WriteFailed,
                           StoreListed,
                           StoreLost,
                           LinkObserved,
                           GrantRequested,
                           GrantEnded,
                           ReadMismatched,
                           TimerFired>;

}  // namespace jasminehatch::blocks

#endif  // JASMINEHATCH_DETAIL_BLOCKS_EVENT_H_
