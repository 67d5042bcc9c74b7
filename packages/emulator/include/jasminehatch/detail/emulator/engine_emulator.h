#ifndef JASMINEHATCH_DETAIL_EMULATOR_ENGINE_EMULATOR_H_
#define JASMINEHATCH_DETAIL_EMULATOR_ENGINE_EMULATOR_H_

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/http/http_server.h"
#include "jasminehatch/detail/serving/event.h"

namespace jasminehatch::emulator {

/// @brief One token of the response of an emulated engine to a prompt, which is
/// equal on all engines of a weight version.
/// @param prompt the `messages` array or the `prompt` string as compact JSON
/// @return the text of the token at `position`
std::string ResponseToken(std::string_view prompt,
                          std::string_view weight_version,
                          std::uint32_t position);

/// @return the complete response of `count` tokens
std::string ResponseText(std::string_view prompt,
                         std::string_view weight_version,
                         std::uint32_t count);

/// Tokens of a response whose request gives no limit.
inline constexpr std::uint32_t kDefaultResponseTokens = 16;

/// @brief Emulates a model engine: a serial prefill queue, decode slots, a
/// bounded prefix cache with events, load reports, resume and cancel.
///
/// Faults are set by `POST /admin/faults`: `break_share` (share of responses
/// whose stream breaks at a random token), `drop_events` (share of cache events
/// that are lost), `draining`. A prompt that contains `crash_text` calls the
/// crash handler, which ends the process in the emulator program.
class EngineEmulator {
 public:
  struct Options {
    net::HttpServer::Options server;
    std::string weight_version = "v1";
    double prefill_tokens_per_second = 100'000;
    /// Time between the tokens of one response; 0 for no pause.
    std::chrono::microseconds token_interval{1000};
    std::uint32_t slots = 64;
    std::size_t cache_blocks = 1000;
    /// Time to import one exported block.
    std::chrono::microseconds import_time{500};
    std::uint64_t incarnation = 1;
    std::uint64_t seed = 1;
    std::string crash_text;
    /// Rejects orders whose fencing token is below the highest one seen.
    bool checks_fencing = true;
    std::chrono::milliseconds load_time{330};  ///< Time to load new weights.
  };

  struct Faults {
    double break_share = 0;
    /// Share of cache events that are lost; `drop_events` in JSON.
    double lost_event_share = 0;
    bool draining = false;
  };

  EngineEmulator(asio::io_context& loop,
                 Options options,
                 std::function<void()> crash = {});
  ~EngineEmulator();

  std::uint16_t Port() const { return m_server.Port(); }
  void SetFaults(const Faults& faults) { m_faults = faults; }

  /// Breaks all responses in progress and accepts no further requests, like a
  /// process that exits.
  void Stop();

  std::uint64_t StartedRuns() const { return m_started_runs; }
  std::uint64_t CancelledRuns() const { return m_cancelled_runs; }
  const std::string& WeightVersion() const { return m_options.weight_version; }
  std::uint64_t RejectedOrders() const { return m_rejected_orders; }

 private:
  struct Run;
  using Writer = std::shared_ptr<net::ResponseWriter>;

  void OnRequest(const net::HttpRequest& request, const Writer& writer);
  void OnCompletion(const net::HttpRequest& request,
                    bool chat,
                    const Writer& writer);
  void OnCancel(const std::string& body, const Writer& writer);
  void OnFaults(const std::string& body, const Writer& writer);
  void OnOrder(const std::string& body, const Writer& writer);
  void StartLoading(std::string version);
  void ClearCache();
  void SendEvents(const net::HttpRequest& request, const Writer& writer) const;
  void StartNextPrefill();
  void OnPrefillDone(const std::shared_ptr<Run>& run);
  void StartNextDecode();
  void EmitTokens(const std::shared_ptr<Run>& run);
  void FinishRun(const std::shared_ptr<Run>& run);
  void CancelRun(const std::shared_ptr<Run>& run);
  void StoreBlocks(const std::vector<BlockKey>& keys);
  void RecordChange(const BlockKey& key, bool stored);
  serving::LoadReported CurrentLoad() const;

  asio::io_context& m_loop;
  Options m_options;
  Faults m_faults;
  std::function<void()> m_crash;
  std::mt19937_64 m_random;
  std::deque<std::shared_ptr<Run>> m_prefill_queue;
  std::shared_ptr<Run> m_prefilling;
  std::deque<std::shared_ptr<Run>> m_decode_queue;
  std::unordered_map<std::string, std::shared_ptr<Run>> m_runs;
  std::uint32_t m_decoding = 0;
  std::list<BlockKey> m_cache;  ///< Least recently used first.
  std::unordered_map<BlockKey, std::list<BlockKey>::iterator> m_cached;
  std::deque<serving::CacheChange> m_changes;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_started_runs = 0;
  std::uint64_t m_cancelled_runs = 0;
  std::uint64_t m_fencing = 0;  ///< Highest fencing token seen.
  std::uint64_t m_rejected_orders = 0;
  std::string m_loading;  ///< Version that is being loaded, or empty.
  std::unique_ptr<asio::steady_timer> m_load_timer;
  net::HttpServer m_server;
};

}  // namespace jasminehatch::emulator

#endif  // JASMINEHATCH_DETAIL_EMULATOR_ENGINE_EMULATOR_H_
