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
#include "jasminehatch/detail/platform/engine_client.h"

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
/// weight version no engine uses any more.
class CacheStoreFollower {
 public:
  CacheStoreFollower(asio::io_context& loop,
                     const Clock& clock,
                     platform::EngineClient& engines,
                     ForwardingHost& host,
                     telemetry::DecisionLog& log,
                     std::string address);

  void Start() { List(); }

  /// Sets the number of daemons, which decides whether reads long-poll: a store
  /// holds few waiting reads.
  /// @param rank position of this daemon in the order in which daemons free
  /// parts
  void SetDaemonCount(std::size_t daemons, std::size_t rank) {
    m_daemon_count = daemons;
    m_rank = rank;
  }

  /// Allows parts to be freed until the given time. Requires a recent read of
  /// the registry: engines that are missing from it may still use replaced
  /// weights.
  void AllowFreeingUntil(MonotonicTime until) {
    m_freeing_allowed_until = until;
  }

  /// Frees parts of replaced weights once no fetch of them can be running.
  void FreeOutdatedParts();

 private:
  void List();
  void Read();
  void OnChanges(const std::optional<platform::CacheStorePage>& page);
  void OnReadFailed();
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
  std::uint64_t m_store_epoch = 0;
  std::uint64_t m_next_change = 0;
  /// The upstreams' shared clock in the last response.
  std::uint64_t m_shared_clock_ms = 0;
  MonotonicTime m_shared_clock_read_at{};
  std::optional<MonotonicTime> m_outdated_since;
  MonotonicTime m_freeing_allowed_until{};
  std::size_t m_daemon_count = 1;
  std::size_t m_rank = 0;
  bool m_reachable = true;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_CACHE_STORE_FOLLOWER_H_
