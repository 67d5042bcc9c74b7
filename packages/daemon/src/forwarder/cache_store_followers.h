#ifndef JASMINEHATCH_FORWARDER_CACHE_STORE_FOLLOWERS_H_
#define JASMINEHATCH_FORWARDER_CACHE_STORE_FOLLOWERS_H_

#include <cstddef>
#include <map>
#include <string>

#include "jasminehatch/detail/forwarder/cache_store_follower.h"

namespace asio {
class io_context;
}

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::platform {
class EngineClient;
}

namespace jasminehatch::telemetry {
class DecisionLog;
}

namespace jasminehatch::daemon {

class ForwardingHost;
class ZoneRelay;

/// @brief Has a follower for each cache store that the state of the decision
/// library names.
class CacheStoreFollowers {
 public:
  CacheStoreFollowers(asio::io_context& loop,
                      const Clock& clock,
                      platform::EngineClient& engines,
                      ForwardingHost& host,
                      telemetry::DecisionLog& log)
      : m_loop(loop),
        m_clock(clock),
        m_engines(engines),
        m_host(host),
        m_log(log) {}

  /// Adds and removes followers as the cache stores have changed, and frees
  /// outdated parts.
  /// @param rank position of this daemon in the order in which daemons free
  /// parts
  /// @param relay shares the contents inside the zone; null without peers
  void Update(std::size_t daemons, std::size_t rank, ZoneRelay* relay);

 private:
  void RemoveUnused(ZoneRelay* relay);

  asio::io_context& m_loop;
  const Clock& m_clock;
  platform::EngineClient& m_engines;
  ForwardingHost& m_host;
  telemetry::DecisionLog& m_log;
  std::map<std::string, CacheStoreFollower> m_followers;  ///< By address.
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_CACHE_STORE_FOLLOWERS_H_
