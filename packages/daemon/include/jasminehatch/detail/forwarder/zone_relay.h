#ifndef JASMINEHATCH_DETAIL_FORWARDER_ZONE_RELAY_H_
#define JASMINEHATCH_DETAIL_FORWARDER_ZONE_RELAY_H_

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/relay/coordinator.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::codec {
struct FeedDelta;
struct RelayAnswer;
struct RelayPoll;
}  // namespace jasminehatch::codec

namespace jasminehatch::telemetry {
class DecisionLog;
class Metrics;
}  // namespace jasminehatch::telemetry

namespace jasminehatch::daemon {

class PeerGossip;
class RelayedFeed;

/// @brief Exchanges feeds between the daemons of a zone, so that the reads of
/// shared state grow with the zones and not with the daemons.
///
/// A follower sends its position in each feed to the feed's reader, which
/// answers with the changes since then and with the age of what it knows. The
/// follower counts this age from the time at which it sent the poll, so that a
/// delayed answer never looks younger than it is.
class ZoneRelay {
 public:
  ZoneRelay(asio::io_context& loop,
            const Clock& clock,
            PeerGossip& gossip,
            telemetry::DecisionLog& log,
            telemetry::Metrics& metrics,
            relay::ReaderCandidate self);

  /// @param feed must live until it is removed
  void AddFeed(const std::string& name, RelayedFeed& feed);
  void RemoveFeed(const std::string& name);

  void Start();
  void Stop();

 private:
  struct Feed {
    std::uint32_t id = 0;
    RelayedFeed* feed = nullptr;
    relay::FeedRole role = relay::FeedRole::kIndependent;
  };

  void Tick();
  /// Decides the roles and sends the polls that are due.
  void UpdateRoles();
  /// Records what an answer tells about a feed.
  /// @return whether another reader may have to be chosen
  bool OnDelta(const std::string& daemon,
               const std::string& name,
               const codec::FeedDelta& delta);
  void SetRole(const std::string& name, Feed& feed, relay::FeedRole role);
  void Send(const relay::Coordinator::Poll& poll);
  void OnDatagram(std::string_view bytes);
  void OnPoll(const codec::RelayPoll& poll);
  void OnAnswer(const codec::RelayAnswer& answer);
  /// @return the feed with this id, or null
  const Feed* Find(std::uint32_t id, std::string* name = nullptr) const;

  const Clock& m_clock;
  PeerGossip& m_gossip;
  telemetry::DecisionLog& m_log;
  telemetry::Metrics& m_metrics;
  std::string m_name;
  relay::Coordinator m_coordinator;
  asio::steady_timer m_timer;
  std::map<std::string, Feed> m_feeds;
  std::uint64_t m_counted_unanswered = 0;
  /// Expires when this object is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_ZONE_RELAY_H_
