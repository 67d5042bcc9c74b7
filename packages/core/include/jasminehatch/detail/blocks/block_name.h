#ifndef JASMINEHATCH_DETAIL_BLOCKS_BLOCK_NAME_H_
#define JASMINEHATCH_DETAIL_BLOCKS_BLOCK_NAME_H_

#include <compare>
#include <cstdint>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/strong_id.h"

namespace jasminehatch::blocks {

/// Permission of one import to read blocks, unique in one daemon process.
using GrantId = StrongId<struct GrantIdTag>;

/// @brief Name of one exported copy of a block. The pair of writer and sequence
/// is never reused, so a late order cannot affect a newer copy.
struct BlockName {
  BlockKey key;
  std::uint64_t writer =
      0;  ///< Incarnation of the process that started the write.
  std::uint64_t sequence = 0;  ///< Number of the write in that process.

  friend auto operator<=>(const BlockName&, const BlockName&) = default;
};

/// @brief Expected content of a written block.
struct Checksum {
  std::uint64_t length = 0;
  Digest digest;

  friend bool operator==(const Checksum&, const Checksum&) = default;
};

}  // namespace jasminehatch::blocks

#endif  // JASMINEHATCH_DETAIL_BLOCKS_BLOCK_NAME_H_
