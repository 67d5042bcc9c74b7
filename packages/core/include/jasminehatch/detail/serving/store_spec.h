#ifndef JASMINEHATCH_DETAIL_SERVING_STORE_SPEC_H_
#define JASMINEHATCH_DETAIL_SERVING_STORE_SPEC_H_

#include <string>

namespace jasminehatch::serving {

/// @brief Configuration of one tier of a cache store. A cache store keeps
/// exported cache blocks, which upstreams can import; each of its tiers has its
/// own `StoreId`.
struct StoreSpec {
  std::string name;  ///< Unique, such as `store-1/memory`.
  std::string zone;
  double link_bytes_per_second = 1e9;  ///< Used until the first report.
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_STORE_SPEC_H_
