#ifndef JASMINEHATCH_DETAIL_TESTING_FAKE_ENGINE_H_
#define JASMINEHATCH_DETAIL_TESTING_FAKE_ENGINE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/serving/attempt_result.h"
#include "jasminehatch/detail/serving/event.h"
#include "jasminehatch/detail/testing/event_queue.h"
#include "jasminehatch/detail/testing/fake_store.h"

namespace jasminehatch::testing {

/// @brief A model engine on simulated time: prefill in chunks by priority,
/// decode slots, a bounded prefix cache with events, load reports.
class FakeEngine {
 public:
  struct Options {
    std::string zone;
    double prefill_tokens_per_second = 8000;
    std::uint32_t slots = 16;
    std::uint32_t cache_blocks = 150;
    std::uint32_t block_tokens = 2000;
    double bytes_per_token = 100'000;
    double seconds_per_output_token = 0.03;
    double import_timeout = 10;  ///< Seconds after which an import is given up
                                 ///< and the prompt recomputed.
  };

  /// @brief One attempt.
  struct Run {
    std::vector<BlockKey> keys;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::size_t priority = 0;
    FakeStore* import_from = nullptr;
    std::uint32_t import_blocks = 0;
    std::function<void()> on_first_token;
    std::function<void(serving::AttemptResult)> on_ended;

    std::uint32_t cached_blocks = 0;  ///< Set when the prefill starts.
    double remaining_tokens = 0;
    double link_bytes = 0;
    bool ended = false;
  };

  FakeEngine(EventQueue& queue, Options options);

  void Start(const std::shared_ptr<Run>& run);
  void Cancel(Run& run);

  /// Breaks all runs and clears the cache; the engine is down until
  /// SetUp(true).
  void Crash();
  void SetUp(bool up) { m_up = up; }
  bool IsUp() const { return m_up; }

  /// Loads other weights: no prefill starts for `seconds`, and the cache is
  /// cleared.
  void LoadWeights(std::string version, double seconds);

  serving::LoadReported Report() const;
  std::uint32_t PrefixBlocks(const std::vector<BlockKey>& keys) const;
  double QueuedTokens(std::size_t priority) const;
  /// @return expected seconds until a decode slot is free
  double SlotWait(std::size_t priority) const;
  std::vector<BlockKey> Listing() const {
    return {m_cache.begin(), m_cache.end()};
  }
  std::uint64_t Sequence() const { return m_sequence; }
  const Options& GetOptions() const { return m_options; }
  const std::string& Version() const { return m_version; }

  /// Called with each change of the cache.
  std::function<void(const serving::CacheChange&)> on_change;

 private:
  using RunPtr = std::shared_ptr<Run>;
  using Queues = std::array<std::deque<RunPtr>, serving::kPriorityCount>;

  void Enqueue(const RunPtr& run);
  void PrefillNext();
  void DecodeNext();
  void StoreBlocks(const std::vector<BlockKey>& keys, std::uint32_t count);
  void End(const RunPtr& run, serving::AttemptResult result);

  EventQueue& m_queue;
  Options m_options;
  bool m_up = true;
  bool m_loading = false;
  bool m_prefilling = false;
  std::uint64_t m_incarnation = 1;
  std::uint64_t m_sequence = 0;
  std::uint32_t m_decoding = 0;
  std::string m_version = "v1";
  Queues m_prefill;
  Queues m_waiting_for_slot;
  std::vector<RunPtr> m_runs;
  std::list<BlockKey> m_cache;  ///< Least recently used first.
  std::unordered_map<BlockKey, std::list<BlockKey>::iterator> m_cached;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_FAKE_ENGINE_H_
