#ifndef JASMINEHATCH_DETAIL_FORWARDING_PART_CRASH_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PART_CRASH_H_

#include <cstdint>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief A crash of an upstream that ran a request with a prompt part.
struct PartCrash {
  std::uint64_t upstream = 0;  ///< Hash of the upstream's id and start time.
  /// Hash of the part that no other request shares; tells requests apart.
  std::uint64_t own_part = 0;
  MonotonicTime at{};
  /// Whether the upstream had sent the head of the response to the request.
  bool response_begun = true;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PART_CRASH_H_
