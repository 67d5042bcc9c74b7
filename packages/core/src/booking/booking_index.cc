#include "jasminehatch/detail/booking/booking_index.h"

#include <algorithm>
#include <chrono>

namespace jasminehatch::booking {
namespace {

WallTime FullMinute(WallTime time) {
  return std::chrono::floor<std::chrono::minutes>(time);
}

}  // namespace

BookingIndex::Change BookingIndex::Apply(const LogEntry& entry) {
  if (const auto* intent = std::get_if<Intent>(&entry)) {
    return ApplyIntent(*intent);
  }
  if (const auto* outcome = std::get_if<Outcome>(&entry)) {
    return ApplyOutcome(*outcome);
  }
  return ApplyVoid(std::get<Void>(entry));
}

BookingIndex::KeyState& BookingIndex::KeyStateOf(const BookingKey& key,
                                                 WallTime key_time) {
  const auto [state, inserted] = m_keys.try_emplace(key);
  if (inserted) {
    m_buckets[FullMinute(key_time)].push_back(&state->first);
  }
  return state->second;
}

bool BookingIndex::Close(KeyState& state, const IntentId& id) {
  const auto place =
      std::lower_bound(state.closed.begin(), state.closed.end(), id);
  if (place != state.closed.end() && *place == id) {
    return false;
  }
  state.closed.insert(place, id);
  return true;
}

BookingIndex::Change BookingIndex::ApplyIntent(const Intent& intent) {
  if (intent.key_time < m_floor) {
    return Change::kExpired;
  }
  KeyState& state = KeyStateOf(intent.key, intent.key_time);
  if (std::binary_search(state.closed.begin(), state.closed.end(), intent.id)) {
    return Change::kNone;
  }
  if (!state.live) {
    state.live = Entry{intent, std::nullopt};
    ++m_live;
    return Change::kWon;
  }
  if (state.live->intent.id == intent.id) {
    return Change::kNone;
  }
  Close(state, intent.id);
  return Change::kLost;
}

BookingIndex::Change BookingIndex::ApplyOutcome(const Outcome& outcome) {
  const auto state = m_keys.find(outcome.key);
  if (state == m_keys.end() || !state->second.live ||
      state->second.live->intent.id != outcome.id ||
      state->second.live->outcome) {
    return Change::kNone;
  }
  state->second.live->outcome = outcome;
  return Change::kCompleted;
}

BookingIndex::Change BookingIndex::ApplyVoid(const Void& entry) {
  if (entry.key_time < m_floor) {
    return Change::kNone;
  }
  KeyState& state = KeyStateOf(entry.key, entry.key_time);
  const bool live = state.live && state.live->intent.id == entry.id;
  if (live && state.live->outcome) {
    return Change::kNone;
  }
  Close(state, entry.id);
  if (!live) {
    return Change::kNone;
  }
  state.live.reset();
  --m_live;
  return Change::kVoided;
}

const BookingIndex::Entry* BookingIndex::Find(const BookingKey& key) const {
  const auto state = m_keys.find(key);
  return state == m_keys.end() || !state->second.live ? nullptr
                                                      : &*state->second.live;
}

bool BookingIndex::ForgetBefore(WallTime limit) {
  const WallTime floor = FullMinute(limit);
  if (floor <= m_floor) {
    return false;
  }
  m_floor = floor;
  while (!m_buckets.empty() && m_buckets.begin()->first < m_floor) {
    for (const BookingKey* key : m_buckets.begin()->second) {
      const auto state = m_keys.find(*key);
      m_live -= state->second.live ? 1U : 0U;
      m_keys.erase(state);
    }
    m_buckets.erase(m_buckets.begin());
  }
  return true;
}

}  // namespace jasminehatch::booking
