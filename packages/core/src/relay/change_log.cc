#include "jasminehatch/detail/relay/change_log.h"

namespace jasminehatch::relay {
namespace {

/// Changes that are remembered.
constexpr std::size_t kMaxChanges = 4000;

}  // namespace

void ChangeLog::Restart(std::uint64_t epoch, std::uint64_t position) {
  m_epoch = epoch;
  m_first = position;
  m_position = position;
  m_changes = 0;
  m_pages.clear();
}

void ChangeLog::Add(std::uint64_t position,
                    std::span<const forwarding::CacheChange> changes) {
  m_position = position;
  if (changes.empty()) {
    return;
  }
  m_pages.push_back({position, {changes.begin(), changes.end()}});
  m_changes += changes.size();
  while (m_changes > kMaxChanges && m_pages.size() > 1) {
    m_first = m_pages.front().position;
    m_changes -= m_pages.front().changes.size();
    m_pages.pop_front();
  }
}

std::optional<ChangeLog::Delta> ChangeLog::Since(
    std::uint64_t epoch,
    std::uint64_t position,
    std::size_t max_changes) const {
  if (epoch != m_epoch || position < m_first || position > m_position) {
    return std::nullopt;
  }
  Delta delta;
  delta.position = m_position;
  std::uint64_t included = position;
  for (const Page& page : m_pages) {
    if (page.position <= position) {
      continue;
    }
    if (!delta.changes.empty() && delta.changes.size() >= max_changes) {
      delta.position = included;
      delta.more = true;
      return delta;
    }
    delta.changes.insert(delta.changes.end(), page.changes.begin(),
                         page.changes.end());
    included = page.position;
  }
  return delta;
}

}  // namespace jasminehatch::relay
