#include "jasminehatch/detail/shedding/memory_ledger.h"

#include <algorithm>
#include <utility>

namespace jasminehatch::shedding {
namespace {

/// Idle connections and small bodies that are looked at to make room for one
/// request. They suffice for `kLargeBytes`, and a request for memory stays
/// cheap whatever the number of connections.
constexpr std::size_t kMaxSmallVictims = 64;

}  // namespace

MemoryLedger::Queue* MemoryLedger::QueueOf(const Holder& holder) {
  switch (holder.activity) {
    case Activity::kIdle:
      return &m_idle;
    case Activity::kReading:
      return IsLarge(holder) ? &m_large : &m_small;
    case Activity::kUnread:
      return IsLarge(holder) ? &m_large : nullptr;
    case Activity::kRunning:
    case Activity::kEnding:
      break;
  }
  return nullptr;
}

void MemoryLedger::Enqueue(ConnectionId id, const Holder& holder) {
  if (Queue* queue = QueueOf(holder)) {
    queue->emplace(holder.order, id);
  }
}

void MemoryLedger::Dequeue(const Holder& holder) {
  if (Queue* queue = QueueOf(holder)) {
    queue->erase(holder.order);
  }
}

void MemoryLedger::SetHolding(ConnectionId id,
                              Holder& holder,
                              Activity activity,
                              std::size_t bytes,
                              MonotonicTime now) {
  const bool was_large = IsLarge(holder);
  m_total = m_total - holder.bytes + bytes;
  if (IsLargeBody(holder.activity, holder.bytes)) {
    m_large_bodies -= holder.bytes;
  }
  if (IsLargeBody(activity, bytes)) {
    m_large_bodies += bytes;
  }
  if (activity == holder.activity && was_large == (bytes >= kLargeBytes)) {
    holder.bytes = bytes;
    return;
  }
  Dequeue(holder);
  holder.bytes = bytes;
  if (activity != holder.activity) {
    holder.activity = activity;
    holder.order = m_next_order++;
    holder.progress_at = now;
    holder.unmarked_progress = 0;
  }
  Enqueue(id, holder);
}

Decision MemoryLedger::Open(ConnectionId id, MonotonicTime now) {
  Decision decision;
  if (m_holders.size() >= m_options.connection_limit) {
    // Its caller opens a new connection for its next request.
    if (m_idle.empty()) {
      decision.granted = false;
      return decision;
    }
    const ConnectionId longest_idle = m_idle.begin()->second;
    SetHolding(longest_idle, m_holders.at(longest_idle), Activity::kEnding, 0,
               now);
    decision.dropped.push_back(longest_idle);
  }
  Decision room = MakeRoom(id, kConnectionBytes, 0, now);
  decision.granted = room.granted;
  decision.dropped.insert(decision.dropped.end(), room.dropped.begin(),
                          room.dropped.end());
  if (decision.granted) {
    m_total += kConnectionBytes;
    Holder holder;
    holder.order = m_next_order++;
    holder.progress_at = now;
    Enqueue(id, m_holders.emplace(id, holder).first->second);
  }
  return decision;
}

void MemoryLedger::Close(ConnectionId id) {
  const auto found = m_holders.find(id);
  if (found == m_holders.end()) {
    return;
  }
  SetHolding(id, found->second, Activity::kEnding, 0, MonotonicTime());
  m_total -= kConnectionBytes;
  m_holders.erase(found);
}

Decision MemoryLedger::Update(ConnectionId id,
                              Activity activity,
                              std::size_t bytes,
                              MonotonicTime now) {
  Decision decision;
  const auto found = m_holders.find(id);
  if (found == m_holders.end()) {
    return decision;
  }
  Holder& holder = found->second;
  const std::size_t more = bytes - std::min(bytes, holder.bytes);
  std::size_t more_large = 0;
  if (IsLargeBody(activity, bytes)) {
    more_large = IsLargeBody(holder.activity, holder.bytes) ? more : bytes;
  }
  // A connection that ends needs room for its refusal only.
  if (more > 0 && activity != Activity::kEnding) {
    decision = MakeRoom(id, more, more_large, now);
  }
  if (decision.granted) {
    SetHolding(id, holder, activity, bytes, now);
  }
  return decision;
}

void MemoryLedger::AddProgress(ConnectionId id,
                               std::size_t bytes,
                               MonotonicTime now) {
  const auto found = m_holders.find(id);
  if (found == m_holders.end()) {
    return;
  }
  Holder& holder = found->second;
  holder.unmarked_progress += bytes;
  if (holder.unmarked_progress >= kProgressBytes) {
    holder.unmarked_progress = 0;
    holder.progress_at = now;
  }
}

MonotonicTime MemoryLedger::ProgressAt(ConnectionId id) const {
  const auto found = m_holders.find(id);
  return found == m_holders.end() ? MonotonicTime() : found->second.progress_at;
}

void MemoryLedger::AddRunning(std::size_t bytes) {
  m_total += bytes;
  m_large_bodies += bytes >= kLargeBytes ? bytes : 0;
}

void MemoryLedger::RemoveRunning(std::size_t bytes) {
  m_total -= bytes;
  m_large_bodies -= bytes >= kLargeBytes ? bytes : 0;
}

bool MemoryLedger::Fits(std::size_t more, std::size_t more_large) const {
  const std::size_t limit = m_options.limit_bytes;
  const std::size_t large_limit = m_options.LargeLimit();
  return m_total <= limit && more <= limit - m_total &&
         (more_large == 0 || (m_large_bodies <= large_limit &&
                              more_large <= large_limit - m_large_bodies));
}

bool MemoryLedger::ChooseVictims(ConnectionId asker,
                                 std::size_t more,
                                 std::size_t more_large,
                                 MonotonicTime now,
                                 std::vector<ConnectionId>& victims) const {
  const std::size_t limit = m_options.limit_bytes;
  const std::size_t large_limit = m_options.LargeLimit();
  std::size_t freed = 0;
  std::size_t freed_large = 0;
  const auto fits = [&] {
    return m_total - freed + more <= limit &&
           (more_large == 0 ||
            m_large_bodies - freed_large + more_large <= large_limit);
  };
  const auto drop = [&](ConnectionId id) {
    const Holder& holder = m_holders.at(id);
    victims.push_back(id);
    freed += holder.bytes;
    if (IsLargeBody(holder.activity, holder.bytes)) {
      freed_large += holder.bytes;
    }
  };
  const auto is_stalled = [&](ConnectionId id) {
    return now - m_holders.at(id).progress_at >= kStallTime;
  };
  // The queue of large holders is short: the limit divided by `kLargeBytes`.
  for (auto it = m_large.rbegin(); it != m_large.rend() && !fits(); ++it) {
    if (it->second != asker && is_stalled(it->second)) {
      drop(it->second);
    }
  }
  if (more_large > 0) {
    return fits();
  }
  for (auto it = m_large.rbegin(); it != m_large.rend() && !fits(); ++it) {
    if (it->second != asker && !is_stalled(it->second)) {
      drop(it->second);
    }
  }
  std::size_t looked_at = 0;
  for (auto it = m_idle.begin();
       it != m_idle.end() && !fits() && looked_at < kMaxSmallVictims;
       ++it, ++looked_at) {
    if (it->second != asker) {
      drop(it->second);
      freed += kConnectionBytes;
    }
  }
  looked_at = 0;
  for (auto it = m_small.rbegin();
       it != m_small.rend() && !fits() && looked_at < kMaxSmallVictims;
       ++it, ++looked_at) {
    if (it->second != asker && is_stalled(it->second)) {
      drop(it->second);
    }
  }
  return fits();
}

Decision MemoryLedger::MakeRoom(ConnectionId asker,
                                std::size_t more,
                                std::size_t more_large,
                                MonotonicTime now) {
  Decision decision;
  if (Fits(more, more_large)) {
    return decision;
  }
  std::vector<ConnectionId> victims;
  decision.granted = more <= m_options.limit_bytes &&
                     ChooseVictims(asker, more, more_large, now, victims);
  if (!decision.granted) {
    return decision;
  }
  for (const ConnectionId id : victims) {
    SetHolding(id, m_holders.at(id), Activity::kEnding, 0, now);
  }
  decision.dropped = std::move(victims);
  return decision;
}

}  // namespace jasminehatch::shedding
