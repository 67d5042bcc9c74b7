#ifndef JASMINEHATCH_DETAIL_LEASE_OPTIONS_H_
#define JASMINEHATCH_DETAIL_LEASE_OPTIONS_H_

#include <chrono>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::lease {

/// @brief Settings of the lease reducer; equal in all daemons of a zone.
struct Options {
  /// Duration of a lease. The holder counts it from sending the record, the
  /// other daemons from reading it.
  Duration lease_time = std::chrono::seconds(10);
  /// Time before the earliest possible expiry of its lease at which the holder
  /// stops sending orders; covers clocks of different rates. Also the shortest
  /// time between the last order of a holder that released its lease and the
  /// claim of the next one.
  Duration margin = std::chrono::seconds(2);
  /// Age of its lease at which the holder renews it.
  Duration renew_after = std::chrono::seconds(3);
  /// Time after which an append that was rejected or got no response is
  /// repeated.
  Duration append_retry = std::chrono::milliseconds(500);
  /// A holder whose last read to the end of the log is older than this reads
  /// again before it sends orders.
  Duration max_read_age = std::chrono::seconds(1);
  /// Longest time from sending an order to its effect at an upstream.
  Duration max_order_delay = std::chrono::seconds(5);
  /// Time after which a held order is reported with its reason.
  Duration report_held_after = std::chrono::milliseconds(500);
  /// Time after which an order is repeated whose effect no report shows.
  Duration order_retry = std::chrono::seconds(2);
  /// Longest age of what a report shows: time after which an order that was
  /// rejected is repeated, and one with an unknown outcome if the upstream
  /// compares the number of orders, so that it accepts only one of both.
  Duration max_report_age = std::chrono::milliseconds(500);
};

}  // namespace jasminehatch::lease

#endif  // JASMINEHATCH_DETAIL_LEASE_OPTIONS_H_
