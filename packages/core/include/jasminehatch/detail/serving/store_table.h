#ifndef JASMINEHATCH_DETAIL_SERVING_STORE_TABLE_H_
#define JASMINEHATCH_DETAIL_SERVING_STORE_TABLE_H_

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/serving/event.h"
#include "jasminehatch/detail/serving/prefix_index.h"
#include "jasminehatch/detail/serving/store_spec.h"

namespace jasminehatch::serving {

/// @brief State of one tier of a store and its link as known to this daemon.
struct StoreView {
  StoreId id;
  StoreSpec spec;
  bool configured = true;
  bool reachable = true;
  double bytes_per_second = 0;
  double pending_bytes = 0;  ///< As of `pending_at`.
  MonotonicTime pending_at{};

  /// @return the expected seconds until `bytes` are transferred over the link
  double TransferSeconds(double bytes, MonotonicTime now) const;
};

/// @brief The stores with their exported blocks and link transfers.
class StoreTable {
 public:
  void Apply(const StoresConfigured& event);
  void Apply(const StoreContentChanged& event);
  void Apply(const StoreLinkReported& event, MonotonicTime now);
  void Apply(const StoreUnreachable& event);

  /// Records an import that this daemon started.
  void AddTransfer(StoreId store, double bytes, MonotonicTime now);

  const StoreView& View(StoreId id) const { return m_views.at(id.value); }
  std::span<const StoreView> Views() const { return m_views; }

  /// @brief A store and the number of leading blocks that it holds.
  struct Match {
    StoreId store;
    std::uint32_t blocks = 0;
  };

  /// @return the usable stores that hold a prefix of the keys
  std::vector<Match> FindHolders(std::span<const BlockKey> keys) const;

 private:
  std::vector<StoreView> m_views;
  std::unordered_map<std::string, StoreId> m_by_name;
  PrefixIndex m_exports;  ///< Indexed by store id instead of upstream id.
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_STORE_TABLE_H_
