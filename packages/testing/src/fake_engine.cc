#include "jasminehatch/detail/testing/fake_engine.h"

#include <algorithm>
#include <utility>

namespace jasminehatch::testing {
namespace {

using serving::AttemptResult;

std::shared_ptr<FakeEngine::Run> TakeFirst(
    std::array<std::deque<std::shared_ptr<FakeEngine::Run>>,
               serving::kPriorityCount>& queues) {
  for (auto& queue : queues) {
    while (!queue.empty()) {
      auto run = queue.front();
      queue.pop_front();
      if (!run->ended) {
        return run;
      }
    }
  }
  return nullptr;
}

}  // namespace

FakeEngine::FakeEngine(EventQueue& queue, Options options)
    : m_queue(queue), m_options(std::move(options)) {}

void FakeEngine::Start(const RunPtr& run) {
  if (!m_up || m_loading) {
    run->ended = true;
    m_queue.After(0.001, [run, up = m_up] {
      run->on_ended(up ? AttemptResult::kRejectedNotRun
                       : AttemptResult::kNotSent);
    });
    return;
  }
  m_runs.push_back(run);
  const std::uint32_t local = PrefixBlocks(run->keys);
  if (run->import_from == nullptr || run->import_blocks <= local) {
    Enqueue(run);
    return;
  }
  const double bytes = (run->import_blocks - local) *
                       m_options.bytes_per_token * m_options.block_tokens;
  run->remaining_tokens =
      run->prompt_tokens -
      std::min(run->prompt_tokens, run->import_blocks * m_options.block_tokens);
  run->import_from->Transfer(
      bytes, m_options.import_timeout,
      [this, run, incarnation = m_incarnation](bool arrived, double moved) {
        run->link_bytes = moved;
        if (incarnation != m_incarnation) {
          return;
        }
        if (run->ended) {
          return;
        }
        if (arrived) {
          StoreBlocks(run->keys, run->import_blocks);
        }
        Enqueue(run);
      });
}

void FakeEngine::Enqueue(const RunPtr& run) {
  run->cached_blocks = PrefixBlocks(run->keys);
  const std::uint32_t cached =
      std::min(run->cached_blocks * m_options.block_tokens, run->prompt_tokens);
  // The last token is always computed.
  run->remaining_tokens = std::max(1U, run->prompt_tokens - cached);
  m_prefill[run->priority].push_back(run);
  PrefillNext();
}

void FakeEngine::PrefillNext() {
  if (m_prefilling || m_loading) {
    return;
  }
  const RunPtr run = TakeFirst(m_prefill);
  if (!run) {
    return;
  }
  m_prefilling = true;
  // Prefill yields to more urgent runs after each block.
  const double tokens =
      std::min<double>(run->remaining_tokens, m_options.block_tokens);
  m_queue.After(tokens / m_options.prefill_tokens_per_second,
                [this, run, tokens, incarnation = m_incarnation] {
                  if (incarnation != m_incarnation) {
                    return;
                  }
                  m_prefilling = false;
                  run->remaining_tokens -= tokens;
                  if (run->ended) {
                  } else if (run->remaining_tokens > 0) {
                    m_prefill[run->priority].push_front(run);
                  } else {
                    StoreBlocks(run->keys,
                                static_cast<std::uint32_t>(run->keys.size()));
                    m_waiting_for_slot[run->priority].push_back(run);
                    DecodeNext();
                  }
                  PrefillNext();
                });
}

void FakeEngine::DecodeNext() {
  while (m_decoding < m_options.slots) {
    const RunPtr run = TakeFirst(m_waiting_for_slot);
    if (!run) {
      return;
    }
    ++m_decoding;
    run->on_first_token();
    m_queue.After(run->output_tokens * m_options.seconds_per_output_token,
                  [this, run, incarnation = m_incarnation] {
                    if (incarnation != m_incarnation) {
                      return;
                    }
                    --m_decoding;
                    End(run, AttemptResult::kComplete);
                    DecodeNext();
                  });
  }
}

void FakeEngine::End(const RunPtr& run, AttemptResult result) {
  std::erase(m_runs, run);
  if (!std::exchange(run->ended, true)) {
    run->on_ended(result);
  }
}

void FakeEngine::Cancel(Run& run) {
  run.ended = true;
  std::erase_if(m_runs,
                [&run](const RunPtr& other) { return other.get() == &run; });
}

void FakeEngine::Crash() {
  ++m_incarnation;
  m_up = false;
  m_prefilling = false;
  m_decoding = 0;
  m_sequence = 0;
  m_cache.clear();
  m_cached.clear();
  for (auto& queue : m_prefill) {
    queue.clear();
  }
  for (auto& queue : m_waiting_for_slot) {
    queue.clear();
  }
  for (const RunPtr& run : std::exchange(m_runs, {})) {
    End(run, AttemptResult::kBroken);
  }
}

void FakeEngine::LoadWeights(std::string version, double seconds) {
  m_loading = true;
  m_version = std::move(version);
  while (!m_cache.empty()) {
    m_cached.erase(m_cache.front());
    on_change({++m_sequence, m_cache.front(), false});
    m_cache.pop_front();
  }
  m_queue.After(seconds, [this] {
    m_loading = false;
    PrefillNext();
  });
}

serving::LoadReported FakeEngine::Report() const {
  serving::LoadReported report;
  report.running = m_decoding;
  report.slots = m_options.slots;
  report.queued = static_cast<std::uint32_t>(m_runs.size()) - m_decoding;
  report.queued_prefill_tokens =
      static_cast<std::uint64_t>(QueuedTokens(serving::kPriorityCount - 1));
  report.incarnation = m_incarnation;
  report.weight_version = m_version;
  return report;
}

double FakeEngine::QueuedTokens(std::size_t priority) const {
  double tokens = 0;
  for (const RunPtr& run : m_runs) {
    tokens += run->priority <= priority ? run->remaining_tokens : 0;
  }
  return tokens;
}

double FakeEngine::SlotWait(std::size_t priority) const {
  std::size_t ahead = m_decoding;
  for (std::size_t i = 0; i <= priority; ++i) {
    ahead += m_waiting_for_slot[i].size();
  }
  // Assumes that a run holds its slot for 3 s, so that one of `slots` runs ends
  // every 3 s / `slots`.
  return ahead < m_options.slots
             ? 0
             : 3.0 * static_cast<double>(ahead + 1 - m_options.slots) /
                   m_options.slots;
}

std::uint32_t FakeEngine::PrefixBlocks(
    const std::vector<BlockKey>& keys) const {
  std::uint32_t blocks = 0;
  while (blocks < keys.size() && m_cached.contains(keys[blocks])) {
    ++blocks;
  }
  return blocks;
}

void FakeEngine::StoreBlocks(const std::vector<BlockKey>& keys,
                             std::uint32_t count) {
  // Later blocks are touched first, so that eviction shortens prefixes from
  // their end.
  for (std::uint32_t i = std::min<std::uint32_t>(count, keys.size()); i > 0;
       --i) {
    const BlockKey& key = keys[i - 1];
    const auto cached = m_cached.find(key);
    if (cached != m_cached.end()) {
      m_cache.splice(m_cache.end(), m_cache, cached->second);
      continue;
    }
    m_cached.emplace(key, m_cache.insert(m_cache.end(), key));
    on_change({++m_sequence, key, true});
  }
  while (m_cache.size() > m_options.cache_blocks) {
    const BlockKey evicted = m_cache.front();
    m_cached.erase(evicted);
    m_cache.pop_front();
    on_change({++m_sequence, evicted, false});
  }
}

}  // namespace jasminehatch::testing
