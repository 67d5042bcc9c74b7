#ifndef JASMINEHATCH_DETAIL_TESTING_SERVING_SIMULATION_H_
#define JASMINEHATCH_DETAIL_TESTING_SERVING_SIMULATION_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "jasminehatch/detail/serving/effect.h"
#include "jasminehatch/detail/serving/event.h"
#include "jasminehatch/detail/serving/state.h"
#include "jasminehatch/detail/testing/event_queue.h"
#include "jasminehatch/detail/testing/fake_engine.h"
#include "jasminehatch/detail/testing/fake_store.h"
#include "jasminehatch/detail/testing/workload.h"

namespace jasminehatch::testing {

/// @brief A fault that the policy benchmark injects.
enum class Fault {
  kNone,
  kStoreDead,
  kSlowLink,
  kEngineCrash,
  kStaleReports,
  kLostEvents,
  kZoneCut,
  kRollout,
  kHotWorkspace,
  kCount
};

std::string_view ToString(Fault fault);

/// @brief Measurements of one run of the benchmark, for requests of this
/// daemon.
struct Measurements {
  struct FirstToken {
    double at = 0;       ///< Arrival of the request.
    double seconds = 0;  ///< Time to first token.
  };

  std::array<std::vector<FirstToken>, serving::kPriorityCount> first_tokens;
  /// Prompt tokens in blocks that an engine had computed before.
  double repeated_tokens = 0;
  /// Tokens among repeated_tokens that were computed again.
  double recomputed_tokens = 0;
  double memory_bytes = 0;  ///< Transferred over the links to stores' memory.
  double disk_bytes = 0;    ///< Transferred over the links to stores' disks.
  std::uint32_t requests = 0;
  std::uint32_t completed = 0;
  std::uint32_t refused = 0;

  /// @param priority a class, or kCount for all
  /// @return seconds; 0 without requests
  double Percentile(serving::Priority priority, double share) const;
  double RecomputedShare() const {
    return recomputed_tokens / std::max(1.0, repeated_tokens);
  }
};

/// @brief Drives the serving reducer of one daemon on simulated time against
/// fake engines and stores. Requests of other daemons use the same engines.
class ServingSimulation {
 public:
  ServingSimulation(const WorkloadSpec& spec,
                    std::uint64_t seed,
                    Fault fault,
                    const serving::Options& options);

  /// @param policy chooses the upstreams
  /// @param from arrival of the first requests to send, in simulated seconds
  /// since the start of the schedule
  /// @param until end of the arrivals, in the same unit
  Measurements Run(std::shared_ptr<const serving::RoutingPolicy> policy,
                   double from,
                   double until);

  const FakeEngine& Engine(UpstreamId id) const {
    return *m_engines.at(id.value);
  }
  const FakeStore& Store(StoreId id) const { return *m_stores.at(id.value); }
  std::size_t StoreCount() const { return m_stores.size(); }

 private:
  /// A request of the schedule that is in progress.
  struct Job {
    ScheduledRequest request;
    std::vector<BlockKey> keys;
    bool first_token_seen = false;
    std::shared_ptr<FakeEngine::Run> run;
    std::uint32_t upstream = 0;
  };

  void Configure();
  void FillStores();
  void Send(const serving::Event& event);
  void Apply(const serving::StartAttempt& effect);
  void Apply(const serving::CancelAttempt& effect);
  void Apply(const serving::ForwardChunk& effect);
  void Apply(const serving::FinishRequest& effect);
  void Apply(const serving::RefuseRequest& effect);
  void Apply(const serving::ResyncCache& effect);
  void Apply(const serving::BroadcastQuarantine& /*effect*/) {}
  void Apply(const CountEvent& /*effect*/) {}
  void Apply(const serving::ReportCold& /*effect*/) {}

  void Arrive(const ScheduledRequest& request);
  void ArriveForeign(Job job);
  std::shared_ptr<FakeEngine::Run> MakeRun(const Job& job) const;
  void RecordWork(const Job& job, const FakeEngine::Run& run);
  void Export(const Job& job);
  void Poll(std::uint32_t engine);
  void PollStore(std::uint32_t store);
  void ScheduleTimer();
  void StartFault();
  void EndFault();
  void ContinueRollout(std::uint32_t next);
  std::uint32_t Version() const;
  bool IsCutOff(std::string_view zone) const {
    return m_fault_active && m_fault == Fault::kZoneCut && zone == "zone-2";
  }

  WorkloadSpec m_spec;
  Fault m_fault;
  bool m_fault_active = false;
  bool m_rolled_out = false;
  double m_until = 0;
  EventQueue m_queue;
  std::mt19937_64 m_random;
  Schedule m_schedule;
  serving::State m_state;
  std::vector<std::unique_ptr<FakeEngine>> m_engines;
  /// Memory and disk tier of each store in turn.
  std::vector<std::unique_ptr<FakeStore>> m_stores;
  /// Cache events of each engine since its last poll.
  std::vector<std::vector<serving::CacheChange>> m_changes;
  std::unordered_map<RequestId, Job> m_jobs;
  std::uint64_t m_next_request = 1;
  /// Blocks that an engine has computed.
  std::unordered_set<BlockKey> m_computed;
  /// Engine of each session of the other daemons.
  std::unordered_map<std::uint64_t, std::uint32_t> m_foreign_sessions;
  /// Keys of the contexts in each store's memory, least recently used first.
  std::array<std::vector<std::vector<BlockKey>>, 2> m_memory_order;
  std::optional<MonotonicTime> m_timer;
  Measurements m_measurements;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_SERVING_SIMULATION_H_
