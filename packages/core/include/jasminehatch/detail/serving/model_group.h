#ifndef JASMINEHATCH_DETAIL_SERVING_MODEL_GROUP_H_
#define JASMINEHATCH_DETAIL_SERVING_MODEL_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/serving/version_group.h"

namespace jasminehatch::serving {

struct Request;

/// @brief The upstreams of one model and the requests that wait for them.
struct ModelGroup {
  std::vector<UpstreamId> upstreams;  ///< Configured; in increasing order.
  std::uint64_t changes = 1;  ///< Incremented when `upstreams` changes or one
                              ///< of them starts or stops serving a version.
  std::map<std::string, VersionGroup, std::less<>>
      versions;          ///< By `GroupKey`.
  std::size_t turn = 0;  ///< Number of the group that is dispatched first if
                         ///< groups compete for upstreams.

  /// @return the group in which the request waits, which may be new
  VersionGroup& GroupOf(const Request& request);

  /// Erases the groups without waiting requests if there are many groups.
  void EraseIdleVersions();
};

}  // namespace jasminehatch::serving

#endif  // JASMINEHATCH_DETAIL_SERVING_MODEL_GROUP_H_
