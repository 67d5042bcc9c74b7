#ifndef JASMINEHATCH_DETAIL_CONFIG_RECORD_H_
#define JASMINEHATCH_DETAIL_CONFIG_RECORD_H_

#include <variant>
#include <vector>

#include "jasminehatch/detail/config/config_change.h"
#include "jasminehatch/detail/config/snapshot_part.h"

namespace jasminehatch::config {

/// @brief A record of the configuration stream; `std::monostate` if it could
/// not be decoded.
struct Record {
  Version offset = 0;
  std::variant<std::monostate, ConfigChange, SnapshotPart> body;
};

/// @brief All records with offsets in [`from`, `next`), in order.
struct Page {
  Version from = 1;
  Version next = 1;
  std::vector<Record> records;
};

}  // namespace jasminehatch::config

#endif  // JASMINEHATCH_DETAIL_CONFIG_RECORD_H_
