#ifndef JASMINEHATCH_DETAIL_RELAY_COORDINATOR_H_
#define JASMINEHATCH_DETAIL_RELAY_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/relay/failing_readers.h"
#include "jasminehatch/detail/relay/feed_role.h"
#include "jasminehatch/detail/relay/reader_ranking.h"

namespace jasminehatch::relay {

/// @brief Decides which daemon of a zone reads each feed, and whom this daemon
/// polls for the feeds that others read.
///
/// Daemons agree without messages of their own: each chooses among the peers
/// that it considers live. Two daemons that both read a feed are harmless, and
/// a reader that does not answer is passed over, and one that reports that its
/// reads fail is replaced by the next one. Nothing here bounds the age of
/// what a follower knows: a feed reads by itself when that is too old.
class Coordinator {
 public:
  /// @brief Feeds to ask a reader for.
  struct Poll {
    std::string reader;
    std::uint64_t sequence = 0;  ///< Comes back with the answer.
    std::vector<std::string> feeds;
  };

  /// @brief What to do now.
  struct Plan {
    std::map<std::string, FeedRole> roles;  ///< Of each feed.
    std::vector<Poll> polls;
  };

  explicit Coordinator(ReaderCandidate self) : m_self(std::move(self)) {}

  void AddFeed(const std::string& feed) { m_feeds.insert(feed); }
  void RemoveFeed(const std::string& feed);

  /// @brief Decides the roles and polls of one interval.
  /// @param peers live daemons of the zone, without this one
  /// @param recent_daemons daemons of the zone that were live recently, with
  /// this one. A large zone relays also while few of them are visible.
  Plan Tick(std::span<const ReaderCandidate> peers,
            MonotonicTime now,
            std::size_t recent_daemons = 0);

  /// @brief Asks the same reader again, because its answer was not complete.
  Poll PollAgain(const std::string& reader,
                 std::vector<std::string> feeds,
                 MonotonicTime now);

  /// @brief Records an answer.
  /// @return when its poll was sent; nothing unless it answers the latest poll
  /// of that reader, whose answer is still awaited
  std::optional<MonotonicTime> OnAnswer(const std::string& reader,
                                        std::uint64_t sequence);

  /// @brief Records what a daemon, or this one, reports of its own reads.
  /// @param pause time for which it does not read because its reads fail; zero
  /// if they do not
  /// @return whether this is a failure that was not known, so that a tick now
  /// may choose another reader
  bool OnReadPause(const std::string& feed,
                   const std::string& daemon,
                   Duration pause,
                   MonotonicTime now);

  /// Records that an answer had something about a feed.
  void OnFeedAnswered(const std::string& feed, MonotonicTime now) {
    m_failing[feed].OnAnswer(now);
  }

  /// @return until when a follower of the feed leaves it to others to read
  MonotonicTime DeferredUntil(const std::string& feed, MonotonicTime now) const;

  /// @return the number of polls that got no answer in time
  std::uint64_t UnansweredPolls() const { return m_unanswered; }

 private:
  struct Awaited {
    std::uint64_t sequence = 0;
    MonotonicTime sent_at{};
  };

  void PassOverSilentReaders(MonotonicTime now);
  std::vector<ReaderCandidate> Candidates(
      std::span<const ReaderCandidate> peers) const;

  /// @param candidates this daemon first
  const ReaderCandidate& ChooseReaderOf(
      const std::string& feed,
      const std::vector<ReaderCandidate>& candidates,
      MonotonicTime now);
  /// @return the daemons that read the feed; usually one
  std::set<std::string> ReadersOf(
      const std::string& feed,
      const std::vector<ReaderCandidate>& candidates,
      MonotonicTime now);
  /// @return whether this daemon may begin or go on to read the feed
  bool MayRead(const std::string& feed, MonotonicTime now) const;

  ReaderCandidate m_self;
  std::set<std::string> m_feeds;
  std::map<std::string, Awaited> m_awaited;                  ///< By reader.
  std::map<std::string, MonotonicTime> m_passed_over_until;  ///< By reader.
  std::map<std::string, FailingReaders> m_failing;           ///< By feed.
  std::set<std::string> m_reading;  ///< Feeds read last time.
  /// When this daemon last read a feed without failure, by feed.
  std::map<std::string, MonotonicTime> m_read_at;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_unanswered = 0;
};

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_COORDINATOR_H_
