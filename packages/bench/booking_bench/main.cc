#include <gflags/gflags.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/codec.h"
#include "jasminehatch/core.h"

DEFINE_uint64(bookings, 20'000, "bookings in each row");
DEFINE_double(rate, 1'000, "bookings/s of the zone");
DEFINE_uint64(daemons, 8, "daemons of the zone");
DEFINE_uint64(append_us, 3'000, "time of one append and of its read-back");
DEFINE_uint64(handoff_us, 200, "time to hand entries to the batcher");
DEFINE_uint64(answer_bytes, 200, "length of the service's response");
DEFINE_uint64(seed, 1, "seed of the arrivals");

namespace {

using namespace jasminehatch;
using std::chrono::microseconds;

constexpr WallTime kWallTime = WallTime(std::chrono::hours(500'000));

/// @return bytes that the allocator has handed out, its own overhead included
std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

struct Row {
  double appends_per_second = 0;
  double entries_per_record = 0;
  double mean_added_ms = 0;  ///< From arrival to dispatch.
  double p99_added_ms = 0;
  double cpu_us = 0;  ///< Of all daemons together, per booking.
  double bytes_per_entry = 0;
};

/// Simulates a zone: the bookings arrive at the daemons in turn, appends,
/// read-backs and handoffs take fixed times, and the service responds at once.
class ZoneSimulation {
 public:
  ZoneSimulation(std::size_t daemons, Duration interval, bool with_batcher)
      : m_states(daemons) {
    booking::ZoneChanged zone{"zone-1", {}};
    for (std::size_t i = 0; i < daemons; ++i) {
      m_states[i].daemon = "entry-" + std::to_string(i);
      m_states[i].incarnation = 1;
      m_states[i].options.batch_interval = interval;
      m_states[i].options.claim_limit = 1U << 20U;
      zone.daemons.push_back(m_states[i].daemon);
    }
    if (with_batcher) {
      for (std::size_t i = 0; i < daemons; ++i) {
        Step(i, zone);
      }
    }
  }

  Row Run(std::uint64_t bookings, double rate, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(rate);
    double arrival = 0;
    for (std::uint64_t i = 0; i < bookings; ++i) {
      arrival += gap(random);
      booking::BookingArrived event;
      event.request = RequestId{i};
      event.key = {"workspace-1", "1800000000-" + std::to_string(random())};
      event.key_time = event.wall_now = kWallTime;
      event.service = "orders";
      event.body = std::string(200, 'b');
      const MonotonicTime at{std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(arrival))};
      m_arrived.push_back(at);
      m_queue.push({at, m_order++, i % m_states.size(), std::move(event)});
    }
    while (RunNext()) {
    }
    const double n = static_cast<double>(bookings);
    std::sort(m_waits.begin(), m_waits.end());
    double sum = 0;
    for (const double wait : m_waits) {
      sum += wait;
    }
    Row row;
    row.appends_per_second = static_cast<double>(m_records) / arrival;
    row.entries_per_record =
        static_cast<double>(m_entries) / static_cast<double>(m_records);
    row.mean_added_ms = sum / static_cast<double>(m_waits.size());
    row.p99_added_ms = m_waits[m_waits.size() * 99 / 100];
    row.cpu_us = std::chrono::duration<double, std::micro>(m_cpu).count() / n;
    row.bytes_per_entry =
        static_cast<double>(m_bytes) / static_cast<double>(m_entries);
    return row;
  }

  std::size_t DispatchCount() const { return m_waits.size(); }

 private:
  struct QueuedEvent {
    MonotonicTime at{};
    std::uint64_t order = 0;
    std::size_t daemon = 0;
    booking::Event event;

    bool operator>(const QueuedEvent& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  bool RunNext() {
    std::size_t first = m_states.size();
    for (std::size_t i = 0; i < m_states.size(); ++i) {
      const auto next = m_states[i].NextTimer();
      if (next &&
          (first == m_states.size() || *next < *m_states[first].NextTimer())) {
        first = i;
      }
    }
    const bool timer =
        first < m_states.size() &&
        (m_queue.empty() || *m_states[first].NextTimer() < m_queue.top().at);
    if (timer) {
      m_now = std::max(m_now, *m_states[first].NextTimer());
      Step(first, booking::TimerFired{});
      return true;
    }
    if (m_queue.empty()) {
      return false;
    }
    const QueuedEvent next = m_queue.top();
    m_queue.pop();
    m_now = next.at;
    Step(next.daemon, next.event);
    return true;
  }

  void Post(Duration delay, std::size_t daemon, booking::Event event) {
    m_queue.push({m_now + delay, m_order++, daemon, std::move(event)});
  }

  void Step(std::size_t daemon, const booking::Event& event) {
    const auto start = std::chrono::steady_clock::now();
    const booking::Effects effects =
        booking::Step(event, m_now, m_states[daemon]);
    m_cpu += std::chrono::steady_clock::now() - start;
    for (const booking::Effect& effect : effects) {
      if (const auto* append = std::get_if<booking::AppendEntries>(&effect)) {
        OnAppend(daemon, *append);
      } else if (const auto* handoff =
                     std::get_if<booking::ReplyToHandoff>(&effect)) {
        const auto [sender, id] = m_handoffs[handoff->handoff.value];
        Post(microseconds(FLAGS_handoff_us), sender,
             booking::AppendEnded{id, handoff->result});
      } else if (const auto* dispatch =
                     std::get_if<booking::Dispatch>(&effect)) {
        m_waits.push_back(std::chrono::duration<double, std::milli>(
                              m_now - m_arrived[dispatch->request.value])
                              .count());
        booking::DispatchEnded ended;
        ended.intent = dispatch->intent;
        ended.earlier_dispatches = dispatch->earlier_dispatches;
        ended.result = booking::DispatchResult::kResponded;
        ended.status = 201;
        ended.content_type = "application/json";
        ended.body = std::string(FLAGS_answer_bytes, 'a');
        Post(Duration(0), daemon, std::move(ended));
      }
    }
  }

  void OnAppend(std::size_t daemon, const booking::AppendEntries& append) {
    for (std::size_t i = 0; !append.via.empty() && i < m_states.size(); ++i) {
      if (m_states[i].daemon == append.via) {
        m_handoffs.emplace_back(daemon, append.append);
        Post(microseconds(FLAGS_handoff_us), i,
             booking::HandoffReceived{HandoffId{m_handoffs.size() - 1},
                                      append.entries});
        return;
      }
    }
    ++m_records;
    m_entries += append.entries.size();
    m_bytes += codec::EncodeBookingEntries(append.entries).size();
    const Duration delay = microseconds(FLAGS_append_us);
    for (std::size_t i = 0; i < m_states.size(); ++i) {
      Post(delay, i, booking::RecordsRead{append.entries, kWallTime});
    }
    Post(delay, daemon,
         booking::AppendEnded{append.append, booking::AppendResult::kAppended});
  }

  std::vector<booking::State> m_states;
  std::priority_queue<QueuedEvent, std::vector<QueuedEvent>, std::greater<>>
      m_queue;
  std::vector<std::pair<std::size_t, AppendId>> m_handoffs;
  std::vector<MonotonicTime> m_arrived;
  std::vector<double> m_waits;
  MonotonicTime m_now{};
  std::uint64_t m_order = 0;
  std::uint64_t m_records = 0;
  std::uint64_t m_entries = 0;
  std::uint64_t m_bytes = 0;
  Duration m_cpu{};
};

void MeasureIndex() {
  std::printf("\nindex: bookings, bytes per booking, ns per entry applied\n");
  for (const std::size_t count : {10'000U, 100'000U, 1'000'000U}) {
    const std::size_t before = AllocatedBytes();
    booking::BookingIndex index;
    Duration time{};
    for (std::size_t i = 0; i < count; ++i) {
      booking::Intent intent;
      intent.id = {"entry-1", 1, i};
      intent.key = {"workspace-1", "1800000000-" + std::to_string(i)};
      intent.key_time = kWallTime + std::chrono::seconds(i % 86'400);
      const booking::LogEntry first = intent;
      const booking::LogEntry second =
          booking::Outcome{intent.id, intent.key, 201, "application/json",
                           std::string(FLAGS_answer_bytes, 'a')};
      const auto start = std::chrono::steady_clock::now();
      index.Apply(first);
      index.Apply(second);
      time += std::chrono::steady_clock::now() - start;
    }
    std::printf("%9zu  %6.0f  %6.0f\n", count,
                static_cast<double>(AllocatedBytes() - before) /
                    static_cast<double>(count),
                std::chrono::duration<double, std::nano>(time).count() /
                    static_cast<double>(2 * count));
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "prints latency, appends, processor time and bytes of bookings against "
      "the batch interval, on simulated time");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf(
      "%llu daemons, %.0f bookings/s, append and read-back %.1f ms, handoff "
      "%.1f ms, responses of %llu bytes\n",
      static_cast<unsigned long long>(FLAGS_daemons), FLAGS_rate,
      static_cast<double>(FLAGS_append_us) / 1000,
      static_cast<double>(FLAGS_handoff_us) / 1000,
      static_cast<unsigned long long>(FLAGS_answer_bytes));
  std::printf(
      "interval_ms  batcher  appends/s  entries/record  added_mean_ms  "
      "added_p99_ms  us/booking/daemon  bytes/entry  dispatched\n");
  for (const int interval : {1, 5, 10, 25, 50, 100}) {
    for (const bool batcher : {false, true}) {
      ZoneSimulation zone(FLAGS_daemons, std::chrono::milliseconds(interval),
                          batcher);
      const Row row = zone.Run(FLAGS_bookings, FLAGS_rate, FLAGS_seed);
      std::printf(
          "%11d  %7s  %9.0f  %14.1f  %13.2f  %12.2f  %17.2f  %11.0f  %10zu\n",
          interval, batcher ? "yes" : "no", row.appends_per_second,
          row.entries_per_record, row.mean_added_ms, row.p99_added_ms,
          row.cpu_us / static_cast<double>(FLAGS_daemons), row.bytes_per_entry,
          zone.DispatchCount());
    }
  }
  MeasureIndex();
  return 0;
}
