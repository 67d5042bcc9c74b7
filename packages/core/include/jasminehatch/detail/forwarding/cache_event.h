#ifndef JASMINEHATCH_DETAIL_FORWARDING_CACHE_EVENT_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CACHE_EVENT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace jasminehatch::forwarding {

/// @brief A part of a prompt that a cache store holds as a whole.
struct CachedPart {
  std::string salt;
  std::string id;
  std::uint32_t tokens = 0;
};

/// The complete content of a cache store.
struct CacheListed {
  std::string store;        ///< Address.
  std::uint64_t epoch = 0;  ///< Changes when the store starts again.
  std::vector<CachedPart> parts;
};

/// @brief One change of a cache store's content.
struct CacheChange {
  bool stored = true;  ///< False when the part is gone.
  CachedPart part;
};

/// Changes of a cache store's content, in order.
struct CacheChanged {
  std::string store;
  std::uint64_t epoch = 0;
  std::vector<CacheChange> changes;
};

/// A cache store does not answer.
struct CacheStoreLost {
  std::string store;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CACHE_EVENT_H_
