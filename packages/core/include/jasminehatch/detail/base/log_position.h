#ifndef JASMINEHATCH_DETAIL_BASE_LOG_POSITION_H_
#define JASMINEHATCH_DETAIL_BASE_LOG_POSITION_H_

#include <compare>
#include <cstdint>

namespace jasminehatch {

/// @brief A position in a topic of the platform's store.
///
/// The epoch rises each time the store comes back from an older copy of its
/// records. Offsets are then assigned again, so that an offset names a record
/// only together with its epoch.
struct LogPosition {
  std::uint32_t epoch = 0;  ///< 0 if the store names none.
  std::uint64_t offset = 0;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

}  // namespace jasminehatch

#endif  // JASMINEHATCH_DETAIL_BASE_LOG_POSITION_H_
