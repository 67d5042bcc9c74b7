#include "jasminehatch/detail/serving/prefix_index.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <utility>

namespace jasminehatch::serving {
namespace {

constexpr std::size_t kMinSlots = 64;

/// @return the maximum number of used slots; above this load factor, long probe
/// sequences slow down searches
constexpr std::size_t MaxUsed(std::size_t slots) {
  return slots / 4 * 3;
}

}  // namespace

PrefixIndex::Holder& PrefixIndex::HolderOf(UpstreamId upstream) {
  if (upstream.value >= m_holders.size()) {
    m_holders.resize(upstream.value + 1);
  }
  return m_holders[upstream.value];
}

std::size_t PrefixIndex::Home(const BlockKey& key) const {
  // The multiplication spreads keys that differ only in a few bits.
  return (std::hash<BlockKey>{}(key)*0x9E3779B97F4A7C15ULL >> 20U) &
         (m_slots.size() - 1);
}

std::size_t PrefixIndex::Find(UpstreamId upstream, const BlockKey& key) const {
  std::size_t place = Home(key);
  while (m_slots[place].upstream != kEmpty &&
         (m_slots[place].upstream != upstream.value ||
          m_slots[place].key != key)) {
    place = Next(place);
  }
  return place;
}

void PrefixIndex::Add(UpstreamId upstream, const BlockKey& key) {
  Holder& holder = HolderOf(upstream);
  if (m_used >= MaxUsed(m_slots.size())) {
    Rebuild();
  }
  Slot& slot = m_slots[Find(upstream, key)];
  if (slot.upstream != kEmpty && slot.generation == holder.generation) {
    return;
  }
  m_used += slot.upstream == kEmpty ? 1 : 0;
  slot = {key, upstream.value, holder.generation};
  ++holder.blocks;
  ++m_live;
}

void PrefixIndex::Evict(UpstreamId upstream, const BlockKey& key) {
  if (m_slots.empty()) {
    return;
  }
  const std::size_t place = Find(upstream, key);
  if (m_slots[place].upstream == kEmpty) {
    return;
  }
  if (IsLive(m_slots[place])) {
    --HolderOf(upstream).blocks;
    --m_live;
  }
  EraseSlot(place);
}

void PrefixIndex::EraseSlot(std::size_t place) {
  // Shifts later entries of the probe sequence back, so that no search ends
  // early.
  std::size_t hole = place;
  for (std::size_t next = Next(hole); m_slots[next].upstream != kEmpty;
       next = Next(next)) {
    const std::size_t mask = m_slots.size() - 1;
    const std::size_t from_home = (next - Home(m_slots[next].key)) & mask;
    const std::size_t from_hole = (next - hole) & mask;
    if (from_home >= from_hole) {
      m_slots[hole] = m_slots[next];
      hole = next;
    }
  }
  m_slots[hole] = Slot{};
  --m_used;
}

void PrefixIndex::Clear(UpstreamId upstream) {
  Holder& holder = HolderOf(upstream);
  m_live -= std::exchange(holder.blocks, 0);
  ++holder.generation;
}

void PrefixIndex::SetTrusted(UpstreamId upstream, bool trusted) {
  HolderOf(upstream).trusted = trusted;
}

void PrefixIndex::Rebuild() {
  // At most 9/16 of the slots are used after a rebuild.
  const std::size_t size =
      std::max(kMinSlots, std::bit_ceil(m_live * 16 / 9 + 1));
  const auto old = std::exchange(m_slots, std::vector<Slot>(size));
  m_used = 0;
  for (const Slot& slot : old) {
    if (slot.upstream != kEmpty && IsLive(slot)) {
      m_slots[Find(UpstreamId{slot.upstream}, slot.key)] = slot;
      ++m_used;
    }
  }
}

std::vector<PrefixIndex::Match> PrefixIndex::FindHolders(
    std::span<const BlockKey> keys) const {
  std::vector<Match> matches;
  if (m_live == 0 || keys.empty()) {
    return matches;
  }
  std::vector<std::uint32_t> blocks(m_holders.size());
  for (std::uint32_t i = 0; i < keys.size(); ++i) {
    bool extended = false;
    for (std::size_t place = Home(keys[i]); m_slots[place].upstream != kEmpty;
         place = Next(place)) {
      const Slot& slot = m_slots[place];
      if (slot.key != keys[i] || blocks[slot.upstream] != i || !IsLive(slot) ||
          !m_holders[slot.upstream].trusted) {
        continue;
      }
      blocks[slot.upstream] = i + 1;
      extended = true;
      if (i == 0) {
        matches.push_back({UpstreamId{slot.upstream}, 1});
      }
    }
    if (!extended) {
      break;
    }
  }
  std::sort(matches.begin(), matches.end(), [](const Match& a, const Match& b) {
    return a.upstream < b.upstream;
  });
  for (Match& match : matches) {
    match.blocks = blocks[match.upstream.value];
  }
  return matches;
}

}  // namespace jasminehatch::serving
