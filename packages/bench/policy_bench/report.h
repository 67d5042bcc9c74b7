#ifndef JASMINEHATCH_BENCH_POLICY_BENCH_REPORT_H_
#define JASMINEHATCH_BENCH_POLICY_BENCH_REPORT_H_

#include <iosfwd>
#include <string_view>
#include <vector>

#include "jasminehatch/testing.h"

namespace jasminehatch::bench {

/// @brief Measurements of one run of the benchmark.
struct Result {
  testing::WorkloadSpec spec;
  testing::Fault fault = testing::Fault::kNone;
  std::string_view strategy;
  testing::Measurements measurements;
};

void PrintAssumptions(std::ostream& out);
void PrintTable(std::ostream& out, const std::vector<Result>& results);
void PrintCsv(std::ostream& out, const std::vector<Result>& results);

/// Prints for each target whether the policy met or missed it.
void PrintTargets(std::ostream& out, const std::vector<Result>& results);

/// Plots time to first token (p95 of each hour) over the first day.
void WriteSvg(std::ostream& out, const std::vector<Result>& results);

}  // namespace jasminehatch::bench

#endif  // JASMINEHATCH_BENCH_POLICY_BENCH_REPORT_H_
