#include <jasminehatch/testing.h>

#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

// CppUTest redefines `new`, which the headers above use in placement form.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using testing::BookingAction;
using testing::BookingFaults;

namespace {

/// Generates actions that are not shrunk themselves, so that a shrunk sequence
/// is a subsequence of the one that failed.
rc::Gen<BookingAction> ActionGenerator(BookingFaults faults) {
  const auto random = rc::gen::noShrink(rc::gen::resize(
      rc::kNominalSize,
      rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 48U)));
  return rc::gen::map(random, [faults](std::uint64_t bits) {
    return testing::ChooseBookingAction(bits, faults);
  });
}

bool InvariantsHold(const std::string& name, BookingFaults faults) {
  return rc::check(name, [faults](std::uint8_t seed) {
    const auto actions =
        *rc::gen::scale(4.0, rc::gen::container<std::vector<BookingAction>>(
                                 ActionGenerator(faults)));
    testing::BookingRunResult run;
    const std::string failure =
        testing::RunBookingSequence(seed, actions, faults, run);
    RC_ASSERT(failure == "");
  });
}

}  // namespace

TEST_GROUP_BASE(BookingProperty, jasminehatch::testing::LeakDetectorOff){};

// Guards against a second run of a key, a false `not_run`, a replay that
// differs from the first response and a caller without a response, under any
// interleaving of crashes, pauses, restarts, log outages and lost messages.
TEST(BookingProperty, InvariantsHoldUnderFaults) {
  CHECK(InvariantsHold("bookings under faults", BookingFaults::kAll));
}

// Guards against a booking that is refused or does not run without any fault.
TEST(BookingProperty, EachBookingRunsOnceWithoutFaults) {
  CHECK(InvariantsHold("bookings without faults", BookingFaults::kNone));
}

// Checks the invariants over more sequences than RapidCheck generates;
// jasminehatch_property_run runs them with another seed and count.
TEST(BookingProperty, InvariantsHoldOverALongerRun) {
  const testing::BookingRunResult run =
      testing::RunRandomBookingSequences(20261204, 50'000);
  std::string report = run.failure;
  for (const BookingAction& action : run.failed_actions) {
    report += "\n  " + ToString(action);
  }
  STRCMP_EQUAL("", report.c_str());
}
