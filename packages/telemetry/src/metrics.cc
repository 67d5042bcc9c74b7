#include "jasminehatch/detail/telemetry/metrics.h"

#include <algorithm>
#include <chrono>

namespace jasminehatch::telemetry {
namespace {

/// Histogram buckets from 0.1 ms to 100 s, ten per decade.
constexpr unsigned kBuckets = 60;
constexpr double kLowest = 1e-4;
constexpr double kHighest = 1e2;

constexpr std::array<std::string_view, kLatencyCount> kLatencyNames{
    "time_to_first_token_seconds", "token_gap_seconds", "queue_wait_seconds",
    "whole_answer_seconds"};

void AppendLine(std::string& text,
                std::string_view name,
                std::string_view labels,
                std::uint64_t value) {
  text += "jasminehatch_";
  text += name;
  text += labels;
  text += ' ';
  text += std::to_string(value);
  text += '\n';
}

void AppendStoreCalls(
    std::string& text,
    const std::string& topic,
    relay::StoreOperation operation,
    const std::array<std::uint64_t, relay::kStoreOutcomeCount>& counts) {
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts.at(i) > 0) {
      const auto outcome = static_cast<relay::StoreOutcome>(i);
      AppendLine(text, "store_calls_total",
                 "{topic=\"" + topic + "\",operation=\"" +
                     std::string(ToString(operation)) + "\",outcome=\"" +
                     std::string(ToString(outcome)) + "\"}",
                 counts.at(i));
    }
  }
}

}  // namespace

Metrics::Metrics() {
  for (auto& by_priority : m_histograms) {
    for (Histogram& histogram : by_priority) {
      histogram =
          boost::histogram::make_histogram(Axis(kBuckets, kLowest, kHighest));
    }
  }
}

void Metrics::CountTokens(std::uint64_t prompt,
                          std::uint64_t cached,
                          std::uint64_t completion) {
  m_prompt_tokens += prompt;
  m_cached_tokens += cached;
  m_completion_tokens += completion;
}

void Metrics::Observe(Latency latency,
                      serving::Priority priority,
                      Duration value) {
  const double seconds = std::chrono::duration<double>(value).count();
  const auto latency_index = static_cast<std::size_t>(latency);
  const auto priority_index = static_cast<std::size_t>(priority);
  // The logarithmic axis cannot represent 0.
  m_histograms.at(latency_index)
      .at(priority_index)(std::max(seconds, kLowest / 2));
  m_sums.at(latency_index).at(priority_index) += seconds;
}

std::uint64_t Metrics::StoreCalls(const std::string& topic,
                                  relay::StoreOperation operation,
                                  relay::StoreOutcome outcome) const {
  const auto found = m_store_calls.find(topic);
  return found == m_store_calls.end()
             ? 0
             : found->second.at(static_cast<std::size_t>(operation))
                   .at(static_cast<std::size_t>(outcome));
}

std::string Metrics::Render() const {
  std::string text;
  AppendLine(text, "requests_total", "", m_requests);
  AppendLine(text, "answers_total", "", m_responses);
  AppendLine(text, "prompt_tokens_total", "", m_prompt_tokens);
  AppendLine(text, "cached_prompt_tokens_total", "", m_cached_tokens);
  AppendLine(text, "completion_tokens_total", "", m_completion_tokens);
  for (std::size_t i = 0; i < m_refusals.size(); ++i) {
    AppendLine(text, "refusals_total",
               "{code=\"" +
                   std::string(Describe(static_cast<RefusalCode>(i)).name) +
                   "\"}",
               m_refusals[i]);
  }
  for (std::size_t i = 0; i < m_counters.size(); ++i) {
    AppendLine(
        text, "decisions_total",
        "{kind=\"" + std::string(ToString(static_cast<Counter>(i))) + "\"}",
        m_counters[i]);
  }
  AppendLine(text, "caller_memory_bytes", "", m_caller_memory);
  for (std::size_t i = 0; i < m_caller_refusals.size(); ++i) {
    AppendLine(
        text, "caller_refusals_total",
        "{reason=\"" +
            std::string(ToString(static_cast<shedding::CallerRefusal>(i))) +
            "\"}",
        m_caller_refusals[i]);
  }
  for (const auto& [topic, counts] : m_store_calls) {
    for (std::size_t i = 0; i < counts.size(); ++i) {
      AppendStoreCalls(text, topic, static_cast<relay::StoreOperation>(i),
                       counts.at(i));
    }
  }
  for (std::size_t latency_index = 0; latency_index < kLatencyCount;
       ++latency_index) {
    for (std::size_t priority_index = 0;
         priority_index < serving::kPriorityCount; ++priority_index) {
      const Histogram& histogram =
          m_histograms.at(latency_index).at(priority_index);
      const std::string priority(
          serving::ToString(static_cast<serving::Priority>(priority_index)));
      const std::string name(kLatencyNames.at(latency_index));
      std::uint64_t cumulative = 0;
      for (const auto& bin : boost::histogram::indexed(
               histogram, boost::histogram::coverage::all)) {
        cumulative += static_cast<std::uint64_t>(*bin);
        const double upper = bin.bin().upper();
        const std::string bound =
            upper > kHighest ? "+Inf" : std::to_string(upper);
        if (*bin > 0 || bound == "+Inf") {
          AppendLine(text, name + "_bucket",
                     "{priority=\"" + priority + "\",le=\"" + bound + "\"}",
                     cumulative);
        }
      }
      AppendLine(text, name + "_count", "{priority=\"" + priority + "\"}",
                 cumulative);
      text += "jasminehatch_" + name + "_sum{priority=\"" + priority + "\"} " +
              std::to_string(m_sums.at(latency_index).at(priority_index)) +
              "\n";
    }
  }
  return text;
}

}  // namespace jasminehatch::telemetry
