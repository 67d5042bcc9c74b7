#ifndef JASMINEHATCH_DETAIL_FORWARDING_CACHE_EVENT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CACHE_EVENT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace jasminehatch::forwarding {

/// @brief A prompt part that is stored completely in a cache store.
struct CachedPart {
  std::string salt;
  std::string id;
  std::uint32_t tokens = 0;
};

/// A cache store listed its complete content.
struct CacheListed {
  std::string store;        ///< Address.
  std::uint64_t epoch = 0;  ///< Changes when the store restarts.
  std::vector<CachedPart> parts;
};

/// @brief One change of a cache store's content.
struct CacheChange {
  bool stored = true;  ///< False when the part was removed.
  CachedPart part;
};

/// The content of a cache store changed; the changes are in order.
struct CacheChanged {
  std::string store;
  std::uint64_t epoch = 0;
  std::vector<CacheChange> changes;
};

/// A cache store stated the time on the clock that all upstreams share.
struct SharedClockRead {
  std::uint64_t clock_ms = 0;
};

/// A cache store does not reply.
struct CacheStoreUnreachable {
  std::string store;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CACHE_EVENT_H_
