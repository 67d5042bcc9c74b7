#ifndef JASMINEHATCH_DETAIL_FORWARDER_GOSSIP_PEER_H_
#define JASMINEHATCH_DETAIL_FORWARDER_GOSSIP_PEER_H_

#include <asio/ip/udp.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::daemon {

/// @brief What a daemon knows of another one from its address in the store and
/// from its messages.
struct GossipPeer {
  asio::ip::udp::endpoint endpoint;
  std::string zone;
  std::uint64_t incarnation = 0;
  /// When this daemon first heard of the incarnation.
  MonotonicTime incarnation_seen_at{};
  std::uint64_t last_sequence = 0;  ///< Of the newest message received.
  MonotonicTime last_seen_at{};
  /// Of the newest message received, on the peer's clock.
  std::uint64_t last_sent_ms = 0;
  /// Whether the peer is known from a message, not only from the store.
  bool message_received = false;
  /// Relative capacity of its VM; nothing if it does not relay feeds.
  std::optional<double> capacity;
  bool stopping = false;  ///< It was asked to stop.
  /// Whether the first message of the incarnation was answered.
  bool answered = false;

  /// @return whether the peer has sent a message recently
  bool IsHeard(MonotonicTime now) const;

  /// @return whether the peer is heard and was not asked to stop
  bool IsLive(MonotonicTime now) const { return IsHeard(now) && !stopping; }
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_GOSSIP_PEER_H_
