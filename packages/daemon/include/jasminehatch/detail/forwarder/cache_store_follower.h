#ifndef JASMINEHATCH_DETAIL_FORWARDER_CACHE_STORE_FOLLOWER_H_
#define JASMINEHATCH_DETAIL_FORWARDER_CACHE_STORE_FOLLOWER_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarder/relayed_feed.h"
#include "jasminehatch/detail/platform/engine_client.h"
#include "jasminehatch/detail/relay/change_log.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::telemetry {
class DecisionLog;
}

namespace jasminehatch::daemon {

class ForwardingHost;

/// @brief Tracks the contents of one cache store and frees the parts whose
/// weights were replaced.
///
/// A part is the cached state of one prompt part, computed with one weight
/// version. In a large zone it is a relayed feed: one daemon reads the store's
/// changes for the others.
class CacheStoreFollower : public RelayedFeed {
 public:
  CacheStoreFollower(asio::io_context& loop,
                     const Clock& clock,
                     platform::EngineClient& engines,
                     ForwardingHost& host,
                     telemetry::DecisionLog& log,
                     std::string address);

  void Start() { List(); }

  /// Sets the number of daemons. If there are many, reads do not long-poll,
  /// because a store holds only a few waiting reads.
  /// @param rank position of this daemon in the order in which daemons free
  /// parts; they do so one after another, so that usually only the first finds
  /// any to free
  void SetDaemonCount(std::size_t daemons, std::size_t rank) {
    m_daemon_count = daemons;
    m_rank = rank;
  }

  /// Frees the parts that no request can be using any more
  /// (`forwarding::CacheUseWindow`).
  void FreeOutdatedParts();

  std::optional<codec::FeedPosition> Position() const override;
  std::optional<codec::FeedDelta> ChangesSince(
      const codec::FeedPosition& position,
      std::size_t max_bytes) const override;
  void Accept(const codec::FeedDelta& delta, MonotonicTime known_at) override;
  void SetRole(relay::FeedRole role) override { m_role = role; }

 private:
  /// @brief How changes are read.
  struct ReadMode {
    std::chrono::milliseconds wait{0};  ///< For which the store may wait.
    std::chrono::milliseconds pause{0};
  };

  ReadMode Mode() const;
  /// Reads, unless what was relayed is recent enough.
  void ReadIfDue();
  void List();
  void Read();
  void OnChanges(const std::optional<platform::CacheStorePage>& page);
  void OnReadFailed();
  /// @param clock_ms time on the clock that the upstreams share; 0 if unknown
  void OnClockRead(std::uint64_t clock_ms);
  void ScheduleFreeCheck();
  void Schedule(std::chrono::milliseconds delay,
                void (CacheStoreFollower::*next)());

  const Clock& m_clock;
  platform::EngineClient& m_engines;
  ForwardingHost& m_host;
  telemetry::DecisionLog& m_log;
  std::string m_address;
  asio::steady_timer m_read_timer;
  asio::steady_timer m_free_timer;
  std::uint64_t m_store_epoch = 0;  ///< Changes when the store restarts.
  std::uint64_t m_next_change = 0;  ///< Position to read from next.
  /// Since when there have been outdated parts that may be freed.
  std::optional<MonotonicTime> m_outdated_parts_since;
  relay::FeedRole m_role = relay::FeedRole::kIndependent;
  relay::ChangeLog m_changes;
  /// When the content was known up to `m_next_change`.
  std::optional<MonotonicTime> m_known_at;
  std::size_t m_daemon_count = 1;
  std::size_t m_rank = 0;
  bool m_reachable = true;
  /// Callbacks of the engine client hold a weak reference and do nothing once
  /// this object is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_CACHE_STORE_FOLLOWER_H_
