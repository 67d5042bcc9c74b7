#include "jasminehatch/detail/ctl/load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace jasminehatch::ctl {
namespace {

constexpr std::array kPercentiles{0.5, 0.95, 0.99, 0.999};
constexpr std::array kPercentileNames{"p50", "p95", "p99", "p99.9"};

struct Series {
  const char* name;
  std::vector<double> LoadReport::Class::*samples;
};

constexpr std::array kSeries{
    Series{"first_token_ms", &LoadReport::Class::first_token_ms},
    Series{"token_gap_ms", &LoadReport::Class::token_gap_ms},
    Series{"total_ms", &LoadReport::Class::total_ms},
};

double RecomputedShare(const LoadReport::Class& results) {
  return results.prompt_tokens == 0
             ? 0
             : 1 - static_cast<double>(results.cached_tokens) /
                       static_cast<double>(results.prompt_tokens);
}

void Sort(LoadReport& report) {
  for (auto& [name, results] : report.classes) {
    for (const Series& series : kSeries) {
      std::sort((results.*series.samples).begin(),
                (results.*series.samples).end());
    }
  }
}

}  // namespace

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

bool LoadReport::IsClean() const {
  return std::all_of(classes.begin(), classes.end(), [](const auto& entry) {
    return entry.second.wrong == 0 && entry.second.cut_off == 0;
  });
}

std::string LoadReport::Table() {
  Sort(*this);
  std::ostringstream text;
  text << std::fixed << std::setprecision(2);
  for (const auto& [name, results] : classes) {
    text << name << ": sent " << results.sent << ", answered "
         << results.correct << ", wrong " << results.wrong << ", cut off "
         << results.cut_off << ", recomputed " << RecomputedShare(results) * 100
         << "%\n";
    for (const auto& [code, count] : results.refusals) {
      text << "  refused " << code << ": " << count << '\n';
    }
    for (const Series& series : kSeries) {
      const std::vector<double>& samples = results.*series.samples;
      if (samples.empty()) {
        continue;
      }
      text << "  " << std::left << std::setw(15) << series.name << std::right;
      for (std::size_t i = 0; i < kPercentiles.size(); ++i) {
        text << "  " << kPercentileNames.at(i) << ' ' << std::setw(9)
             << Percentile(samples, kPercentiles.at(i));
      }
      text << "  max " << std::setw(9) << samples.back() << '\n';
    }
  }
  return text.str();
}

std::string LoadReport::Json() {
  Sort(*this);
  nlohmann::json document = nlohmann::json::object();
  for (const auto& [name, results] : classes) {
    nlohmann::json entry = {{"sent", results.sent},
                            {"answered", results.correct},
                            {"wrong", results.wrong},
                            {"cut_off", results.cut_off},
                            {"refusals", results.refusals},
                            {"recomputed_share", RecomputedShare(results)}};
    for (const Series& series : kSeries) {
      const std::vector<double>& samples = results.*series.samples;
      nlohmann::json values = {{"samples", samples.size()}};
      for (std::size_t i = 0; i < kPercentiles.size(); ++i) {
        values[kPercentileNames.at(i)] =
            Percentile(samples, kPercentiles.at(i));
      }
      entry[series.name] = std::move(values);
    }
    document[name] = std::move(entry);
  }
  return document.dump();
}

}  // namespace jasminehatch::ctl
