#ifndef JASMINEHATCH_DETAIL_BLOCKS_EFFECT_H_
#define JASMINEHATCH_DETAIL_BLOCKS_EFFECT_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/blocks/block_name.h"

namespace jasminehatch::blocks {

/// Exports a block from an upstream, or copies it from another tier.
struct WriteBlock {
  BlockName name;
  StoreId store;
  std::optional<UpstreamId> from_upstream;
  std::optional<BlockName> from_block;
  std::uint64_t bytes = 0;
};

/// Removes one copy.
struct FreeBlock {
  BlockName name;
  StoreId store;
};

/// Checks whether the process still owns its tiers. No orders are sent until
/// `OwnershipConfirmed`.
struct ConfirmOwnership {};

/// Requests the listing of a store.
struct ListStore {
  StoreId store;
  std::uint64_t request = 0;
};

/// @brief A copy that may be read, and its expected content.
struct GrantedBlock {
  BlockName name;
  Checksum checksum;
};

/// Allows the import to read these blocks until `until`. After that time, for
/// example after a pause, the reader must request a new grant.
struct GrantRead {
  GrantId grant;
  StoreId store;
  std::vector<GrantedBlock> blocks;
  MonotonicTime until{};
};

/// Denies the import; the upstream recomputes the blocks.
struct DenyRead {
  GrantId grant;
};

/// Reports whether routing may import this block from the store.
struct BlockAvailability {
  StoreId store;
  BlockKey key;
  bool available = true;
};

using Effect = std::variant<WriteBlock,
                            FreeBlock,
                            ListStore,
                            ConfirmOwnership,
                            GrantRead,
                            DenyRead,
                            BlockAvailability>;

using Effects = std::vector<Effect>;

}  // namespace jasminehatch::blocks

#endif  // JASMINEHATCH_DETAIL_BLOCKS_EFFECT_H_
