#include "jasminehatch/detail/config/config_fold.h"

#include <algorithm>

namespace jasminehatch::config {

ConfigFold::Result ConfigFold::Apply(Version offset,
                                     const ConfigChange& change) {
  if (offset <= m_last_offset) {
    return Result::kDuplicate;
  }
  SkipTo(offset);
  if (m_outcomes.contains(change.change_id)) {
    return Result::kDuplicate;
  }
  const Result result =
      change.base == m_version ? Result::kAccepted : Result::kRejected;
  Remember(offset, change.change_id, result);
  if (result == Result::kRejected) {
    return result;
  }
  for (const ConfigChange::Update& update : change.updates) {
    if (update.fields) {
      m_entries.insert_or_assign(update.id, *update.fields);
    } else {
      m_entries.erase(update.id);
    }
  }
  m_version = offset;
  return Result::kAccepted;
}

void ConfigFold::SkipTo(Version offset) {
  m_last_offset = std::max(m_last_offset, offset);
  while (!m_ids_by_offset.empty() &&
         m_ids_by_offset.front().first + kChangeIdWindow <= m_last_offset) {
    m_outcomes.erase(m_ids_by_offset.front().second);
    m_ids_by_offset.pop_front();
  }
}

void ConfigFold::Remember(Version offset,
                          const std::string& change_id,
                          Result result) {
  m_outcomes.emplace(change_id, Outcome{offset, result});
  m_ids_by_offset.emplace_back(offset, change_id);
}

std::optional<ConfigFold::Result> ConfigFold::OutcomeOf(
    const std::string& change_id) const {
  const auto outcome = m_outcomes.find(change_id);
  return outcome == m_outcomes.end()
             ? std::nullopt
             : std::optional<Result>(outcome->second.result);
}

std::vector<SnapshotPart> ConfigFold::ToParts(WallTime written) const {
  std::vector<SnapshotPart> parts(1);
  for (const auto& entry : m_entries) {
    if (parts.back().entries.size() == kSnapshotPartEntries) {
      parts.emplace_back();
    }
    parts.back().entries.push_back(entry);
  }
  for (const auto& [offset, id] : m_ids_by_offset) {
    if (parts.back().entries.size() + parts.back().outcomes.size() >=
        kSnapshotPartEntries) {
      parts.emplace_back();
    }
    parts.back().outcomes.push_back(
        {id, offset, m_outcomes.at(id).result == Result::kAccepted});
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].version = m_version;
    parts[i].covers = m_last_offset;
    parts[i].part = static_cast<std::uint32_t>(i);
    parts[i].count = static_cast<std::uint32_t>(parts.size());
    parts[i].written = written;
  }
  return parts;
}

ConfigFold ConfigFold::FromParts(std::span<const SnapshotPart> parts) {
  ConfigFold fold;
  std::vector<ChangeOutcome> outcomes;
  for (const SnapshotPart& part : parts) {
    fold.m_version = part.version;
    fold.m_last_offset = part.covers;
    fold.m_entries.insert(part.entries.begin(), part.entries.end());
    outcomes.insert(outcomes.end(), part.outcomes.begin(), part.outcomes.end());
  }
  std::sort(outcomes.begin(), outcomes.end(),
            [](const ChangeOutcome& left, const ChangeOutcome& right) {
              return left.offset < right.offset;
            });
  for (const ChangeOutcome& outcome : outcomes) {
    fold.Remember(outcome.offset, outcome.change_id,
                  outcome.accepted ? Result::kAccepted : Result::kRejected);
  }
  return fold;
}

}  // namespace jasminehatch::config
