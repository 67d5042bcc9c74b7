#ifndef JASMINEHATCH_DETAIL_TELEMETRY_METRICS_H_
#define JASMINEHATCH_DETAIL_TELEMETRY_METRICS_H_

#include <array>
#include <boost/histogram.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/counter.h"
#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/relay/store_call.h"
#include "jasminehatch/detail/serving/priority.h"
#include "jasminehatch/detail/shedding/caller_refusal.h"

namespace jasminehatch::telemetry {

/// @brief Latencies that are measured per priority class.
enum class Latency {
  kTimeToFirstToken,
  kTokenGap,  ///< Inter-token latency: between two chunks of a stream.
  kQueueWait,
  /// From the arrival of a request until its response, if not streamed, is
  /// handed to the connection. Measured by forwarders only.
  kWholeResponse,
  kCount
};

inline constexpr std::size_t kLatencyCount =
    static_cast<std::size_t>(Latency::kCount);

/// @brief Counters and latency histograms of one daemon.
class Metrics {
 public:
  Metrics();

  void CountRefusal(RefusalCode code) {
    ++m_refusals.at(static_cast<std::size_t>(code));
  }
  void Count(Counter counter) {
    ++m_counters.at(static_cast<std::size_t>(counter));
  }
  void CountCallerRefusal(shedding::CallerRefusal reason) {
    ++m_caller_refusals.at(static_cast<std::size_t>(reason));
  }
  void CountStoreCall(const relay::StoreCall& call) {
    ++m_store_calls[call.topic]
          .at(static_cast<std::size_t>(call.operation))
          .at(static_cast<std::size_t>(call.outcome));
  }
  /// Sets the memory that callers take now, in bytes.
  void SetCallerMemory(std::uint64_t bytes) { m_caller_memory = bytes; }
  void CountRequest() { ++m_requests; }
  void CountResponse() { ++m_responses; }
  void CountTokens(std::uint64_t prompt,
                   std::uint64_t cached,
                   std::uint64_t completion);

  void Observe(Latency latency, serving::Priority priority, Duration value);

  std::uint64_t Refusals(RefusalCode code) const {
    return m_refusals.at(static_cast<std::size_t>(code));
  }
  std::uint64_t Value(Counter counter) const {
    return m_counters.at(static_cast<std::size_t>(counter));
  }

  /// @return all metrics in the Prometheus text format, times in seconds
  std::string Render() const;

  /// @return the calls to a topic of the platform's store
  std::uint64_t StoreCalls(const std::string& topic,
                           relay::StoreOperation operation,
                           relay::StoreOutcome outcome) const;

 private:
  using StoreCallCounts =
      std::array<std::array<std::uint64_t, relay::kStoreOutcomeCount>,
                 relay::kStoreOperationCount>;
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis{}));

  std::array<std::uint64_t, kRefusalCodeCount> m_refusals{};
  std::array<std::uint64_t, kCounterCount> m_counters{};
  std::array<std::uint64_t, shedding::kCallerRefusalCount> m_caller_refusals{};
  /// By topic; this system uses a fixed number of them.
  std::map<std::string, StoreCallCounts> m_store_calls;
  std::uint64_t m_caller_memory = 0;
  std::array<std::array<Histogram, serving::kPriorityCount>, kLatencyCount>
      m_histograms;
  std::array<std::array<double, serving::kPriorityCount>, kLatencyCount>
      m_sums{};
  std::uint64_t m_requests = 0;
  std::uint64_t m_responses = 0;
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_cached_tokens = 0;
  std::uint64_t m_completion_tokens = 0;
};

}  // namespace jasminehatch::telemetry

#endif  // JASMINEHATCH_DETAIL_TELEMETRY_METRICS_H_
