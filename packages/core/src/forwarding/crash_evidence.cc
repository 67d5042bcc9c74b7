#include "jasminehatch/detail/forwarding/crash_evidence.h"

#include <algorithm>

namespace jasminehatch::forwarding {
namespace {

/// Memory of a part without its crashes: the nodes of the map and of the list.
constexpr std::size_t kBytesPerPart = 128;

}  // namespace

std::size_t CrashEvidence::BytesOf(std::size_t crashes) {
  // A vector may have twice the capacity that it needs.
  return kBytesPerPart + 2 * crashes * sizeof(PartCrash);
}

bool CrashEvidence::Add(std::uint64_t part,
                        const PartCrash& crash,
                        MonotonicTime now) {
  const Crashes* known = Find(part);
  Crashes crashes = known == nullptr ? Crashes{} : *known;
  std::erase_if(crashes, [&](const PartCrash& other) {
    return now - other.at > kLifetime;
  });
  const auto is_same = [&](const PartCrash& other) {
    return other.upstream == crash.upstream;
  };
  if (crashes.size() == kMaxCrashesPerPart ||
      std::any_of(crashes.begin(), crashes.end(), is_same)) {
    return false;
  }
  // Taken out meanwhile, the part itself is not dropped.
  Erase(part);
  MakeRoom(BytesOf(crashes.size() + 1), now);
  const auto place =
      std::upper_bound(crashes.begin(), crashes.end(), crash,
                       [](const PartCrash& left, const PartCrash& right) {
                         return left.at < right.at;
                       });
  crashes.insert(place, crash);
  Entry& entry = m_entries[part];
  entry.crashes = std::move(crashes);
  auto& parts = ListOf(entry);
  entry.place = parts.insert(parts.end(), part);
  m_bytes += BytesOf(entry.crashes.size());
  return true;
}

void CrashEvidence::Erase(std::uint64_t part) {
  const auto found = m_entries.find(part);
  if (found == m_entries.end()) {
    return;
  }
  const Entry& entry = found->second;
  m_bytes -= BytesOf(entry.crashes.size());
  ListOf(entry).erase(entry.place);
  m_entries.erase(found);
}

const CrashEvidence::Crashes* CrashEvidence::Find(std::uint64_t part) const {
  const auto found = m_entries.find(part);
  return found == m_entries.end() ? nullptr : &found->second.crashes;
}

bool CrashEvidence::IsExpired(std::uint64_t part, MonotonicTime now) const {
  return now - Find(part)->back().at > kLifetime;
}

void CrashEvidence::MakeRoom(std::size_t bytes, MonotonicTime now) {
  if (m_bytes + bytes <= kMaxBytes) {
    return;
  }
  for (auto& parts : m_parts) {
    while (!parts.empty() && IsExpired(parts.front(), now)) {
      Erase(parts.front());
    }
  }
  for (auto& parts : m_parts) {
    while (!parts.empty() && m_bytes + bytes > kMaxBytes) {
      Erase(parts.front());
    }
  }
}

}  // namespace jasminehatch::forwarding
