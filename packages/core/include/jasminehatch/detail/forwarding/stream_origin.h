#ifndef JASMINEHATCH_DETAIL_FORWARDING_STREAM_ORIGIN_H_
#define JASMINEHATCH_DETAIL_FORWARDING_STREAM_ORIGIN_H_

#include <cstdint>
#include <string>

namespace jasminehatch::forwarding {

/// @brief Where a stream began. It may be resumed only at upstreams that run
/// the same software version.
struct StreamOrigin {
  /// Hash of the caller's id of the request that got the first event.
  std::uint64_t stream = 0;
  std::string service;
  std::string software_version;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_STREAM_ORIGIN_H_
