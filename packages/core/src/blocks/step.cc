#include "jasminehatch/detail/blocks/step.h"

#include <algorithm>
#include <utility>

#include "jasminehatch/detail/blocks/placement.h"
#include "jasminehatch/detail/blocks/state.h"

namespace jasminehatch::blocks {
namespace {

using Phase = Entry::Phase;
using Entries = std::map<BlockName, Entry>;

/// Applies one event to the state and collects the effects.
class Reducer {
 public:
  Reducer(State& state, MonotonicTime now) : m_state(state), m_now(now) {}

  void CheckPause();
  void Apply(const OwnershipStarted& event);
  void Apply(const OwnershipConfirmed& /*event*/) {
    m_state.confirmed = !m_state.tiers.empty();
  }
  void Apply(const OwnershipEnded& event);
  void Apply(const RunFinished& event);
  void Apply(const WriteReplied& event);
  void Apply(const WriteFailed& event);
  void Apply(const StoreListed& event);
  void Apply(const StoreLost& event);
  void Apply(const LinkObserved& event);
  void Apply(const GrantRequested& event);
  void Apply(const GrantEnded& event) { m_state.grants.erase(event.grant); }
  void Apply(const ReadMismatched& event);
  void Apply(const TimerFired& /*event*/) {}
  void RunDueWork();

  Effects TakeEffects() { return std::move(m_effects); }

 private:
  const Options& GetOptions() const { return m_state.options; }
  bool HasReaders(const BlockName& name) const;
  bool MayFree() const;
  bool IsLinkIdle(const State::TierState& tier) const;
  const Entries::value_type* FindCopy(const BlockKey& key,
                                      std::optional<StoreId> store) const;
  void StartWrite(const BlockKey& key, StoreId store, WriteBlock write);
  void SetPhase(Entries::value_type& entry, Phase phase);
  Entries::iterator Erase(Entries::iterator entry);
  void StartExports();
  void EvictExcess(State::TierState& tier);
  void FreeUnused();
  void RequestListings();

  State& m_state;
  MonotonicTime m_now;
  Effects m_effects;
};

// An owner that was paused may have missed replies, and orders of its successor
// may have changed the stores. Its entries are not readable until a listing
// confirms them.
void Reducer::CheckPause() {
  const bool paused = m_now - m_state.last_event > GetOptions().pause_threshold;
  m_state.last_event = m_now;
  if (!paused || m_state.tiers.empty()) {
    return;
  }
  // A successor may have granted reads of copies that this process would free.
  m_state.confirmed = false;
  m_effects.emplace_back(ConfirmOwnership{});
  for (auto& entry : m_state.entries) {
    if (entry.second.phase == Phase::kReadable) {
      SetPhase(entry, Phase::kUnvalidated);
    }
  }
  for (auto& [id, tier] : m_state.tiers) {
    tier.list_request = 0;
    tier.list_due = std::max(tier.list_due, m_now);
  }
}

void Reducer::Apply(const OwnershipStarted& event) {
  const Options options = m_state.options;
  m_state = State{};
  m_state.options = options;
  m_state.incarnation = event.incarnation;
  m_state.confirmed = true;
  m_state.started_at = m_now;
  m_state.last_event = m_now;
  for (const Tier& tier : event.tiers) {
    State::TierState& entry = m_state.tiers[tier.store];
    entry.tier = tier;
    // Orders of the previous owner may still be in flight and free copies that
    // an earlier listing shows.
    entry.list_due = m_now + GetOptions().max_order_delay;
  }
}

void Reducer::Apply(const OwnershipEnded& /*event*/) {
  for (auto& entry : m_state.entries) {
    SetPhase(entry, Phase::kUnvalidated);
  }
  const Options options = m_state.options;
  m_state = State{};
  m_state.options = options;
  m_state.last_event = m_now;
}

bool Reducer::HasReaders(const BlockName& name) const {
  return std::any_of(
      m_state.grants.begin(), m_state.grants.end(), [&name](const auto& grant) {
        const auto& names = grant.second.names;
        return std::find(names.begin(), names.end(), name) != names.end();
      });
}

// The grants of the previous owner are not known, so nothing is freed until
// those grants must have expired.
bool Reducer::MayFree() const {
  return m_state.confirmed && m_now > m_state.started_at +
                                          GetOptions().grant_duration +
                                          GetOptions().clock_margin;
}

bool Reducer::IsLinkIdle(const State::TierState& tier) const {
  return tier.imports == 0 &&
         tier.busy_seconds < GetOptions().idle_busy_seconds;
}

const Entries::value_type* Reducer::FindCopy(
    const BlockKey& key,
    std::optional<StoreId> store) const {
  for (auto entry = m_state.entries.lower_bound(BlockName{key, 0, 0});
       entry != m_state.entries.end() && entry->first.key == key; ++entry) {
    const bool readable = entry->second.phase == Phase::kReadable;
    if (store ? readable && entry->second.store == *store
              : entry->second.phase != Phase::kFreeing) {
      return &*entry;
    }
  }
  return nullptr;
}

void Reducer::StartWrite(const BlockKey& key, StoreId store, WriteBlock write) {
  write.name = {key, m_state.incarnation, m_state.next_sequence++};
  write.store = store;
  m_state.tiers.at(store).used_bytes += write.bytes;
  m_effects.emplace_back(write);
}

void Reducer::SetPhase(Entries::value_type& entry, Phase phase) {
  const bool was_readable = entry.second.phase == Phase::kReadable;
  entry.second.phase = phase;
  entry.second.since = m_now;
  if (was_readable != (phase == Phase::kReadable)) {
    m_effects.emplace_back(BlockAvailability{
        entry.second.store, entry.first.key, phase == Phase::kReadable});
  }
}

Entries::iterator Reducer::Erase(Entries::iterator entry) {
  if (entry->second.phase == Phase::kReadable) {
    SetPhase(*entry, Phase::kFreeing);
  }
  auto& used = m_state.tiers.at(entry->second.store).used_bytes;
  used -= std::min(used, entry->second.bytes);
  return m_state.entries.erase(entry);
}

void Reducer::Apply(const RunFinished& event) {
  UpdateUse(m_state.contexts[event.context], event.recompute_seconds_per_block,
            GetOptions(), m_now);
  if (!m_state.tiers.empty()) {
    m_state.exports.push_back({event, m_now});
  }
}

void Reducer::StartExports() {
  std::deque<State::Export> waiting;
  for (State::Export& item : std::exchange(m_state.exports, {})) {
    State::TierState& tier = m_state.tiers.begin()->second;
    const bool urgent = m_now - item.queued_at >= GetOptions().max_export_wait;
    // Before the first listing, an existing copy would be written again.
    if (tier.rebuilding || (!IsLinkIdle(tier) && !urgent)) {
      waiting.push_back(std::move(item));
      continue;
    }
    const ContextUse& use = m_state.contexts[item.run.context];
    if (!IsReuseExpected(use, GetOptions(), m_now)) {
      continue;
    }
    for (const BlockKey& key : item.run.keys) {
      if (FindCopy(key, std::nullopt) != nullptr) {
        continue;
      }
      WriteBlock write;
      write.from_upstream = item.run.upstream;
      write.bytes = item.run.block_bytes;
      StartWrite(key, tier.tier.store, write);
      Entry entry;
      entry.store = tier.tier.store;
      entry.context = item.run.context;
      entry.bytes = item.run.block_bytes;
      entry.since = m_now;
      m_state.entries.emplace(std::get<WriteBlock>(m_effects.back()).name,
                              entry);
    }
  }
  m_state.exports = std::move(waiting);
}

void Reducer::Apply(const WriteReplied& event) {
  const auto entry = m_state.entries.find(event.name);
  if (entry == m_state.entries.end() ||
      entry->second.phase != Phase::kWriting) {
    return;  // The write timed out before; a listing finds the orphan.
  }
  if (event.written != event.stored || event.stored.length == 0) {
    SetPhase(*entry, Phase::kFreeing);
    return;
  }
  entry->second.checksum = event.stored;
  SetPhase(*entry, Phase::kReadable);
  if (const auto source = entry->second.moved_from) {
    const auto old = m_state.entries.find(*source);
    if (old != m_state.entries.end()) {
      SetPhase(*old, Phase::kFreeing);
    }
  }
}

void Reducer::Apply(const WriteFailed& event) {
  const auto entry = m_state.entries.find(event.name);
  if (entry != m_state.entries.end() &&
      entry->second.phase == Phase::kWriting) {
    Erase(entry);
  }
}

void Reducer::Apply(const StoreListed& event) {
  const auto found = m_state.tiers.find(event.store);
  if (found == m_state.tiers.end() ||
      found->second.list_request != event.request) {
    return;  // An older listing may contain blocks that were freed since.
  }
  State::TierState& tier = found->second;
  tier.list_request = 0;
  tier.list_due = m_now + GetOptions().write_timeout;
  std::set<BlockName> listed;
  for (const ListedBlock& block : event.blocks) {
    listed.insert(block.name);
    const auto entry = m_state.entries.find(block.name);
    if (entry != m_state.entries.end()) {
      if (entry->second.phase == Phase::kUnvalidated) {
        SetPhase(*entry, block.checksum == entry->second.checksum
                             ? Phase::kReadable
                             : Phase::kFreeing);
      }
      continue;
    }
    if (tier.rebuilding && block.checksum &&
        block.name.writer != m_state.incarnation) {
      Entry adopted;
      adopted.store = event.store;
      adopted.checksum = *block.checksum;
      adopted.bytes = block.checksum->length;
      tier.used_bytes += adopted.bytes;
      auto& added = *m_state.entries.emplace(block.name, adopted).first;
      SetPhase(added, Phase::kReadable);
      m_state.contexts[adopted.context].last_used = m_now;
      continue;
    }
    const MonotonicTime first =
        m_state.orphans.try_emplace(block.name, m_now).first->second;
    if (m_now - first >= GetOptions().write_timeout && MayFree()) {
      m_state.orphans.erase(block.name);
      m_effects.emplace_back(FreeBlock{block.name, event.store});
    }
  }
  tier.rebuilding = false;
  for (auto entry = m_state.entries.begin(); entry != m_state.entries.end();) {
    const bool gone = entry->second.store == event.store &&
                      entry->second.phase == Phase::kUnvalidated &&
                      !listed.contains(entry->first);
    entry = gone ? Erase(entry) : std::next(entry);
  }
}

void Reducer::Apply(const StoreLost& event) {
  if (!m_state.tiers.contains(event.store)) {
    return;
  }
  for (auto entry = m_state.entries.begin(); entry != m_state.entries.end();) {
    entry =
        entry->second.store == event.store ? Erase(entry) : std::next(entry);
  }
  m_state.tiers.at(event.store).list_request = 0;
}

void Reducer::Apply(const LinkObserved& event) {
  const auto tier = m_state.tiers.find(event.store);
  if (tier != m_state.tiers.end()) {
    tier->second.busy_seconds = event.busy_seconds;
    tier->second.imports = event.imports;
  }
}

void Reducer::Apply(const GrantRequested& event) {
  GrantRead grant{
      event.grant, event.store, {}, m_now + GetOptions().grant_duration};
  State::Grant kept{{}, grant.until};
  for (const BlockKey& key : event.keys) {
    const auto* copy = FindCopy(key, event.store);
    if (copy == nullptr) {
      break;
    }
    grant.blocks.push_back({copy->first, copy->second.checksum});
    kept.names.push_back(copy->first);
  }
  if (grant.blocks.empty()) {
    m_effects.emplace_back(DenyRead{event.grant});
    return;
  }
  m_state.grants.insert_or_assign(event.grant, std::move(kept));
  m_effects.emplace_back(std::move(grant));
}

void Reducer::Apply(const ReadMismatched& event) {
  const auto entry = m_state.entries.find(event.name);
  if (entry != m_state.entries.end()) {
    SetPhase(*entry, Phase::kFreeing);
  }
}

// Moves the copies with the lowest value to the lower tier, or frees them.
void Reducer::EvictExcess(State::TierState& tier) {
  std::uint64_t used = tier.used_bytes;
  for (const auto& [name, entry] : m_state.entries) {
    const bool freeing =
        entry.store == tier.tier.store && entry.phase == Phase::kFreeing;
    used -= freeing ? std::min(used, entry.bytes) : 0;
    if (entry.phase == Phase::kWriting && entry.moved_from &&
        m_state.entries.contains(*entry.moved_from) &&
        m_state.entries.at(*entry.moved_from).store == tier.tier.store) {
      used -= std::min(used, entry.bytes);
    }
  }
  if (used <= tier.tier.capacity_bytes) {
    return;
  }
  std::vector<std::pair<double, BlockName>> values;
  for (const auto& [name, entry] : m_state.entries) {
    const bool moving =
        std::any_of(m_state.entries.begin(), m_state.entries.end(),
                    [&copied = name](const auto& other) {
                      return other.second.moved_from == copied;
                    });
    if (entry.store == tier.tier.store && entry.phase == Phase::kReadable &&
        !moving) {
      values.emplace_back(ValuePerByteHour(m_state.contexts[entry.context],
                                           entry.bytes, GetOptions(), m_now),
                          name);
    }
  }
  std::sort(values.begin(), values.end());
  for (const auto& [value, name] : values) {
    if (used <= tier.tier.capacity_bytes) {
      return;
    }
    auto& source = *m_state.entries.find(name);
    used -= std::min(used, source.second.bytes);
    const bool keep = tier.tier.lower &&
                      IsLinkIdle(m_state.tiers.at(*tier.tier.lower)) &&
                      IsReuseExpected(m_state.contexts[source.second.context],
                                      GetOptions(), m_now);
    if (!keep) {
      SetPhase(source, Phase::kFreeing);
      continue;
    }
    WriteBlock write;
    write.from_block = name;
    write.bytes = source.second.bytes;
    StartWrite(name.key, *tier.tier.lower, write);
    Entry moved;
    moved.store = *tier.tier.lower;
    moved.context = source.second.context;
    moved.bytes = source.second.bytes;
    moved.since = m_now;
    moved.moved_from = name;
    m_state.entries.emplace(std::get<WriteBlock>(m_effects.back()).name, moved);
  }
}

// Frees copies whose grants have all ended or expired.
void Reducer::FreeUnused() {
  std::erase_if(m_state.grants, [this](const auto& grant) {
    return m_now > grant.second.until + GetOptions().clock_margin;
  });
  for (auto entry = m_state.entries.begin(); entry != m_state.entries.end();) {
    if (entry->second.phase == Phase::kWriting &&
        m_now - entry->second.since >= GetOptions().write_timeout) {
      SetPhase(*entry, Phase::kFreeing);
    }
    if (entry->second.phase != Phase::kFreeing || !MayFree() ||
        HasReaders(entry->first)) {
      ++entry;
      continue;
    }
    m_effects.emplace_back(FreeBlock{entry->first, entry->second.store});
    entry = Erase(entry);
  }
}

void Reducer::RequestListings() {
  for (auto& [id, tier] : m_state.tiers) {
    if (m_now < tier.list_due) {
      continue;
    }
    tier.list_request = m_state.next_list++;
    // If the reply is lost, the listing is requested again.
    tier.list_due = m_now + GetOptions().max_order_delay;
    m_effects.emplace_back(ListStore{id, tier.list_request});
  }
}

void Reducer::RunDueWork() {
  if (m_state.tiers.empty()) {
    return;
  }
  m_state.timer = m_now + GetOptions().timer_interval;
  if (!m_state.confirmed) {
    return;
  }
  StartExports();
  for (auto& [id, tier] : m_state.tiers) {
    EvictExcess(tier);
  }
  FreeUnused();
  RequestListings();
}

}  // namespace

Effects Step(const Event& event, MonotonicTime now, State& state) {
  Reducer reducer(state, now);
  reducer.CheckPause();
  std::visit([&reducer](const auto& body) { reducer.Apply(body); }, event);
  reducer.RunDueWork();
  return reducer.TakeEffects();
}

}  // namespace jasminehatch::blocks
