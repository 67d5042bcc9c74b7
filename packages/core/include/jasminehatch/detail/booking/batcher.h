#ifndef JASMINEHATCH_DETAIL_BOOKING_BATCHER_H_
#define JASMINEHATCH_DETAIL_BOOKING_BATCHER_H_

#include <span>
#include <string>
#include <string_view>

namespace jasminehatch::booking {

/// @brief Chooses the daemon that appends the entries of a zone, by rendezvous
/// hashing: daemons with the same view choose the same one, and a daemon that
/// joins or leaves changes the choice only to or from itself.
/// @param zone name of the availability zone
/// @param daemons live daemons of the zone, in any order
/// @return name of the batcher, or empty when there are no daemons
std::string_view ChooseBatcher(std::string_view zone,
                               std::span<const std::string> daemons);

}  // namespace jasminehatch::booking

#endif  // JASMINEHATCH_DETAIL_BOOKING_BATCHER_H_
