// Measures the serving reducer's cost per event, in time and allocations.
//
//   build/bin/jasminehatch_serving_bench
//
// The seed is fixed. Each context has four cached blocks on one upstream.
// "idle" has room on all upstreams; in "full" every upstream is at its limit
// and the queue is full, so that each end dispatches one request.

#include <jasminehatch/core.h>
#include <jasminehatch/detail/serving/router.h>
#include <jasminehatch/testing.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <new>
#include <random>
#include <string>
#include <vector>

namespace {

std::uint64_t g_allocations = 0;

}  // namespace

void* operator new(std::size_t size) {
  ++g_allocations;
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept {
  std::free(memory);
}
void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}

namespace {

using namespace jasminehatch;
using BenchClock = std::chrono::steady_clock;

constexpr std::uint32_t kBlocksPerContext = 4;
constexpr std::uint32_t kSeed = 20261204;
constexpr int kRequests = 20'000;

/// Time and allocations of one kind of event.
struct Cost {
  std::chrono::nanoseconds time{};
  std::uint64_t allocations = 0;
  std::uint64_t events = 0;

  void Print() const {
    const double count = events == 0 ? 1 : static_cast<double>(events);
    std::printf(" %8.2f us %5.1f |",
                static_cast<double>(time.count()) / count / 1000,
                static_cast<double>(allocations) / count);
  }
};

class Bench {
 public:
  Bench(std::uint32_t upstreams, std::uint32_t contexts, bool full)
      : m_random(kSeed), m_upstreams(upstreams), m_contexts(contexts) {
    m_state.options.queue_limit = 256;
    Send(testing::Engines(upstreams, 8));
    for (std::uint32_t i = 0; i < upstreams; ++i) {
      Send(testing::Report(i));
    }
    FillCaches();
    if (full) {
      for (std::uint32_t i = 0; i < upstreams * 8 + 256; ++i) {
        Arrive();
      }
    }
  }

  void Run() {
    for (int i = 0; i < kRequests; ++i) {
      m_now += std::chrono::microseconds(500);
      MeasureChoice();
      Measure(m_arrival, [&] { return Arrive(); });
      const std::uint64_t request = m_running.front().first;
      const std::uint64_t attempt = m_running.front().second;
      m_running.pop_front();
      const auto position =
          m_state.requests.at(RequestId{request}).next_position;
      Measure(m_chunk,
              [&] { return Send(testing::Chunk(request, attempt, position)); });
      Measure(m_end, [&] { return Send(testing::Ended(request, attempt)); });
      const std::uint32_t upstream = m_random() % m_upstreams;
      Measure(m_report, [&] { return Send(testing::Report(upstream)); });
      const BlockKey key = Key(m_random() % m_contexts, 0);
      const UpstreamId id{upstream};
      Measure(m_cache, [&] {
        const auto sequence = m_state.View(id).cache_sequence;
        return Send(serving::CacheChanged{
            id, {{sequence + 1, key, true}, {sequence + 2, key, false}}});
      });
    }
  }

  void Print(const char* mode) const {
    std::printf("%-4s %4u %7u |", mode, m_upstreams, m_contexts);
    for (const Cost* cost :
         {&m_choice, &m_arrival, &m_chunk, &m_end, &m_report, &m_cache}) {
      cost->Print();
    }
    std::printf(" %6.1f MB\n",
                static_cast<double>(m_state.prefixes.MemoryBytes()) / 1e6);
  }

 private:
  static BlockKey Key(std::uint64_t context, std::uint64_t block) {
    return testing::NumberedDigest(context * kBlocksPerContext + block);
  }

  void FillCaches() {
    for (std::uint64_t context = 0; context < m_contexts; ++context) {
      const UpstreamId id{static_cast<std::uint32_t>(context % m_upstreams)};
      serving::CacheChanged event{id, {}};
      for (std::uint64_t block = 0; block < kBlocksPerContext; ++block) {
        event.changes.push_back({m_state.View(id).cache_sequence + block + 1,
                                 Key(context, block), true});
      }
      Send(event);
    }
  }

  serving::Effects Arrive() { return Send(NextPrompt()); }

  serving::RequestArrived NextPrompt() {
    auto event = testing::Prompt(++m_next_request,
                                 "w" + std::to_string(m_random() % 10));
    const std::uint64_t context = m_random() % m_contexts;
    for (std::uint64_t block = 0; block < kBlocksPerContext; ++block) {
      event.keys.push_back(Key(context, block));
    }
    event.prompt_tokens = 9000;
    return event;
  }

  serving::Effects Send(const serving::Event& event) {
    const auto allocations = g_allocations;
    const auto start = BenchClock::now();
    auto effects = serving::Step(event, m_now, m_state);
    m_last_time = BenchClock::now() - start;
    m_last_allocations = g_allocations - allocations;
    for (const auto& effect : effects) {
      if (const auto* start_effect =
              std::get_if<serving::StartAttempt>(&effect)) {
        m_running.emplace_back(start_effect->request.value,
                               start_effect->attempt.value);
      }
    }
    return effects;
  }

  /// Measures the choice by cost alone, among all upstreams.
  void MeasureChoice() {
    serving::Request request;
    request.arrival = NextPrompt();
    std::vector<UpstreamId> candidates;
    for (std::uint32_t i = 0; i < m_upstreams; ++i) {
      candidates.push_back(UpstreamId{i});
    }
    const auto allocations = g_allocations;
    const auto start = BenchClock::now();
    serving::ChooseUpstream(candidates, request, m_state, m_state.options,
                            m_now);
    m_choice.time += BenchClock::now() - start;
    m_choice.allocations += g_allocations - allocations;
    ++m_choice.events;
  }

  template <typename Action>
  void Measure(Cost& cost, Action action) {
    action();
    cost.time += m_last_time;
    cost.allocations += m_last_allocations;
    ++cost.events;
  }

  std::mt19937 m_random;
  std::uint32_t m_upstreams;
  std::uint32_t m_contexts;
  serving::State m_state;
  MonotonicTime m_now{std::chrono::hours(1)};
  std::uint64_t m_next_request = 0;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> m_running;
  std::chrono::nanoseconds m_last_time{};
  std::uint64_t m_last_allocations = 0;
  Cost m_choice;
  Cost m_arrival;
  Cost m_chunk;
  Cost m_end;
  Cost m_report;
  Cost m_cache;
};

}  // namespace

int main() {
  std::printf(
      "mode  ups    ctxs |       choice alloc |      arrival alloc |        "
      "chunk alloc |"
      "          end alloc |       report alloc |  cache pair  alloc |"
      "  index\n");
  for (const char* mode : {"idle", "full"}) {
    for (const std::uint32_t upstreams : {15U, 150U, 600U}) {
      for (const std::uint32_t contexts : {1'000U, 20'000U, 400'000U}) {
        Bench bench(upstreams, contexts, mode == std::string("full"));
        bench.Run();
        bench.Print(mode);
      }
    }
  }
  return 0;
}
