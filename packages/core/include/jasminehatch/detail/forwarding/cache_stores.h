#ifndef JASMINEHATCH_DETAIL_FORWARDING_CACHE_STORES_H_
#define JASMINEHATCH_DETAIL_FORWARDING_CACHE_STORES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/cache_event.h"
#include "jasminehatch/detail/forwarding/configuration.h"
#include "jasminehatch/detail/routing/allowed_zones.h"

namespace jasminehatch::forwarding {

class CacheUseWindow;

/// @brief Tracks the content of the cache stores.
///
/// A part counts as stored only if the store itself reported it since its last
/// restart. The store to which a part is saved is derived from the part's id,
/// so that all daemons choose the same one.
class CacheStores {
 public:
  /// @brief A cache store and its known content.
  struct Store {
    CacheStoreSpec spec;
    bool reachable = false;
    std::uint64_t epoch = 0;
    std::uint64_t used_tokens = 0;
    /// Number of tokens of each part, by salt and part id.
    std::map<std::string, std::map<std::string, std::uint32_t>, std::less<>>
        parts;
    /// Requested saves that the store has not reported yet, by salt and part
    /// id, with the time after which they are considered lost.
    std::map<std::pair<std::string, std::string>, MonotonicTime> pending_saves;
  };

  /// Replaces the set of stores; stores that remain configured keep their
  /// content.
  void Configure(std::span<const Service> services);

  void Apply(const CacheListed& event);
  void Apply(const CacheChanged& event);
  void Apply(const CacheStoreUnreachable& event);

  /// @brief Finds a reachable store that holds at least `tokens` tokens of the
  /// part.
  /// @param zone availability zone of the upstream that would fetch the part
  /// @param allowed zones of the stores that the request may use
  /// @return the address of the store, or an empty view
  std::string_view Find(std::string_view salt,
                        const std::string& id,
                        std::uint32_t tokens,
                        std::string_view zone,
                        const AllowedZones& allowed = {}) const;

  /// @brief Chooses the store to save a part to, and records the pending save.
  /// @param allowed zones of the stores that the request may use
  /// @return the address of the store; empty if a save of the part to one of
  /// them is pending or none has room
  std::string_view Reserve(std::string_view salt,
                           const std::string& id,
                           std::uint32_t tokens,
                           MonotonicTime now,
                           const AllowedZones& allowed = {});

  /// @return up to `limit` parts of the store that may be freed, since their
  /// weights were replaced so long ago that no fetch can be in progress
  std::vector<CachedPart> OutdatedParts(const Store& store,
                                        const CacheUseWindow& use,
                                        MonotonicTime now,
                                        std::size_t limit) const;

  const std::map<std::string, Store>& All() const { return m_stores; }

 private:
  static void Add(Store& store, const CachedPart& part);
  static void Remove(Store& store, const CachedPart& part);

  std::map<std::string, Store> m_stores;  ///< By address.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CACHE_STORES_H_
