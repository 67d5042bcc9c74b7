#include <gflags/gflags.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <thread>
#include <vector>

#include "baselines.h"
#include "report.h"

DEFINE_uint64(seed, 20261204, "seed of all runs");
DEFINE_bool(faults, true, "run the single faults too");
DEFINE_string(csv, "", "file for the measurements as CSV");
DEFINE_string(svg, "", "file for the plot of time to first token");
DEFINE_string(only, "", "run only this workload");
DEFINE_uint32(threads, 3, "runs at a time");
DEFINE_double(recompute_weight,
              -1,
              "recompute weight for all workloads, unless negative");
DEFINE_double(link_weight,
              -1,
              "link weight for all workloads, unless negative");
DEFINE_bool(assumptions, true, "print the assumed parameters");

namespace jasminehatch::bench {
namespace {

using testing::AssumptionId;
using testing::Fault;

/// Returns the options with the weights of a workload. Fontaines weights time
/// to first token most: 0.1 s counts as much as 1,000 tokens of prompt work or
/// 200 MB on a link. Fiji accepts a second more to save 1,000 tokens of prompt
/// work or 200 MB on a link.
serving::Options OptionsOf(const testing::WorkloadSpec& spec) {
  serving::Options options;
  options.block_tokens =
      static_cast<std::uint32_t>(spec[AssumptionId::kBlockTokens]);
  options.ttft_weight = 1;
  options.recompute_weight = 0.1;
  options.link_weight = 0.0005;
  if (spec.fiji) {
    options.recompute_weight = 1;
    options.link_weight = 0.005;
  }
  if (FLAGS_recompute_weight >= 0) {
    options.recompute_weight = FLAGS_recompute_weight;
  }
  if (FLAGS_link_weight >= 0) {
    options.link_weight = FLAGS_link_weight;
  }
  return options;
}

void Run(Result& result, const Strategy& strategy) {
  testing::ServingSimulation simulation(result.spec, FLAGS_seed, result.fault,
                                        OptionsOf(result.spec));
  const double hour = result.spec[AssumptionId::kHourSeconds];
  // A fault falls into the peak of the first day; the hours around it are
  // enough.
  const bool full_run = result.fault == Fault::kNone;
  const double from = full_run ? 0 : 3 * hour;
  const double until =
      full_run ? result.spec[AssumptionId::kHours] * hour : 8 * hour;
  result.measurements = simulation.Run(strategy.make(simulation), from, until);
}

int Main() {
  std::vector<Result> results;
  for (const bool fiji : {false, true}) {
    const testing::WorkloadSpec spec{fiji};
    if (!FLAGS_only.empty() && FLAGS_only != spec.Name()) {
      continue;
    }
    const int faults = FLAGS_faults ? static_cast<int>(Fault::kCount) : 1;
    for (int fault = 0; fault < faults; ++fault) {
      for (const Strategy& strategy : Strategies()) {
        results.push_back({spec, static_cast<Fault>(fault), strategy.name, {}});
      }
    }
  }
  std::atomic<std::size_t> next{0};
  std::vector<std::jthread> threads;
  for (std::uint32_t i = 0; i < FLAGS_threads; ++i) {
    threads.emplace_back([&results, &next] {
      for (std::size_t job = next++; job < results.size(); job = next++) {
        Run(results[job], Strategies()[job % Strategies().size()]);
      }
    });
  }
  threads.clear();
  if (FLAGS_assumptions) {
    PrintAssumptions(std::cout);
  }
  PrintTable(std::cout, results);
  PrintTargets(std::cout, results);
  if (!FLAGS_csv.empty()) {
    std::ofstream file(FLAGS_csv);
    PrintCsv(file, results);
  }
  if (!FLAGS_svg.empty()) {
    std::ofstream file(FLAGS_svg);
    WriteSvg(file, results);
  }
  return 0;
}

}  // namespace
}  // namespace jasminehatch::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the routing policy on simulated time");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jasminehatch::bench::Main();
}
