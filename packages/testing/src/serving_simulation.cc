#include "jasminehatch/detail/testing/serving_simulation.h"

#include <algorithm>
#include <utility>

#include "jasminehatch/detail/serving/step.h"

namespace jasminehatch::testing {
namespace {

using A = AssumptionId;
using serving::AttemptResult;

constexpr double kConnectTimeout = 1.0;  // Seconds.
// The fault covers the peak hours of the first day.
constexpr double kFaultStartHour = 4;
constexpr double kFaultEndHour = 6;
constexpr double kCrashSeconds = 60;

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

std::string ZoneName(std::uint32_t index, double zones) {
  return "zone-" + std::to_string(index % static_cast<std::uint32_t>(zones));
}

}  // namespace

std::string_view ToString(Fault fault) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(Fault::kCount)>
      kNames{"none",         "store dead",  "link at a tenth",
             "worker crash", "reports 5 s", "events lost 1/3",
             "zone cut off", "rollout",     "workspace x10"};
  return kNames[static_cast<std::size_t>(fault)];
}

double Measurements::Percentile(serving::Priority priority,
                                double share) const {
  std::vector<double> values;
  for (std::size_t i = 0; i < first_tokens.size(); ++i) {
    if (priority == serving::Priority::kCount ||
        i == static_cast<std::size_t>(priority)) {
      for (const FirstToken& token : first_tokens[i]) {
        values.push_back(token.seconds);
      }
    }
  }
  if (values.empty()) {
    return 0;
  }
  const auto rank =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

ServingSimulation::ServingSimulation(const WorkloadSpec& spec,
                                     std::uint64_t seed,
                                     Fault fault,
                                     const serving::Options& options)
    : m_spec(spec),
      m_fault(fault),
      m_random(seed + 1),
      m_schedule(
          MakeSchedule(spec, seed, fault == Fault::kHotWorkspace ? 10 : 1)) {
  m_state.options = options;
  for (std::uint32_t i = 0; i < m_spec[A::kEngines]; ++i) {
    m_engines.push_back(std::make_unique<FakeEngine>(
        m_queue, FakeEngine::Options{
                     ZoneName(i, m_spec[A::kZones]), m_spec[A::kPrefillRate],
                     static_cast<std::uint32_t>(m_spec[A::kDecodeSlots]),
                     static_cast<std::uint32_t>(m_spec[A::kCacheBlocks]),
                     static_cast<std::uint32_t>(m_spec[A::kBlockTokens]),
                     m_spec[A::kBytesPerToken], m_spec[A::kOutputTokenSeconds],
                     m_spec[A::kImportTimeout]}));
    m_engines.back()->on_change = [this,
                                   i](const serving::CacheChange& change) {
      m_changes[i].push_back(change);
    };
  }
  m_changes.resize(m_engines.size());
  for (std::uint32_t i = 0; i < m_spec[A::kStores]; ++i) {
    const std::string zone = ZoneName(i, m_spec[A::kZones]);
    for (const AssumptionId link :
         {A::kMemoryLinkBytesPerSecond, A::kDiskLinkBytesPerSecond}) {
      m_stores.push_back(std::make_unique<FakeStore>(
          m_queue, zone, m_spec[link], link == A::kDiskLinkBytesPerSecond));
    }
  }
}

void ServingSimulation::Configure() {
  serving::UpstreamsConfigured upstreams;
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    const FakeEngine::Options& engine = m_engines[i]->GetOptions();
    serving::UpstreamSpec spec;
    spec.name = "worker-" + std::to_string(i);
    spec.zone = engine.zone;
    spec.model = "assistant";
    spec.weight_version = "v1";
    spec.prefill_tokens_per_second = engine.prefill_tokens_per_second;
    spec.cache_bytes_per_token = engine.bytes_per_token;
    upstreams.upstreams.push_back(spec);
  }
  Send(std::move(upstreams));
  serving::StoresConfigured stores;
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    stores.stores.push_back(
        {"store-" + std::to_string(i / 2) + (i % 2 == 0 ? "/memory" : "/disk"),
         m_stores[i]->Zone(), m_stores[i]->BytesPerSecond()});
  }
  Send(std::move(stores));
}

void ServingSimulation::FillStores() {
  for (const Schedule::Context& context : m_schedule.contexts) {
    auto keys =
        ContextKeys(m_spec, context.workspace, context.id, context.tokens, 0);
    m_computed.insert(keys.begin(), keys.end());
    const std::uint32_t store = context.id % (m_stores.size() / 2);
    auto& memory = *m_stores[std::size_t{2} * store];
    const bool fits = memory.Blocks().size() + keys.size() <
                      static_cast<std::size_t>(m_spec[A::kMemoryBlocks]);
    const std::uint32_t tier = 2 * store + (fits ? 0 : 1);
    m_stores[tier]->Blocks().insert(keys.begin(), keys.end());
    Send(serving::StoreContentChanged{StoreId{tier}, keys, true});
    if (fits) {
      m_memory_order[store].push_back(std::move(keys));
    }
  }
}

Measurements ServingSimulation::Run(
    std::shared_ptr<const serving::RoutingPolicy> policy,
    double from,
    double until) {
  m_state.policy = std::move(policy);
  m_until = until;
  m_queue.RunUntil(from);
  m_queue.After(from, [this] {
    Configure();
    FillStores();
  });
  m_queue.RunUntil(from);
  for (std::uint32_t i = 0; i < m_engines.size(); ++i) {
    m_queue.After(0.01 * i, [this, i] { Poll(i); });
  }
  for (std::uint32_t i = 0; i < m_stores.size(); ++i) {
    m_queue.After(0.01 * i, [this, i] { PollStore(i); });
  }
  if (m_fault != Fault::kNone) {
    const double hour = m_spec[A::kHourSeconds];
    m_queue.After(kFaultStartHour * hour - from, [this] { StartFault(); });
    m_queue.After(kFaultEndHour * hour - from, [this] { EndFault(); });
  }
  for (const ScheduledRequest& request : m_schedule.requests) {
    if (request.at >= from && request.at < until) {
      m_queue.After(request.at - from, [this, &request] { Arrive(request); });
    }
  }
  // Requests in progress at the end get time to finish.
  m_queue.RunUntil(until + 300);
  return std::move(m_measurements);
}

void ServingSimulation::Send(const serving::Event& event) {
  for (const serving::Effect& effect :
       serving::Step(event, m_queue.Now(), m_state)) {
    std::visit([this](const auto& body) { Apply(body); }, effect);
  }
  ScheduleTimer();
}

void ServingSimulation::ScheduleTimer() {
  const auto next = m_state.NextTimer();
  if (!next || (m_timer && *m_timer <= *next)) {
    return;
  }
  m_timer = next;
  const double wait =
      std::chrono::duration<double>(*next - m_queue.Now()).count();
  m_queue.After(std::max(0.0, wait) + 1e-6, [this, due = *next] {
    if (m_timer == due) {
      m_timer.reset();
      Send(serving::TimerFired{});
    }
  });
}

std::uint32_t ServingSimulation::Version() const {
  return m_rolled_out ? 1 : 0;
}

void ServingSimulation::Arrive(const ScheduledRequest& request) {
  Job job{request,
          ContextKeys(m_spec, request.workspace, request.context,
                      request.prompt_tokens, Version()),
          false, nullptr, 0};
  if (request.foreign) {
    ArriveForeign(std::move(job));
    return;
  }
  ++m_measurements.requests;
  serving::RequestArrived arrived;
  arrived.request = RequestId{m_next_request++};
  arrived.workspace = "workspace-" + std::to_string(request.workspace);
  arrived.model = "assistant";
  arrived.weight_version = m_rolled_out ? "v2" : "v1";
  arrived.priority = request.priority;
  arrived.keys = job.keys;
  arrived.prompt_tokens = request.prompt_tokens;
  arrived.max_output_tokens = request.output_tokens;
  arrived.fingerprint.bytes[0] =
      static_cast<std::uint8_t>(arrived.request.value);
  for (std::size_t i = 0; i < sizeof(arrived.request.value); ++i) {
    arrived.fingerprint.bytes[i] =
        static_cast<std::uint8_t>(arrived.request.value >> (8 * i));
  }
  arrived.random = m_random();
  m_jobs.emplace(arrived.request, std::move(job));
  Send(std::move(arrived));
}

std::shared_ptr<FakeEngine::Run> ServingSimulation::MakeRun(
    const Job& job) const {
  auto run = std::make_shared<FakeEngine::Run>();
  run->keys = job.keys;
  run->prompt_tokens = job.request.prompt_tokens;
  run->output_tokens = job.request.output_tokens;
  run->priority = static_cast<std::size_t>(job.request.priority);
  return run;
}

// Models the routing of other daemons: they keep a session on its upstream,
// start sessions on the less loaded of two upstreams, and import what a store
// has unless its link is slow.
void ServingSimulation::ArriveForeign(Job job) {
  auto run = MakeRun(job);
  const std::size_t count = m_engines.size();
  auto pick = static_cast<std::uint32_t>(m_random() % count);
  const auto other = static_cast<std::uint32_t>(m_random() % count);
  if (m_engines[other]->QueuedTokens(2) < m_engines[pick]->QueuedTokens(2)) {
    pick = other;
  }
  const auto entry =
      m_foreign_sessions.try_emplace(job.request.session, pick).first;
  pick = m_engines[entry->second]->IsUp() ? entry->second : pick;
  const std::uint32_t local = m_engines[pick]->PrefixBlocks(job.keys);
  for (const auto& store : m_stores) {
    const std::uint32_t blocks = store->PrefixBlocks(job.keys);
    if (blocks > std::max(local, run->import_blocks) &&
        store->WaitSeconds() < 2) {
      run->import_from = store.get();
      run->import_blocks = blocks;
    }
  }
  run->on_first_token = [] {};
  run->on_ended = [this, job = std::move(job)](AttemptResult result) {
    if (result == AttemptResult::kComplete) {
      Export(job);
    }
  };
  m_engines[pick]->Start(run);
}

void ServingSimulation::Apply(const serving::StartAttempt& effect) {
  Job& job = m_jobs.at(effect.request);
  FakeEngine& engine = *m_engines[effect.upstream.value];
  auto run = MakeRun(job);
  job.run = run;
  job.upstream = effect.upstream.value;
  if (effect.import_from) {
    run->import_from = m_stores[effect.import_from->value].get();
    run->import_blocks = effect.import_blocks;
  }
  const double distance =
      engine.GetOptions().zone == "zone-0" ? 0 : m_spec[A::kZoneSeconds];
  const auto ended = [this, effect](AttemptResult result) {
    Send(serving::AttemptEnded{effect.request, effect.attempt, result,
                               "attempt ended", std::nullopt});
  };
  run->on_first_token = [this, effect, distance] {
    m_queue.After(distance, [this, effect] {
      Send(serving::AttemptChunk{effect.request, effect.attempt,
                                 effect.resume_from, "t"});
    });
  };
  run->on_ended = [this, ended, distance](AttemptResult result) {
    m_queue.After(distance, [ended, result] { ended(result); });
  };
  if (IsCutOff(engine.GetOptions().zone)) {
    run->ended = true;
    m_queue.After(kConnectTimeout, [ended] { ended(AttemptResult::kNotSent); });
    return;
  }
  m_queue.After(distance, [&engine, run] { engine.Start(run); });
}

void ServingSimulation::Apply(const serving::CancelAttempt& effect) {
  const auto entry = m_jobs.find(effect.request);
  if (entry != m_jobs.end() && entry->second.run) {
    m_engines[effect.upstream.value]->Cancel(*entry->second.run);
  }
}

void ServingSimulation::Apply(const serving::ForwardChunk& effect) {
  Job& job = m_jobs.at(effect.request);
  if (!std::exchange(job.first_token_seen, true)) {
    m_measurements.first_tokens[static_cast<std::size_t>(job.request.priority)]
        .push_back({job.request.at, m_queue.Seconds() - job.request.at});
  }
}

void ServingSimulation::RecordWork(const Job& job, const FakeEngine::Run& run) {
  if (run.import_from != nullptr) {
    const bool disk = run.import_from->IsDisk();
    (disk ? m_measurements.disk_bytes : m_measurements.memory_bytes) +=
        run.link_bytes;
  }
  for (std::uint32_t i = 0; i < job.keys.size(); ++i) {
    if (!m_computed.insert(job.keys[i]).second) {
      m_measurements.repeated_tokens += m_spec[A::kBlockTokens];
      m_measurements.recomputed_tokens +=
          i < run.cached_blocks ? 0 : m_spec[A::kBlockTokens];
    }
  }
}

void ServingSimulation::Apply(const serving::FinishRequest& effect) {
  const auto job = m_jobs.extract(effect.request);
  ++m_measurements.completed;
  RecordWork(job.mapped(), *job.mapped().run);
  Export(job.mapped());
}

void ServingSimulation::Apply(const serving::RefuseRequest& effect) {
  m_jobs.erase(effect.request);
  ++m_measurements.refused;
}

// A finished run exports the blocks that its store lacks. The store's memory
// keeps the most recently used contexts; the store moves the others to its disk
// without using the link.
void ServingSimulation::Export(const Job& job) {
  if (job.request.context == 0 || job.keys.empty()) {
    return;
  }
  const std::uint64_t index = job.request.context % (m_stores.size() / 2);
  FakeStore& memory = *m_stores[2 * index];
  FakeStore& disk = *m_stores[2 * index + 1];
  const std::uint32_t exported =
      std::max(memory.PrefixBlocks(job.keys), disk.PrefixBlocks(job.keys));
  const double bytes = static_cast<double>(job.keys.size() - exported) *
                       m_spec[A::kBlockTokens] * m_spec[A::kBytesPerToken];
  if (!job.request.foreign) {
    m_measurements.memory_bytes += bytes;
  }
  memory.Transfer(
      bytes, 60, [this, index, keys = job.keys](bool arrived, double) {
        if (!arrived) {
          return;
        }
        auto& order = m_memory_order[index];
        // Block 2 is the first that belongs to the context alone; it identifies
        // the entry that an earlier request of the context left.
        std::erase_if(order, [&keys](const std::vector<BlockKey>& other) {
          return other.size() > 2 && keys.size() > 2 && other[2] == keys[2];
        });
        order.push_back(keys);
        const auto notify = [this](std::uint32_t tier,
                                   const std::vector<BlockKey>& moved,
                                   bool held) {
          m_queue.After(m_spec[A::kEventLag], [this, tier, moved, held] {
            Send(serving::StoreContentChanged{StoreId{tier}, moved, held});
          });
        };
        const auto memory_tier = static_cast<std::uint32_t>(2 * index);
        auto& blocks = m_stores[memory_tier]->Blocks();
        blocks.insert(keys.begin(), keys.end());
        notify(memory_tier, keys, true);
        while (static_cast<double>(blocks.size()) > m_spec[A::kMemoryBlocks] &&
               order.size() > 1) {
          const std::vector<BlockKey> oldest = std::move(order.front());
          order.erase(order.begin());
          m_stores[memory_tier + 1]->Blocks().insert(oldest.begin(),
                                                     oldest.end());
          notify(memory_tier + 1, oldest, true);
          // The workspace's shared blocks stay: other contexts need them.
          const std::size_t shared = std::min<std::size_t>(
              oldest.size(),
              static_cast<std::size_t>(m_spec[A::kSharedBlocks]));
          const std::vector<BlockKey> dropped(
              oldest.begin() + static_cast<std::ptrdiff_t>(shared),
              oldest.end());
          for (const BlockKey& key : dropped) {
            blocks.erase(key);
          }
          notify(memory_tier, dropped, false);
        }
      });
}

void ServingSimulation::Apply(const serving::ResyncCache& effect) {
  m_queue.After(0.05, [this, effect] {
    const FakeEngine& engine = *m_engines[effect.upstream.value];
    Send(serving::CacheListed{effect.upstream, engine.Sequence(),
                              engine.Listing()});
  });
}

void ServingSimulation::Poll(std::uint32_t index) {
  if (m_queue.Seconds() > m_until + 60) {
    return;
  }
  m_queue.After(m_spec[A::kPollSeconds], [this, index] { Poll(index); });
  const FakeEngine& engine = *m_engines[index];
  const UpstreamId id{index};
  auto changes = std::exchange(m_changes[index], {});
  if (!engine.IsUp() || IsCutOff(engine.GetOptions().zone)) {
    m_queue.After(engine.IsUp() ? kConnectTimeout : 0.002,
                  [this, id] { Send(serving::UpstreamUnreachable{id}); });
    return;
  }
  const double lag = m_fault_active && m_fault == Fault::kStaleReports
                         ? 5
                         : m_spec[A::kReportLag];
  serving::LoadReported report = engine.Report();
  report.upstream = id;
  report.age = ToDuration(lag);
  m_queue.After(lag, [this, report] { Send(report); });
  const double loss = m_fault_active && m_fault == Fault::kLostEvents
                          ? 1.0 / 3
                          : m_spec[A::kEventLoss];
  std::erase_if(changes, [this, loss](const serving::CacheChange&) {
    return std::uniform_real_distribution<>(0, 1)(m_random) < loss;
  });
  if (!changes.empty()) {
    m_queue.After(m_spec[A::kEventLag], [this, id, changes] {
      Send(serving::CacheChanged{id, changes});
    });
  }
}

void ServingSimulation::PollStore(std::uint32_t index) {
  if (m_queue.Seconds() > m_until + 60) {
    return;
  }
  m_queue.After(m_spec[A::kPollSeconds], [this, index] { PollStore(index); });
  const FakeStore& store = *m_stores[index];
  const StoreId id{index};
  if (!store.IsAlive() || IsCutOff(store.Zone())) {
    m_queue.After(kConnectTimeout,
                  [this, id] { Send(serving::StoreUnreachable{id}); });
    return;
  }
  const serving::StoreLinkReported report{
      id, ToDuration(m_spec[A::kReportLag]), store.BytesPerSecond(),
      store.WaitSeconds() * store.BytesPerSecond()};
  m_queue.After(m_spec[A::kReportLag], [this, report] { Send(report); });
}

void ServingSimulation::StartFault() {
  m_fault_active = true;
  switch (m_fault) {
    case Fault::kStoreDead:
      m_stores[0]->SetAlive(false);
      m_stores[1]->SetAlive(false);
      break;
    case Fault::kSlowLink:
      m_stores[0]->SetBytesPerSecond(m_spec[A::kMemoryLinkBytesPerSecond] / 10);
      m_stores[1]->SetBytesPerSecond(m_spec[A::kDiskLinkBytesPerSecond] / 10);
      break;
    case Fault::kEngineCrash:
      m_engines[1]->Crash();
      m_queue.After(kCrashSeconds, [this] { m_engines[1]->SetUp(true); });
      break;
    case Fault::kRollout:
      ContinueRollout(0);
      break;
    case Fault::kZoneCut:
      // Streams across the cut break.
      for (auto& [id, job] : m_jobs) {
        if (job.run && IsCutOff(m_engines[job.upstream]->GetOptions().zone)) {
          m_queue.After(kConnectTimeout,
                        [run = job.run, this, up = job.upstream] {
                          if (!run->ended) {
                            m_engines[up]->Cancel(*run);
                            run->on_ended(AttemptResult::kBroken);
                          }
                        });
        }
      }
      break;
    default:
      break;
  }
}

void ServingSimulation::EndFault() {
  m_fault_active = false;
  for (std::size_t i = 0; i < m_stores.size(); ++i) {
    m_stores[i]->SetAlive(true);
    m_stores[i]->SetBytesPerSecond(
        m_spec[i % 2 == 0 ? A::kMemoryLinkBytesPerSecond
                          : A::kDiskLinkBytesPerSecond]);
  }
}

// Two engines load weights at a time; new requests use the new version once
// half of the engines have started to load it.
void ServingSimulation::ContinueRollout(std::uint32_t next) {
  if (next >= m_engines.size()) {
    return;
  }
  m_rolled_out = m_rolled_out || std::size_t{2} * next >= m_engines.size();
  for (std::uint32_t i = next;
       i < std::min<std::size_t>(next + 2, m_engines.size()); ++i) {
    m_engines[i]->LoadWeights("v2", m_spec[A::kWeightLoadSeconds]);
  }
  m_queue.After(m_spec[A::kWeightLoadSeconds] + 5,
                [this, next] { ContinueRollout(next + 2); });
}

}  // namespace jasminehatch::testing
