#ifndef JASMINEHATCH_DETAIL_TESTING_BOOKING_RUN_H_
#define JASMINEHATCH_DETAIL_TESTING_BOOKING_RUN_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "jasminehatch/detail/testing/booking_action.h"

namespace jasminehatch::testing {

/// @brief What a property run of the booking concern did and found.
struct BookingRunResult {
  std::uint64_t steps = 0;
  std::uint64_t runs = 0;  ///< Bookings that the service ran.
  std::uint64_t responses = 0;
  std::uint64_t refusals = 0;
  std::string failure;  ///< Empty when every invariant held.
  std::uint64_t failed_seed = 0;
  std::vector<BookingAction> failed_actions;  ///< Shrunk.
};

/// Plays one sequence in a new world, settles, resends every key and settles
/// again; adds to the counts of `run`.
/// @return the broken invariant, or empty
std::string RunBookingSequence(std::uint64_t seed,
                               std::span<const BookingAction> actions,
                               BookingFaults faults,
                               BookingRunResult& run);

/// Plays random sequences until `steps` actions were taken or an invariant
/// broke; every fourth sequence is without faults.
BookingRunResult RunRandomBookingSequences(std::uint64_t seed,
                                           std::uint64_t steps);

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_BOOKING_RUN_H_
