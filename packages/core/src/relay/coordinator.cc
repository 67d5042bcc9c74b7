#include "jasminehatch/detail/relay/coordinator.h"

#include <chrono>
#include <utility>

namespace jasminehatch::relay {
namespace {

/// Smallest number of daemons in a zone that relay. With fewer, the reads that
/// it saves do not outweigh the delay.
constexpr std::size_t kMinDaemons = 5;

/// Time after which a poll counts as unanswered.
constexpr std::chrono::milliseconds kAnswerTimeout{250};

/// How long a reader that did not answer is passed over.
constexpr std::chrono::milliseconds kPassOverTime{1000};

}  // namespace

void Coordinator::PassOverSilentReaders(MonotonicTime now) {
  std::erase_if(m_awaited, [&](const auto& entry) {
    if (now - entry.second.sent_at < kAnswerTimeout) {
      return false;
    }
    ++m_unanswered;
    m_passed_over_until[entry.first] = now + kPassOverTime;
    return true;
  });
  std::erase_if(m_passed_over_until,
                [now](const auto& entry) { return entry.second <= now; });
}

std::vector<ReaderCandidate> Coordinator::Candidates(
    std::span<const ReaderCandidate> peers) const {
  std::vector<ReaderCandidate> candidates{m_self};
  for (const ReaderCandidate& peer : peers) {
    if (!m_passed_over_until.contains(peer.name)) {
      candidates.push_back(peer);
    }
  }
  return candidates;
}

Coordinator::Plan Coordinator::Tick(std::span<const ReaderCandidate> peers,
                                    MonotonicTime now) {
  PassOverSilentReaders(now);
  Plan plan;
  if (peers.size() + 1 < kMinDaemons) {
    for (const std::string& feed : m_feeds) {
      plan.roles[feed] = FeedRole::kIndependent;
    }
    return plan;
  }
  const std::vector<ReaderCandidate> candidates = Candidates(peers);
  std::map<std::string, std::vector<std::string>> feeds_by_reader;
  for (const std::string& feed : m_feeds) {
    const std::string& reader = ChooseReader(feed, candidates).name;
    if (reader == m_self.name) {
      plan.roles[feed] = FeedRole::kReader;
    } else {
      plan.roles[feed] = FeedRole::kFollower;
      feeds_by_reader[reader].push_back(feed);
    }
  }
  for (auto& [reader, feeds] : feeds_by_reader) {
    // An answer that is still awaited would be lost by a newer poll.
    if (!m_awaited.contains(reader)) {
      plan.polls.push_back(PollAgain(reader, std::move(feeds), now));
    }
  }
  return plan;
}

Coordinator::Poll Coordinator::PollAgain(const std::string& reader,
                                         std::vector<std::string> feeds,
                                         MonotonicTime now) {
  const std::uint64_t sequence = ++m_sequence;
  m_awaited[reader] = {sequence, now};
  return {reader, sequence, std::move(feeds)};
}

std::optional<MonotonicTime> Coordinator::OnAnswer(const std::string& reader,
                                                   std::uint64_t sequence) {
  const auto awaited = m_awaited.find(reader);
  if (awaited == m_awaited.end() || awaited->second.sequence != sequence) {
    return std::nullopt;
  }
  const MonotonicTime sent_at = awaited->second.sent_at;
  m_awaited.erase(awaited);
  return sent_at;
}

}  // namespace jasminehatch::relay
