#ifndef JASMINEHATCH_DETAIL_CTL_LOAD_RUN_H_
#define JASMINEHATCH_DETAIL_CTL_LOAD_RUN_H_

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

#include "jasminehatch/detail/ctl/load_options.h"
#include "jasminehatch/detail/ctl/load_report.h"

namespace jasminehatch::ctl {

/// @brief An open-loop load run: arrivals keep their schedule regardless of the
/// responses, and latencies count from the scheduled times, so that a stall
/// shows in the tail.
class LoadRun {
 public:
  /// Returns whether `text` is the expected response of `tokens` tokens to the
  /// `messages` array, given as compact JSON.
  using ResponseCheck = std::function<bool(std::string_view messages,
                                           std::uint32_t tokens,
                                           std::string_view text)>;

  /// @param progress receives one line per second
  /// @param check additional check of the text, where the expected responses
  /// are known; the number of tokens and the end are checked in any case
  LoadRun(LoadOptions options,
          std::ostream& progress,
          ResponseCheck check = {});
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  /// Runs until the last response has ended.
  LoadReport Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_LOAD_RUN_H_
