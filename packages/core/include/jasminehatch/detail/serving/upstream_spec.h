#ifndef JASMINEHATCH_DETAIL_SERVING_UPSTREAM_SPEC_H_
#define JASMINEHATCH_DETAIL_SERVING_UPSTREAM_SPEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jasminehatch/detail/routing/warm_up_spec.h"

namespace jasminehatch::serving {

/// @brief Configuration of one upstream: an engine, which runs a model, or a
/// plain service, which runs none and sends no load reports.
struct UpstreamSpec {
  std::string name;
  std::string zone;
  std::string url;    ///< Base URL, such as `http://127.0.0.1:9001`.
  std::string model;  ///< Model served by an engine, or `service:<name>` for a
                      ///< plain service.
  std::string
      weight_version;  ///< Version loaded at start; load reports update it.
  std::optional<WarmUpSpec> warm_up;  ///< Absent if it needs none.
  double prefill_tokens_per_second =
      8000;  ///< Prompt tokens computed per second.
  double link_bytes_per_second =
      1e9;  ///< Rate of the link from the cache stores.
  double cache_bytes_per_token =
      1000;  ///< Size of the exported cache of one token.
  std::uint32_t max_in_flight = 64;  ///< Maximum running requests per daemon.
  bool leaving = false;    ///< An operator marked the upstream as leaving; see
                           ///< `UpstreamView::leaving`.
  bool evacuated = false;  ///< The operators evacuate its zone; it gets no new
                           ///< attempts.
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_UPSTREAM_SPEC_H_
