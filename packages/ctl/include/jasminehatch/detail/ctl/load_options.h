#ifndef JASMINEHATCH_DETAIL_CTL_LOAD_OPTIONS_H_
#define JASMINEHATCH_DETAIL_CTL_LOAD_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminehatch::ctl {

/// @brief What a load run sends.
struct LoadOptions {
  std::vector<std::string> daemons;  ///< Base URLs, used in turn.
  std::string key;                   ///< Bearer key of the workspace.
  std::string model;
  std::string service;  ///< Plain service for bookings; empty for none.
  double rate = 10;     ///< Arrivals per second.
  /// Period in which requests arrive.
  std::chrono::milliseconds duration{10'000};
  std::chrono::milliseconds call_timeout{120'000};
  double standard_share = 0.3;
  double batch_share = 0.1;  ///< The rest is interactive.
  double booking_share = 0;
  /// Share of contexts that are sent a second time.
  double return_share = 0.5;
  std::chrono::milliseconds return_gap{2000};
  std::size_t context_bytes = 16'000;
  std::uint32_t tokens = 64;  ///< Length of a response.
  std::uint64_t seed = 1;
};

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_LOAD_OPTIONS_H_
