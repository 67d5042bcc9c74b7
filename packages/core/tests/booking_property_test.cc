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

/// Actions whose kind is kept while shrinking, so that a shrunk sequence is a
/// part of the one that failed.
rc::Gen<BookingAction> AnyAction(BookingFaults faults) {
  const auto random = rc::gen::noShrink(rc::gen::resize(
      rc::kNominalSize,
      rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 48U)));
  return rc::gen::map(random, [faults](std::uint64_t bits) {
    return testing::ChooseBookingAction(bits, faults);
  });
}

bool Holds(const std::string& name, BookingFaults faults) {
  return rc::check(name, [faults](std::uint8_t seed) {
    const auto actions = *rc::gen::scale(
        4.0, rc::gen::container<std::vector<BookingAction>>(AnyAction(faults)));
    testing::BookingRunResult run;
    const std::string failure =
        testing::RunBookingSequence(seed, actions, faults, run);
    RC_ASSERT(failure == "");
  });
}

}  // namespace

TEST_GROUP_BASE(BookingProperty, jasminehatch::testing::LeakDetectorOff){};

// Guards against a second run of a key, a false `not_run`, a replay that
// differs from the first answer and a caller without an answer, under any
// interleaving of process deaths, pauses, restarts, log outages and lost
// messages.
TEST(BookingProperty, InvariantsHoldUnderFaults) {
  CHECK(Holds("bookings under faults", BookingFaults::kAll));
}

// Guards against a booking that is refused or does not run although nothing
// failed.
TEST(BookingProperty, EachBookingRunsOnceWithoutFaults) {
  CHECK(Holds("bookings without faults", BookingFaults::kNone));
}

// Guards against the same faults in more sequences than the generator plays;
// jasminehatch_property_run takes a seed and a count.
TEST(BookingProperty, InvariantsHoldOverALongerRun) {
  const testing::BookingRunResult run =
      testing::RunRandomBookingSequences(20261204, 50'000);
  std::string report = run.failure;
  for (const BookingAction& action : run.failed_actions) {
    report += "\n  " + ToString(action);
  }
  STRCMP_EQUAL("", report.c_str());
}
