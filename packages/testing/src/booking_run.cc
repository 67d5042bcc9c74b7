#include "jasminehatch/detail/testing/booking_run.h"

#include <algorithm>
#include <cstddef>
#include <random>

#include "jasminehatch/detail/testing/booking_simulation.h"

namespace jasminehatch::testing {
namespace {

/// Longest sequence, in actions.
constexpr std::uint64_t kMaxSequenceLength = 400;

/// Removes ranges of actions from a failing sequence while it still fails.
/// @return the shortest failing sequence found
std::vector<BookingAction> ShrinkSequence(std::uint64_t seed,
                                          std::vector<BookingAction> actions,
                                          BookingFaults faults) {
  for (std::size_t length = actions.size() / 2; length > 0;) {
    bool removed = false;
    for (std::size_t at = 0; at + length <= actions.size();) {
      std::vector<BookingAction> shorter = actions;
      const auto begin = shorter.begin() + static_cast<std::ptrdiff_t>(at);
      shorter.erase(begin, begin + static_cast<std::ptrdiff_t>(length));
      BookingRunResult ignored;
      if (RunBookingSequence(seed, shorter, faults, ignored).empty()) {
        at += length;
      } else {
        actions = std::move(shorter);
        removed = true;
      }
    }
    if (!removed) {
      length /= 2;
    }
  }
  return actions;
}

}  // namespace

std::string RunBookingSequence(std::uint64_t seed,
                               std::span<const BookingAction> actions,
                               BookingFaults faults,
                               BookingRunResult& run) {
  BookingSimulation simulation(2 + seed % 2, seed);
  std::string failure;
  try {
    for (const BookingAction& action : actions) {
      ++run.steps;
      simulation.Apply(action);
    }
    simulation.Settle();
    if (faults == BookingFaults::kNone) {
      simulation.CheckEachRanOnce();
    }
    simulation.ResendAll();
  } catch (const StateError& error) {
    failure = error.what();
  }
  run.runs += simulation.Service().Total();
  run.responses += simulation.Responses();
  run.refusals += simulation.Refusals();
  return failure;
}

BookingRunResult RunRandomBookingSequences(std::uint64_t seed,
                                           std::uint64_t steps) {
  BookingRunResult run;
  std::mt19937_64 random(seed);
  for (std::uint64_t sequence = 0; run.steps < steps; ++sequence) {
    const BookingFaults faults =
        sequence % 4 == 0 ? BookingFaults::kNone : BookingFaults::kAll;
    const std::uint64_t simulation_seed = random();
    const std::uint64_t length =
        std::min(steps - run.steps, 1 + random() % kMaxSequenceLength);
    std::vector<BookingAction> actions;
    actions.reserve(length);
    while (actions.size() < length) {
      actions.push_back(ChooseBookingAction(random(), faults));
    }
    run.failure = RunBookingSequence(simulation_seed, actions, faults, run);
    if (!run.failure.empty()) {
      run.failed_seed = simulation_seed;
      run.failed_actions =
          ShrinkSequence(simulation_seed, std::move(actions), faults);
      break;
    }
  }
  return run;
}

}  // namespace jasminehatch::testing
