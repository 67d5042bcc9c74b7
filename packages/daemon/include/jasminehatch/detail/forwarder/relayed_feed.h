#ifndef JASMINEHATCH_DETAIL_FORWARDER_RELAYED_FEED_H_
#define JASMINEHATCH_DETAIL_FORWARDER_RELAYED_FEED_H_

#include <cstddef>
#include <optional>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/json/relay_message.h"
#include "jasminehatch/detail/relay/feed_role.h"

namespace jasminehatch::daemon {

/// @brief Shared state outside the daemons that one daemon of a zone reads and
/// the others get from it. Positions and deltas have no feed id here.
class RelayedFeed {
 public:
  RelayedFeed() = default;
  virtual ~RelayedFeed() = default;
  RelayedFeed(const RelayedFeed&) = delete;
  RelayedFeed& operator=(const RelayedFeed&) = delete;

  /// @return how far this daemon knows the feed; nothing before its first read
  virtual std::optional<codec::FeedPosition> Position() const = 0;

  /// @param max_bytes approximate limit of the size of the delta
  /// @return what this daemon knows beyond a position; nothing if that is not
  /// more than the position
  virtual std::optional<codec::FeedDelta> ChangesSince(
      const codec::FeedPosition& position,
      std::size_t max_bytes) const = 0;

  /// @brief Applies what another daemon knows.
  /// @param known_at time on this daemon's clock at which there was nothing
  /// after the position of a complete delta, or an earlier time
  virtual void Accept(const codec::FeedDelta& delta,
                      MonotonicTime known_at) = 0;

  virtual void SetRole(relay::FeedRole role) = 0;

  /// @return the time for which this daemon leaves the reading to others
  /// because its reads fail; zero if they do not
  virtual Duration ReadPause() const { return Duration::zero(); }

  /// @return the pause that followers are told
  virtual Duration ReportedReadPause() const { return Duration::zero(); }

  /// Leaves it to others to read until then, if this daemon is a follower.
  virtual void DeferReads(MonotonicTime /*until*/) {}
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_RELAYED_FEED_H_
