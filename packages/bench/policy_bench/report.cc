#include "report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iomanip>
#include <ostream>
#include <string>

namespace jasminehatch::bench {
namespace {

using serving::Priority;
using testing::Fault;

constexpr std::string_view kPolicy = "policy";
constexpr std::string_view kBound = "bound";
/// Targets: the largest ratio of the policy's value to that of the bound, and,
/// under a fault, to that of the best baseline.
constexpr double kBoundFactor = 1.15;
constexpr double kFaultFactor = 1.3;

/// @brief A metric of the targets; lower is better.
struct Metric {
  std::string_view name;
  double (*value)(const testing::Measurements&);
  double resolution;  ///< Differences up to this are ignored.
};

template <Priority priority, int percent>
double FirstToken(const testing::Measurements& measurements) {
  return measurements.Percentile(priority, percent / 100.0);
}

constexpr std::array kMetrics{
    Metric{"TTFT p50", &FirstToken<Priority::kCount, 50>, 0.001},
    Metric{"TTFT p95", &FirstToken<Priority::kCount, 95>, 0.001},
    Metric{"TTFT p99", &FirstToken<Priority::kCount, 99>, 0.001},
    Metric{"interactive p95", &FirstToken<Priority::kInteractive, 95>, 0.001},
    Metric{"standard p95", &FirstToken<Priority::kStandard, 95>, 0.001},
    Metric{"batch p95", &FirstToken<Priority::kBatch, 95>, 0.001},
    Metric{"recomputed share",
           [](const testing::Measurements& m) { return m.RecomputedShare(); },
           0.0005},
    Metric{"memory link GB",
           [](const testing::Measurements& m) { return m.memory_bytes / 1e9; },
           1},
    Metric{"disk link GB",
           [](const testing::Measurements& m) { return m.disk_bytes / 1e9; },
           1},
    Metric{"link GB",
           [](const testing::Measurements& m) {
             return (m.memory_bytes + m.disk_bytes) / 1e9;
           },
           1},
    Metric{"refusals",
           [](const testing::Measurements& m) {
             // A request that never ended counts as a refusal.
             return static_cast<double>(m.requests - m.completed);
           },
           0.5},
};

using Group = std::vector<const Result*>;

/// @return the results grouped by workload and fault, each group in the order
/// of the strategies
std::vector<Group> GroupByFault(const std::vector<Result>& results) {
  std::vector<Group> groups;
  for (const Result& result : results) {
    if (groups.empty() || groups.back().front()->fault != result.fault ||
        groups.back().front()->spec.fiji != result.spec.fiji) {
      groups.emplace_back();
    }
    groups.back().push_back(&result);
  }
  return groups;
}

/// @brief Values of one metric in one group.
struct Comparison {
  double policy = 0;
  double bound = 0;
  double best_baseline = 1e300;
  std::string_view best_name;
};

Comparison Compare(const Group& group, const Metric& metric) {
  Comparison comparison;
  for (const Result* result : group) {
    const double value = metric.value(result->measurements);
    if (result->strategy == kPolicy) {
      comparison.policy = value;
    } else if (result->strategy == kBound) {
      comparison.bound = value;
    } else if (value < comparison.best_baseline) {
      comparison.best_baseline = value;
      comparison.best_name = result->strategy;
    }
  }
  return comparison;
}

void PrintWeightedTarget(std::ostream& out,
                         const Group& group,
                         const Metric& metric) {
  const Comparison c = Compare(group, metric);
  const auto name = group.front()->spec.Name();
  const auto line = [&](bool met, std::string_view what, double limit) {
    out << (met ? "met    " : "MISSED ") << name << ": " << metric.name << " "
        << what << " (" << c.policy << " against " << limit << ")\n";
  };
  line(c.policy < c.best_baseline,
       "below every baseline, best is " + std::string(c.best_name),
       c.best_baseline);
  line(c.policy <= kBoundFactor * c.bound, "within 1.15 times the bound",
       kBoundFactor * c.bound);
}

std::vector<double> HourlyP95(const Result& result) {
  std::vector<double> values;
  for (int hour = 0; hour < 24; ++hour) {
    testing::Measurements part;
    for (std::size_t i = 0; i < part.first_tokens.size(); ++i) {
      for (const auto& token : result.measurements.first_tokens[i]) {
        if (static_cast<int>(
                token.at / result.spec[testing::AssumptionId::kHourSeconds]) ==
            hour) {
          part.first_tokens[i].push_back(token);
        }
      }
    }
    values.push_back(part.Percentile(Priority::kCount, 0.95));
  }
  return values;
}

}  // namespace

void PrintAssumptions(std::ostream& out) {
  out << "assumed                 fontaines        fiji  meaning\n";
  for (const testing::Assumption& entry : testing::kAssumptions) {
    out << std::left << std::setw(20) << entry.name << std::right
        << std::setw(13) << entry.fontaines << std::setw(12) << entry.fiji
        << "  " << entry.meaning << "\n";
  }
}

void PrintTable(std::ostream& out, const std::vector<Result>& results) {
  for (const Group& group : GroupByFault(results)) {
    out << "\n"
        << group.front()->spec.Name()
        << ", fault: " << ToString(group.front()->fault) << "\n"
        << std::left << std::setw(15) << "strategy" << std::right
        << "    interactive          standard             batch          all "
           "p95  recomp  memGB diskGB  refused unanswered of\n"
        << std::left << std::setw(15) << " (s)" << std::right
        << "    p50   p95   p99    p50   p95   p99    p50   p95   p99\n";
    for (const Result* result : group) {
      const testing::Measurements& m = result->measurements;
      out << std::left << std::setw(15) << result->strategy << std::right
          << std::fixed << std::setprecision(2);
      for (const Priority priority :
           {Priority::kInteractive, Priority::kStandard, Priority::kBatch}) {
        out << " ";
        for (const double share : {0.5, 0.95, 0.99}) {
          out << std::setw(6) << m.Percentile(priority, share);
        }
      }
      out << std::setw(9) << m.Percentile(Priority::kCount, 0.95)
          << std::setprecision(4) << std::setw(8) << m.RecomputedShare()
          << std::setprecision(0) << std::setw(7) << m.memory_bytes / 1e9
          << std::setw(7) << m.disk_bytes / 1e9 << std::setw(7) << m.refused
          << std::setw(7) << m.requests - m.completed - m.refused
          << std::setw(9) << m.requests << "\n"
          << std::defaultfloat << std::setprecision(6);
    }
  }
}

void PrintCsv(std::ostream& out, const std::vector<Result>& results) {
  out << "workload,fault,strategy";
  for (const Metric& metric : kMetrics) {
    out << "," << metric.name;
  }
  out << "\n";
  for (const Result& result : results) {
    out << result.spec.Name() << "," << ToString(result.fault) << ","
        << result.strategy;
    for (const Metric& metric : kMetrics) {
      out << "," << metric.value(result.measurements);
    }
    out << "\n";
  }
}

void PrintTargets(std::ostream& out, const std::vector<Result>& results) {
  out << "\ntargets\n" << std::setprecision(4);
  for (const Group& group : GroupByFault(results)) {
    const Result& first = *group.front();
    if (first.fault == Fault::kNone) {
      for (const Metric& metric : kMetrics) {
        const bool weighted =
            first.spec.fiji
                ? metric.name == "recomputed share" || metric.name == "link GB"
                : metric.name == "TTFT p95";
        if (weighted) {
          PrintWeightedTarget(out, group, metric);
        }
      }
      continue;
    }
    std::string missed;
    for (const Metric& metric : kMetrics) {
      const Comparison c = Compare(group, metric);
      if (c.policy > kFaultFactor * c.best_baseline + metric.resolution) {
        missed += "\n         " + std::string(metric.name) + " " +
                  std::to_string(c.policy) + " against " +
                  std::to_string(c.best_baseline) + " of " +
                  std::string(c.best_name);
      }
    }
    out << (missed.empty() ? "met    " : "MISSED ") << first.spec.Name() << ", "
        << ToString(first.fault)
        << ": no measure above 1.3 times the best baseline" << missed << "\n";
  }
  out << std::setprecision(6);
}

void WriteSvg(std::ostream& out, const std::vector<Result>& results) {
  static constexpr std::array kColors{"#c00", "#999", "#bbb", "#06c",
                                      "#390", "#c60", "#000"};
  constexpr double kWidth = 640;
  constexpr double kHeight = 260;
  constexpr double kLeft = 50;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"860\" "
         "height=\"620\" font-family=\"sans-serif\" font-size=\"12\">\n"
         "<rect width=\"860\" height=\"620\" fill=\"#fff\"/>\n";
  double top = 30;
  for (const Group& group : GroupByFault(results)) {
    if (group.front()->fault != Fault::kNone) {
      continue;
    }
    out << "<text x=\"50\" y=\"" << top - 8 << "\">"
        << group.front()->spec.Name()
        << ": p95 time to first token by hour, seconds (log scale)</text>\n";
    // The scale is 0.1 s to 100 s.
    const auto y = [top](double seconds) {
      const double position =
          (std::log10(std::clamp(seconds, 0.1, 100.0)) + 1) / 3;
      return top + kHeight * (1 - position);
    };
    for (const double mark : {0.1, 1.0, 10.0, 100.0}) {
      out << "<text x=\"10\" y=\"" << y(mark) + 4 << "\">" << mark
          << "</text><path d=\"M" << kLeft << " " << y(mark) << "h" << kWidth
          << "\" stroke=\"#ddd\"/>\n";
    }
    for (std::size_t i = 0; i < group.size(); ++i) {
      const auto values = HourlyP95(*group[i]);
      out << "<polyline fill=\"none\" stroke=\"" << kColors[i % kColors.size()]
          << "\" stroke-width=\"" << (i == 0 ? 2.5 : 1.2) << "\" points=\"";
      for (std::size_t hour = 0; hour < values.size(); ++hour) {
        out << kLeft + kWidth * static_cast<double>(hour) / 23 << ","
            << y(values[hour]) << " ";
      }
      out << "\"/>\n<text x=\"" << kLeft + kWidth + 15 << "\" y=\""
          << top + 20 + 18 * static_cast<double>(i) << "\" fill=\""
          << kColors[i % kColors.size()] << "\">" << group[i]->strategy
          << "</text>\n";
    }
    for (int hour = 0; hour < 24; hour += 4) {
      out << "<text x=\"" << kLeft + kWidth * hour / 23 << "\" y=\""
          << top + kHeight + 16 << "\">" << hour << " h</text>\n";
    }
    top += kHeight + 45;
  }
  out << "</svg>\n";
}

}  // namespace jasminehatch::bench
