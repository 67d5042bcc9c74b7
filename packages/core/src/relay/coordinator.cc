#include "jasminehatch/detail/relay/coordinator.h"

#include <algorithm>
#include <chrono>
#include <iterator>
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

/// A daemon that read a feed within this time goes on at once after it left the
/// feed to a better candidate whose reads still fail.
constexpr std::chrono::milliseconds kRecentReadTime{3000};

/// Removes the candidates that have failed, unless all have.
void KeepThoseThatHaveNotFailed(const FailingReaders& failing,
                                MonotonicTime now,
                                std::vector<ReaderCandidate>& candidates) {
  const auto has_failed = [&](const ReaderCandidate& candidate) {
    return failing.HasFailed(candidate.name, now);
  };
  if (!std::all_of(candidates.begin(), candidates.end(), has_failed)) {
    std::erase_if(candidates, has_failed);
  }
}

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

void Coordinator::RemoveFeed(const std::string& feed) {
  m_feeds.erase(feed);
  m_failing.erase(feed);
  m_reading.erase(feed);
  m_read_at.erase(feed);
}

bool Coordinator::OnReadPause(const std::string& feed,
                              const std::string& daemon,
                              Duration pause,
                              MonotonicTime now) {
  if (pause > Duration::zero()) {
    return m_failing[feed].Report(daemon, now + pause, now);
  }
  m_failing[feed].Clear(daemon);
  if (daemon == m_self.name && m_reading.contains(feed)) {
    m_read_at[feed] = now;
  }
  return false;
}

MonotonicTime Coordinator::DeferredUntil(const std::string& feed,
                                         MonotonicTime now) const {
  const auto found = m_failing.find(feed);
  return found == m_failing.end() ? MonotonicTime{}
                                  : found->second.DeferredUntil(now);
}

bool Coordinator::MayRead(const std::string& feed, MonotonicTime now) const {
  const auto read_at = m_read_at.find(feed);
  const auto failing = m_failing.find(feed);
  return failing == m_failing.end() || failing->second.MayTry(now) ||
         (read_at != m_read_at.end() &&
          now - read_at->second <= kRecentReadTime);
}

const ReaderCandidate& Coordinator::ChooseReaderOf(
    const std::string& feed,
    const std::vector<ReaderCandidate>& candidates,
    MonotonicTime now) {
  const FailingReaders& failing = m_failing[feed];
  std::vector<ReaderCandidate> readable;
  std::copy_if(candidates.begin(), candidates.end(),
               std::back_inserter(readable),
               [&](const ReaderCandidate& candidate) {
                 return !failing.IsFailing(candidate.name, now);
               });
  if (failing.IsUnavailable(now)) {
    KeepThoseThatHaveNotFailed(failing, now, readable);
  }
  const std::string chosen =
      ChooseReader(feed, readable.empty() ? candidates : readable).name;
  const bool wait = chosen == m_self.name && !readable.empty() &&
                    candidates.size() > 1 && !MayRead(feed, now);
  if (wait) {
    // Meanwhile the others are polled, so that their silence is noticed.
    return ChooseReader(feed, std::span(candidates).subspan(1));
  }
  return *std::find_if(candidates.begin(), candidates.end(),
                       [&](const ReaderCandidate& candidate) {
                         return candidate.name == chosen;
                       });
}

std::set<std::string> Coordinator::ReadersOf(
    const std::string& feed,
    const std::vector<ReaderCandidate>& candidates,
    MonotonicTime now) {
  std::set<std::string> readers{ChooseReaderOf(feed, candidates, now).name};
  if (m_failing[feed].IsUnavailable(now)) {
    // The best candidate retries for all, and the others try in turn.
    readers.insert(ChooseReader(feed, candidates).name);
  }
  return readers;
}

Coordinator::Plan Coordinator::Tick(std::span<const ReaderCandidate> peers,
                                    MonotonicTime now,
                                    std::size_t recent_daemons) {
  PassOverSilentReaders(now);
  Plan plan;
  if (peers.empty() ||
      std::max(peers.size() + 1, recent_daemons) < kMinDaemons) {
    m_reading.clear();
    for (const std::string& feed : m_feeds) {
      plan.roles[feed] = FeedRole::kIndependent;
    }
    return plan;
  }
  const std::vector<ReaderCandidate> candidates = Candidates(peers);
  std::map<std::string, std::vector<std::string>> feeds_by_reader;
  for (const std::string& feed : m_feeds) {
    const std::set<std::string> readers = ReadersOf(feed, candidates, now);
    const bool reads = readers.contains(m_self.name);
    plan.roles[feed] = reads ? FeedRole::kReader : FeedRole::kFollower;
    if (reads) {
      m_reading.insert(feed);
    } else {
      m_reading.erase(feed);
    }
    for (const std::string& reader : readers) {
      if (reader != m_self.name) {
        feeds_by_reader[reader].push_back(feed);
      }
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
