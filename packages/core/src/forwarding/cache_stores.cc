#include "jasminehatch/detail/forwarding/cache_stores.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "jasminehatch/detail/forwarding/cache_salt.h"
#include "jasminehatch/detail/forwarding/cache_use_window.h"
#include "jasminehatch/detail/forwarding/stable_hash.h"

namespace jasminehatch::forwarding {
namespace {

/// Time after which a save that the store has not reported is considered lost.
constexpr std::chrono::seconds kPendingSaveTimeout{4};

/// Stores allocate blocks of this many tokens.
constexpr std::uint64_t kBlockTokens = 16;

/// Estimated share of a store's capacity that saves by other daemons occupy
/// before the store reports them. Stores are preferred that have at least this
/// share free after a save, since a save without space is lost.
constexpr double kUnreportedShare = 0.08;

/// @return the score of a store for a part, equal on all daemons. The store
/// with the highest score is chosen; each is chosen in proportion to its weight
/// (weighted rendezvous hashing)
double RendezvousScore(const std::string& store,
                       std::uint64_t part_hash,
                       double weight) {
  constexpr double kRange = 1ULL << 53U;
  const double uniform =
      (static_cast<double>(StableHash(store, part_hash) >> 11U) + 0.5) / kRange;
  return -weight / std::log(uniform);
}

std::uint64_t RoundUp(std::uint64_t tokens) {
  return (tokens + kBlockTokens - 1) / kBlockTokens * kBlockTokens;
}

}  // namespace

void CacheStores::Configure(std::span<const Service> services) {
  std::set<std::string> configured;
  for (const Service& service : services) {
    if (service.store) {
      configured.insert(service.store->address);
      m_stores[service.store->address].spec = *service.store;
    }
  }
  std::erase_if(m_stores, [&](const auto& entry) {
    return !configured.contains(entry.first);
  });
}

void CacheStores::Add(Store& store, const CachedPart& part) {
  store.pending_saves.erase({part.salt, part.id});
  auto [place, inserted] = store.parts[part.salt].emplace(part.id, part.tokens);
  if (!inserted) {
    store.used_tokens -= RoundUp(place->second);
    place->second = part.tokens;
  }
  store.used_tokens += RoundUp(part.tokens);
}

void CacheStores::Remove(Store& store, const CachedPart& part) {
  const auto salt = store.parts.find(part.salt);
  if (salt == store.parts.end()) {
    return;
  }
  const auto found = salt->second.find(part.id);
  if (found != salt->second.end()) {
    store.used_tokens -= RoundUp(found->second);
    salt->second.erase(found);
  }
  if (salt->second.empty()) {
    store.parts.erase(salt);
  }
}

void CacheStores::Apply(const CacheListed& event) {
  const auto found = m_stores.find(event.store);
  if (found == m_stores.end()) {
    return;
  }
  Store& store = found->second;
  store.reachable = true;
  store.epoch = event.epoch;
  store.parts.clear();
  store.used_tokens = 0;
  for (const CachedPart& part : event.parts) {
    Add(store, part);
  }
}

void CacheStores::Apply(const CacheChanged& event) {
  const auto found = m_stores.find(event.store);
  if (found == m_stores.end() || found->second.epoch != event.epoch) {
    return;
  }
  found->second.reachable = true;
  for (const CacheChange& change : event.changes) {
    if (change.stored) {
      Add(found->second, change.part);
    } else {
      Remove(found->second, change.part);
    }
  }
}

void CacheStores::Apply(const CacheStoreUnreachable& event) {
  const auto found = m_stores.find(event.store);
  if (found != m_stores.end()) {
    found->second.reachable = false;
  }
}

std::string_view CacheStores::Find(std::string_view salt,
                                   const std::string& id,
                                   std::uint32_t tokens,
                                   std::string_view zone,
                                   const AllowedZones& allowed) const {
  const Store* best = nullptr;
  const auto cost = [&](const Store& store) {
    return std::pair(store.spec.zone != zone, store.spec.first_byte_delay);
  };
  for (const auto& [address, store] : m_stores) {
    if (!store.reachable || !allowed.Contains(store.spec.zone)) {
      continue;
    }
    const auto parts = store.parts.find(salt);
    if (parts == store.parts.end()) {
      continue;
    }
    const auto part = parts->second.find(id);
    if (part != parts->second.end() && part->second >= tokens &&
        (best == nullptr || cost(store) < cost(*best))) {
      best = &store;
    }
  }
  return best == nullptr ? std::string_view{} : best->spec.address;
}

std::string_view CacheStores::Reserve(std::string_view salt,
                                      const std::string& id,
                                      std::uint32_t tokens,
                                      MonotonicTime now,
                                      const AllowedZones& allowed) {
  Store* best = nullptr;
  /// Preference of `best`: whether it has at least `kUnreportedShare` free
  /// after the save, then its score.
  std::pair<bool, double> best_preference;
  const std::uint64_t part_hash = StableHash(id, StableHash(salt));
  for (auto& [address, store] : m_stores) {
    if (!store.reachable || !allowed.Contains(store.spec.zone)) {
      continue;
    }
    const auto pending = store.pending_saves.find({std::string(salt), id});
    if (pending != store.pending_saves.end() && now < pending->second) {
      return {};
    }
    const std::uint64_t free =
        store.spec.capacity_tokens > store.used_tokens
            ? store.spec.capacity_tokens - store.used_tokens
            : 0;
    if (free < RoundUp(tokens)) {
      continue;
    }
    const auto capacity = static_cast<double>(store.spec.capacity_tokens);
    const bool ample =
        static_cast<double>(free) - static_cast<double>(RoundUp(tokens)) >=
        kUnreportedShare * capacity;
    const std::pair<bool, double> preference(
        ample, RendezvousScore(address, part_hash, capacity));
    if (best == nullptr || preference > best_preference) {
      best = &store;
      best_preference = preference;
    }
  }
  if (best == nullptr) {
    return {};
  }
  std::erase_if(best->pending_saves,
                [now](const auto& entry) { return entry.second <= now; });
  best->pending_saves[{std::string(salt), id}] = now + kPendingSaveTimeout;
  return best->spec.address;
}

std::vector<CachedPart> CacheStores::OutdatedParts(const Store& store,
                                                   const CacheUseWindow& use,
                                                   MonotonicTime now,
                                                   std::size_t limit) const {
  std::vector<CachedPart> outdated;
  for (const auto& [text, parts] : store.parts) {
    const auto salt = CacheSalt::Parse(text);
    if (!salt || !use.MayFree(salt->model, salt->version, now)) {
      continue;
    }
    for (const auto& [id, tokens] : parts) {
      if (outdated.size() >= limit) {
        return outdated;
      }
      outdated.push_back({text, id, tokens});
    }
  }
  return outdated;
}

}  // namespace jasminehatch::forwarding
