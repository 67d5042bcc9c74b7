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

/// @brief Follows the content of one cache store, and frees parts that were
/// made on weights that no engine has any more.
class CacheStoreFollower {
 public:
  CacheStoreFollower(asio::io_context& loop,
                     const Clock& clock,
                     platform::EngineClient& engines,
                     ForwardingHost& host,
                     telemetry::DecisionLog& log,
                     std::string address);

  void Start() { List(); }

  /// Sets the number of daemons, since a store holds few waiting reads.
  /// @param rank place of this one in the order in which they free parts
  void SetDaemons(std::size_t daemons, std::size_t rank) {
    m_daemons = daemons;
    m_rank = rank;
  }

  /// Allows parts to be freed for a while, since the registry was just read:
  /// engines that are not known may still use replaced weights.
  void MayFreeUntil(MonotonicTime until) { m_may_free_until = until; }

  /// Frees parts of replaced weights once no fetch of them can run.
  void FreeUnused();

 private:
  void List();
  void Read();
  void OnChanges(const std::optional<platform::CacheStorePage>& page);
  void NoteLost();
  void CheckAgain();
  void After(std::chrono::milliseconds delay,
             void (CacheStoreFollower::*next)());

  const Clock& m_clock;
  platform::EngineClient& m_engines;
  ForwardingHost& m_host;
  telemetry::DecisionLog& m_log;
  std::string m_address;
  asio::steady_timer m_timer;
  asio::steady_timer m_free_timer;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_next = 0;
  std::uint64_t m_clock_ms = 0;  ///< Shared clock at the last answer.
  MonotonicTime m_clock_at{};
  std::optional<MonotonicTime> m_unused_since;
  MonotonicTime m_may_free_until{};
  std::size_t m_daemons = 1;
  std::size_t m_rank = 0;
  bool m_reachable = true;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_CACHE_STORE_FOLLOWER_H_
