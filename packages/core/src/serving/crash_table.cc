#include "jasminehatch/detail/serving/crash_table.h"

#include <algorithm>

namespace jasminehatch::serving {

CrashTable::Entry& CrashTable::Touch(const Fingerprint& fingerprint,
                                     MonotonicTime now) {
  const auto found = m_entries.find(fingerprint);
  if (found != m_entries.end()) {
    Entry& entry = found->second;
    auto& list = ListOf(entry);
    if (entry.until > now) {
      list.splice(list.end(), list, entry.place);
      return entry;
    }
    Erase(fingerprint);
  }
  if (m_entries.size() >= m_capacity) {
    Erase(m_suspects.empty() ? m_quarantined.front() : m_suspects.front());
  }
  Entry& entry = m_entries[fingerprint];
  entry.place = m_suspects.insert(m_suspects.end(), fingerprint);
  return entry;
}

void CrashTable::Erase(const Fingerprint& fingerprint) {
  const auto found = m_entries.find(fingerprint);
  const Entry entry = found->second;
  // `fingerprint` may refer to the list element, so that is erased last.
  m_entries.erase(found);
  ListOf(entry).erase(entry.place);
}

std::uint32_t CrashTable::AddLoss(const Fingerprint& fingerprint,
                                  MonotonicTime now,
                                  MonotonicTime until) {
  Entry& entry = Touch(fingerprint, now);
  entry.until = std::max(entry.until, until);
  return ++entry.losses;
}

void CrashTable::Quarantine(const Fingerprint& fingerprint,
                            MonotonicTime now,
                            MonotonicTime until) {
  Entry& entry = Touch(fingerprint, now);
  entry.until = entry.quarantined ? std::max(entry.until, until) : until;
  if (!entry.quarantined) {
    m_quarantined.splice(m_quarantined.end(), m_suspects, entry.place);
    entry.quarantined = true;
  }
}

bool CrashTable::Clear(const Fingerprint& fingerprint) {
  const auto found = m_entries.find(fingerprint);
  if (found == m_entries.end() || found->second.quarantined) {
    return false;
  }
  Erase(fingerprint);
  return true;
}

bool CrashTable::IsSuspect(const Fingerprint& fingerprint,
                           MonotonicTime now) const {
  const auto found = m_entries.find(fingerprint);
  return found != m_entries.end() && found->second.until > now &&
         found->second.losses > 0;
}

std::optional<Duration> CrashTable::QuarantineLeft(
    const Fingerprint& fingerprint,
    MonotonicTime now) const {
  const auto found = m_entries.find(fingerprint);
  if (found == m_entries.end() || !found->second.quarantined ||
      found->second.until <= now) {
    return std::nullopt;
  }
  return found->second.until - now;
}

std::vector<Fingerprint> CrashTable::Quarantined(std::size_t max_count,
                                                 MonotonicTime now) const {
  std::vector<Fingerprint> found;
  for (auto fingerprint = m_quarantined.rbegin();
       fingerprint != m_quarantined.rend() && found.size() < max_count;
       ++fingerprint) {
    if (IsQuarantined(*fingerprint, now)) {
      found.push_back(*fingerprint);
    }
  }
  return found;
}

}  // namespace jasminehatch::serving
