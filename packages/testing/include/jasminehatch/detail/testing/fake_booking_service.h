#ifndef JASMINEHATCH_DETAIL_TESTING_FAKE_BOOKING_SERVICE_H_
#define JASMINEHATCH_DETAIL_TESTING_FAKE_BOOKING_SERVICE_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "jasminehatch/detail/booking/log_entry.h"

namespace jasminehatch::testing {

/// @brief A plain service that counts how often each booking ran.
class FakeBookingService {
 public:
  /// Runs a booking.
  /// @return the response body, which differs from run to run
  std::string Run(const booking::BookingKey& key) {
    const std::uint32_t run = ++m_runs[key];
    return "booked " + key.key + ", run " + std::to_string(run) + ", number " +
           std::to_string(++m_total);
  }

  std::uint32_t RunsOf(const booking::BookingKey& key) const {
    const auto runs = m_runs.find(key);
    return runs == m_runs.end() ? 0 : runs->second;
  }

  std::uint64_t Total() const { return m_total; }

 private:
  std::unordered_map<booking::BookingKey, std::uint32_t> m_runs;
  std::uint64_t m_total = 0;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_FAKE_BOOKING_SERVICE_H_
