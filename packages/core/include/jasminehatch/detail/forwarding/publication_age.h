#ifndef JASMINEHATCH_DETAIL_FORWARDING_PUBLICATION_AGE_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PUBLICATION_AGE_H_

#include <cstdint>
#include <string>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::forwarding {

/// @brief What a daemon knows of the age of a published weight version.
struct PublicationAge {
  std::string model;
  std::uint64_t version = 0;
  Duration age{};  ///< Time since the publication, at least.
  /// If false, the version may be much older.
  bool publish_time_known = true;

  friend bool operator==(const PublicationAge&,
                         const PublicationAge&) = default;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PUBLICATION_AGE_H_
