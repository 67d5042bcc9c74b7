#include "cache_store_followers.h"

#include <asio/io_context.hpp>
#include <string_view>

#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/detail/forwarder/zone_relay.h"

namespace jasminehatch::daemon {
namespace {

/// Name of the relayed feed of a cache store; its address follows.
constexpr std::string_view kCacheStoreFeedPrefix = "cache_store/";

std::string FeedName(const std::string& address) {
  return std::string(kCacheStoreFeedPrefix) + address;
}

}  // namespace

void CacheStoreFollowers::Update(std::size_t daemons,
                                 std::size_t rank,
                                 ZoneRelay* relay) {
  RemoveUnused(relay);
  for (const auto& [address, store] : m_host.State().stores.All()) {
    const auto [follower, added] = m_followers.try_emplace(
        address, m_loop, m_clock, m_engines, m_host, m_log, address);
    follower->second.SetDaemonCount(daemons, rank);
    follower->second.FreeOutdatedParts();
    if (added) {
      if (relay) {
        relay->AddFeed(FeedName(address), follower->second);
      }
      follower->second.Start();
    }
  }
}

void CacheStoreFollowers::RemoveUnused(ZoneRelay* relay) {
  const auto& stores = m_host.State().stores.All();
  std::erase_if(m_followers, [&](const auto& entry) {
    if (stores.contains(entry.first)) {
      return false;
    }
    if (relay) {
      relay->RemoveFeed(FeedName(entry.first));
    }
    return true;
  });
}

}  // namespace jasminehatch::daemon
