#ifndef JASMINEHATCH_DETAIL_CTL_LOAD_REPORT_H_
#define JASMINEHATCH_DETAIL_CTL_LOAD_REPORT_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminehatch::ctl {

/// @brief Results of a load run.
struct LoadReport {
  /// @brief Results of one class of requests. Times are in milliseconds.
  struct Class {
    std::uint64_t sent = 0;
    /// Prompts with a complete and correct response, or bookings that ran.
    std::uint64_t correct = 0;
    std::uint64_t wrong = 0;    ///< Complete, but with a wrong length or text.
    std::uint64_t cut_off = 0;  ///< Without an end, or without a response.
    std::map<std::string, std::uint64_t> refusals;  ///< By refusal code.
    std::vector<double> first_token_ms;  ///< From the scheduled arrival.
    std::vector<double> token_gap_ms;    ///< Between two tokens.
    std::vector<double> total_ms;        ///< From the scheduled arrival.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
  };

  std::map<std::string, Class> classes;  ///< By name of the class.

  /// @return whether no response was wrong or cut off
  bool IsClean() const;

  /// Table() and Json() sort the samples first.
  std::string Table();
  std::string Json();
};

/// @param sorted samples in ascending order
/// @param share from 0 to 1; 0 yields the smallest sample
/// @return the smallest sample that `share` of the samples do not exceed, or 0
/// without samples
double Percentile(const std::vector<double>& sorted, double share);

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_LOAD_REPORT_H_
