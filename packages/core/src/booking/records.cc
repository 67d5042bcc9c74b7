#include <utility>
#include <vector>

#include "reducer.h"

namespace jasminehatch::booking {

void Reducer::Apply(const RecordsRead& event) {
  m_state.wall_now = event.wall_now;
  for (const LogEntry& entry : event.entries) {
    const BookingIndex::Change change = m_state.index.Apply(entry);
    const auto [id, key] = std::visit(
        [](const auto& body) { return std::pair(&body.id, &body.key); }, entry);
    const auto claim =
        IsOwn(*id) ? m_state.claims.find(id->sequence) : m_state.claims.end();
    const bool claimed = claim != m_state.claims.end();
    if (std::holds_alternative<Intent>(entry)) {
      if (MarkEndedBelow(id->daemon, id->incarnation)) {
        RefuseAllUnservableWaiters();
      }
      if (change == BookingIndex::Change::kWon) {
        RefuseUnservableWaiters(*m_state.index.Find(*key));
      }
      if (claimed) {
        OnOwnIntent(claim, change);
      }
      continue;
    }
    const bool is_void = std::holds_alternative<Void>(entry);
    if (claimed && claim->second.phase ==
                       (is_void ? Phase::kVoiding : Phase::kRecording)) {
      EndClaim(claim);
    }
    if (change == BookingIndex::Change::kCompleted) {
      RespondToWaiters(*key, *m_state.index.Find(*key));
    } else if (change == BookingIndex::Change::kVoided) {
      AppendIntentForWaiters(*key);
    }
  }
  ForgetOldKeys(event.wall_now);
}

void Reducer::ForgetOldKeys(WallTime wall_now) {
  const WallTime limit =
      wall_now - m_state.options.key_window - m_state.options.clock_skew;
  if (!m_state.index.ForgetBefore(limit)) {
    return;
  }
  // The index has no intent of a process that was last seen before the limit.
  std::erase_if(m_state.processes, [limit](const auto& process) {
    return process.second.last_seen < limit;
  });
}

bool Reducer::IsOutcomeLost(const IntentId& id) const {
  if (IsOwn(id)) {
    return !m_state.claims.contains(id.sequence);
  }
  if (id.daemon == m_state.daemon && id.incarnation < m_state.incarnation) {
    return true;
  }
  const auto process = m_state.processes.find(id.daemon);
  return process != m_state.processes.end() &&
         id.incarnation < process->second.ended_below;
}

bool Reducer::MarkEndedBelow(const std::string& daemon,
                             std::uint64_t incarnation) {
  KnownProcess& process = m_state.processes[daemon];
  process.last_seen = m_state.wall_now;
  if (incarnation <= process.ended_below) {
    return false;
  }
  process.ended_below = incarnation;
  return true;
}

void Reducer::Apply(const ProcessGone& event) {
  if (event.daemon == m_state.daemon &&
      event.incarnation >= m_state.incarnation) {
    return;
  }
  if (MarkEndedBelow(event.daemon, event.incarnation + 1)) {
    RefuseAllUnservableWaiters();
  }
}

void Reducer::RefuseAllUnservableWaiters() {
  std::vector<const BookingIndex::Entry*> entries;
  for (const auto& [key, requests] : m_state.waiters_of_key) {
    const BookingIndex::Entry* entry = m_state.index.Find(key);
    if (entry != nullptr) {
      entries.push_back(entry);
    }
  }
  for (const BookingIndex::Entry* entry : entries) {
    RefuseUnservableWaiters(*entry);
  }
}

}  // namespace jasminehatch::booking
