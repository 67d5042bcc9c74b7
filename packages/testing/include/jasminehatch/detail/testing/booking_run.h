#ifndef JASMINEHATCH_DETAIL_TESTING_BOOKING_RUN_H_
#define JASMINEHATCH_DETAIL_TESTING_BOOKING_RUN_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "jasminehatch/detail/testing/booking_action.h"

namespace jasminehatch::testing {

/// @brief Counts and first failure of a property run of the booking reducer.
struct BookingRunResult {
  std::uint64_t steps = 0;
  std::uint64_t runs = 0;  ///< Bookings that the service ran.
  std::uint64_t responses = 0;
  std::uint64_t refusals = 0;
  std::string failure;  ///< Empty when every invariant held.
  std::uint64_t failed_seed = 0;
  std::vector<BookingAction> failed_actions;  ///< The failing sequence, shrunk.
};

/// Applies one sequence to a new simulation, lets it settle, resends every key
/// and lets it settle again; adds to the counts of `run`.
/// @return the violated invariant, or empty
std::string RunBookingSequence(std::uint64_t seed,
                               std::span<const BookingAction> actions,
                               BookingFaults faults,
                               BookingRunResult& run);

/// Runs random sequences until `steps` actions were taken or an invariant
/// broke; every fourth sequence is without faults.
BookingRunResult RunRandomBookingSequences(std::uint64_t seed,
                                           std::uint64_t steps);

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_BOOKING_RUN_H_
