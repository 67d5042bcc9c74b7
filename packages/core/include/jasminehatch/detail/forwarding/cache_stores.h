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

namespace jasminehatch::forwarding {

class UpstreamDirectory;

/// @brief What the cache stores are known to hold.
///
/// A part is known as whole only from what the store itself says, within one
/// start of the store. Where a part is saved follows from its name, so that all
/// daemons save it to one place.
class CacheStores {
 public:
  /// @brief One store.
  struct Store {
    CacheStoreSpec spec;
    bool reachable = false;
    std::uint64_t epoch = 0;
    std::uint64_t used_tokens = 0;
    /// Tokens by id of the part, by salt.
    std::map<std::string, std::map<std::string, std::uint32_t>, std::less<>>
        parts;
    /// Saves that were asked for and not seen yet, until when they count.
    std::map<std::pair<std::string, std::string>, MonotonicTime> pending;
  };

  /// Takes the stores of a configuration; those that stay keep their content.
  void Configure(std::span<const Service> services);

  void Apply(const CacheListed& event);
  void Apply(const CacheChanged& event);
  void Apply(const CacheStoreLost& event);

  /// @brief Finds a store that holds the whole part.
  /// @param zone availability zone of the upstream that would fetch it
  /// @return the address, or an empty view
  std::string_view Find(std::string_view salt,
                        const std::string& id,
                        std::uint32_t tokens,
                        std::string_view zone) const;

  /// @brief Chooses the store to save a part to, and notes the save.
  /// @return the address; empty when the part is being saved, or there is no
  /// room
  std::string_view Reserve(std::string_view salt,
                           const std::string& id,
                           std::uint32_t tokens,
                           MonotonicTime now);

  /// @return the parts of a store whose weights were replaced, at most `limit`
  std::vector<CachedPart> Unused(const Store& store,
                                 const UpstreamDirectory& upstreams,
                                 std::size_t limit) const;

  const std::map<std::string, Store>& All() const { return m_stores; }

 private:
  static void Add(Store& store, const CachedPart& part);
  static void Remove(Store& store, const CachedPart& part);

  std::map<std::string, Store> m_stores;  ///< By address.
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_CACHE_STORES_H_
