#ifndef JASMINEHATCH_DETAIL_RELAY_FEED_ROLE_H_
#define JASMINEHATCH_DETAIL_RELAY_FEED_ROLE_H_

namespace jasminehatch::relay {

/// @brief How a daemon keeps up with a feed: shared state outside the daemons
/// that each of them follows, such as a topic of the store.
enum class FeedRole {
  kIndependent,  ///< Reads by itself; nothing is relayed.
  kReader,       ///< Reads for the daemons of its zone.
  /// Polls the reader, and reads by itself when what it got is too old.
  kFollower,
};

}  // namespace jasminehatch::relay

#endif  // JASMINEHATCH_DETAIL_RELAY_FEED_ROLE_H_
