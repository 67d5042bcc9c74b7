#ifndef JASMINEHATCH_DETAIL_SERVING_PREFIX_INDEX_H_
#define JASMINEHATCH_DETAIL_SERVING_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/base/strong_id.h"

namespace jasminehatch::serving {

/// @brief Index of the cached blocks of each upstream, built from cache events.
/// Its content is a hint that may be outdated or wrong.
///
/// Implemented as a hash table with linear probing, with one entry of 24 bytes
/// for each pair of block and upstream. Clearing an upstream only increments
/// the generation of its entries; entries of older generations are dropped when
/// the table is rebuilt.
class PrefixIndex {
 public:
  /// @brief Number of leading blocks that one upstream holds.
  struct Match {
    UpstreamId upstream;
    std::uint32_t blocks = 0;
  };

  /// Adds or removes a block of an upstream. Expected time is linear in the
  /// number of holders of the block.
  void Add(UpstreamId upstream, const BlockKey& key);
  void Evict(UpstreamId upstream, const BlockKey& key);

  /// Removes all blocks of an upstream; constant time.
  void Clear(UpstreamId upstream);

  /// @brief Sets whether the entries of an upstream are found; those of an
  /// untrusted upstream are kept, but not found.
  void SetTrusted(UpstreamId upstream, bool trusted);

  /// @brief Finds the upstreams that hold leading blocks of a prompt.
  /// Expected time is linear in the number of keys and their holders,
  /// regardless of the number of entries.
  /// @param keys the keys of a prompt in order
  /// @return one match for each trusted upstream that holds the first block,
  /// ordered by upstream
  std::vector<Match> FindHolders(std::span<const BlockKey> keys) const;

  /// @return the number of pairs of block and upstream
  std::size_t BlockCount() const { return m_live; }

  /// @return the size of the table in bytes
  std::size_t MemoryBytes() const { return m_slots.size() * sizeof(Slot); }

 private:
  static constexpr std::uint32_t kEmpty = 0xFFFFFFFF;

  struct Slot {
    BlockKey key;
    std::uint32_t upstream = kEmpty;
    std::uint32_t generation = 0;
  };
  struct Holder {
    std::uint32_t generation = 0;
    bool trusted = true;
    std::size_t blocks = 0;
  };

  Holder& HolderOf(UpstreamId upstream);
  bool IsLive(const Slot& slot) const {
    return m_holders[slot.upstream].generation == slot.generation;
  }
  std::size_t Home(const BlockKey& key) const;
  std::size_t Next(std::size_t place) const {
    return (place + 1) & (m_slots.size() - 1);
  }
  /// @return the slot of the pair, or the empty slot that ends the search
  std::size_t Find(UpstreamId upstream, const BlockKey& key) const;
  void EraseSlot(std::size_t place);
  void Rebuild();

  std::vector<Slot> m_slots;  ///< The size is a power of two, or zero.
  std::vector<Holder> m_holders;
  std::size_t m_used = 0;  ///< Non-empty slots, including outdated ones.
  std::size_t m_live = 0;  ///< Slots of the current generations.
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_PREFIX_INDEX_H_
