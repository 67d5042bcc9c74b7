#include <gflags/gflags.h>

#include <iostream>

#include "jasminehatch/testing.h"

DEFINE_uint64(seed, 1, "seed of the random sequences");
DEFINE_uint64(steps, 1'000'000, "actions to take");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs random booking sequences with faults and checks the invariants");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const jasminehatch::testing::BookingRunResult run =
      jasminehatch::testing::RunRandomBookingSequences(FLAGS_seed, FLAGS_steps);
  std::cout << "seed " << FLAGS_seed << ": " << run.steps << " steps, "
            << run.runs << " bookings ran, " << run.responses << " responses, "
            << run.refusals << " refusals\n";
  if (run.failure.empty()) {
    return 0;
  }
  std::cout << run.failure << "\nsimulation seed " << run.failed_seed << "\n";
  for (const auto& action : run.failed_actions) {
    std::cout << "  " << action << "\n";
  }
  return 1;
}
