#include "jasminehatch/detail/testing/workload.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <random>

namespace jasminehatch::testing {
namespace {

using A = AssumptionId;

/// One step of the SplitMix64 generator.
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9E3779B97F4A7C15ULL;
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

/// Generates the random requests of one schedule. There are four kinds:
/// - The requests of a session: they extend one context, which returns in later
///   sessions.
/// - A review: the first request of some sessions, with a long output and batch
///   priority.
/// - A check: a short request outside sessions.
/// - A question: a request inside or outside sessions with an output of two
///   tokens, yes or no.
///
/// Requests that are `foreign` are sent by other daemons. Times are simulated
/// seconds since the start.
class Generator {
 public:
  Generator(const WorkloadSpec& spec,
            std::uint64_t seed,
            double last_workspace_factor)
      : m_spec(spec),
        m_random(seed),
        m_workspaces(WorkspaceShares(last_workspace_factor)) {}

  Schedule Run() {
    MakeContexts();
    const double end_seconds = m_spec[A::kHours] * m_spec[A::kHourSeconds];
    const double rate = m_spec[A::kSessionsPerSecond] +
                        m_spec[A::kChecksPerSecond] +
                        m_spec[A::kQuestionsPerSecond];
    // Thinning of a Poisson process at the peak rate.
    const double peak_rate = rate * m_spec[A::kPeakFactor];
    for (double at = Exponential(1 / peak_rate); at < end_seconds;
         at += Exponential(1 / peak_rate)) {
      if (Uniform(0, 1) * m_spec[A::kPeakFactor] >= RelativeDemand(at)) {
        continue;
      }
      const double draw = Uniform(0, rate);
      if (draw < m_spec[A::kSessionsPerSecond]) {
        AddSession(at);
      } else {
        const bool check =
            draw < m_spec[A::kSessionsPerSecond] + m_spec[A::kChecksPerSecond];
        AddShortRequest(at, check);
      }
    }
    std::stable_sort(m_schedule.requests.begin(), m_schedule.requests.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    std::erase_if(m_schedule.requests, [end_seconds](const auto& request) {
      return request.at > end_seconds;
    });
    return std::move(m_schedule);
  }

 private:
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<>(low, high)(m_random);
  }
  double Exponential(double mean) {
    return std::exponential_distribution<>(1 / mean)(m_random);
  }

  std::discrete_distribution<std::uint32_t> WorkspaceShares(
      double last_workspace_factor) const {
    const auto count = static_cast<std::size_t>(m_spec[A::kWorkspaces]);
    const auto large = static_cast<std::size_t>(m_spec[A::kLargeWorkspaces]);
    std::vector<double> shares(count, (1 - m_spec[A::kLargeShare]) /
                                          static_cast<double>(count - large));
    std::fill_n(shares.begin(), large,
                m_spec[A::kLargeShare] / static_cast<double>(large));
    shares.back() *= last_workspace_factor;
    return {shares.begin(), shares.end()};
  }

  /// Demand relative to daytime. Hour 0 is midnight; the second day is a
  /// holiday.
  double RelativeDemand(double at) const {
    const double hours = at / m_spec[A::kHourSeconds];
    const double hour = std::fmod(hours, 24);
    const double holiday = hours >= 24 ? m_spec[A::kHolidayFactor] : 1;
    if (hour >= 4 && hour < 6) {
      return holiday * m_spec[A::kPeakFactor];
    }
    return holiday * (hour >= 22 || hour < 4 ? m_spec[A::kNightFactor] : 1);
  }

  std::uint32_t ContextTokens() {
    return static_cast<std::uint32_t>(
        std::exp(Uniform(std::log(m_spec[A::kContextMinTokens]),
                         std::log(m_spec[A::kContextMaxTokens]))));
  }

  void MakeContexts() {
    // Every context has been idle long enough to return at once.
    m_idle_since.assign(static_cast<std::size_t>(m_spec[A::kContexts]), -1e9);
    for (std::size_t i = 0; i < m_idle_since.size(); ++i) {
      m_schedule.contexts.push_back(
          {++m_last_context, m_workspaces(m_random), ContextTokens()});
    }
    m_current_contexts = m_schedule.contexts;
  }

  /// Adds a session: the return of a context that has been idle for long
  /// enough, or a new context if there is none, and follow-ups while it is
  /// still cached.
  void AddSession(double at) {
    const auto workspace = m_workspaces(m_random);
    const double idle = m_spec[A::kIdleHours] * m_spec[A::kHourSeconds];
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < m_current_contexts.size(); ++i) {
      if (m_current_contexts[i].workspace == workspace &&
          m_idle_since[i] + idle < at) {
        ready.push_back(i);
      }
    }
    if (ready.empty()) {
      m_current_contexts.push_back(
          {++m_last_context, workspace, ContextTokens()});
      m_idle_since.push_back(0);  // Set with the first request below.
      ready.push_back(m_current_contexts.size() - 1);
    }
    const std::size_t index = ready[m_random() % ready.size()];
    Schedule::Context& context = m_current_contexts[index];
    const bool review = Uniform(0, 1) < m_spec[A::kReviewShare];
    const bool foreign = Uniform(0, 1) < m_spec[A::kForeignShare];
    const double follow_ups = Exponential(m_spec[A::kFollowUps]);
    const std::uint64_t session = ++m_last_session;
    for (int turn = 0; turn == 0 || turn < follow_ups; ++turn) {
      const auto added = static_cast<std::uint32_t>(Uniform(200, 3000));
      if (context.tokens + added > m_spec[A::kContextMaxTokens]) {
        // The context would exceed the longest length. A shorter one with other
        // content, and so with a new id, takes its place.
        context.id = ++m_last_context;
        context.tokens = ContextTokens() / 4 + 2500;
      }
      context.tokens += added;
      const bool question = turn > 0 && Uniform(0, 1) < 0.3;
      const auto output = static_cast<std::uint32_t>(
          question ? 2
                   : (review && turn == 0 ? m_spec[A::kReviewOutput]
                                          : Uniform(40, 200)));
      m_schedule.requests.push_back(
          {at, context.workspace, context.id, session, context.tokens, output,
           review && turn == 0 ? serving::Priority::kBatch
                               : (question ? serving::Priority::kInteractive
                                           : serving::Priority::kStandard),
           foreign});
      context.tokens += output;
      m_idle_since[index] = at;
      at += 4 + Exponential(m_spec[A::kThinkSeconds]);
    }
  }

  void AddShortRequest(double at, bool check) {
    const auto shared = static_cast<std::uint32_t>(m_spec[A::kSharedBlocks] *
                                                   m_spec[A::kBlockTokens]);
    m_schedule.requests.push_back(
        {at, m_workspaces(m_random), 0, ++m_last_session,
         shared + static_cast<std::uint32_t>(check ? Uniform(300, 1900)
                                                   : Uniform(100, 500)),
         static_cast<std::uint32_t>(check ? Uniform(20, 80) : 2),
         serving::Priority::kInteractive,
         Uniform(0, 1) < m_spec[A::kForeignShare]});
  }

  const WorkloadSpec& m_spec;
  std::mt19937_64 m_random;
  std::discrete_distribution<std::uint32_t> m_workspaces;
  std::uint64_t m_last_context = 0;
  std::uint64_t m_last_session = 0;
  std::vector<Schedule::Context> m_current_contexts;
  /// Time of the last request, by index in `m_current_contexts`.
  std::vector<double> m_idle_since;
  Schedule m_schedule;
};

}  // namespace

// The first value is that of the workload `fontaines`, the second that of
// `fiji`.
const std::array<Assumption, kAssumptionCount> kAssumptions{{
    {A::kZones, "zones", 3, 3, "availability zones"},
    {A::kZoneSeconds, "zone_seconds", 0.0015, 0.0015,
     "one-way latency between zones, seconds"},
    {A::kEngines, "workers", 12, 12, "engines that run the model"},
    {A::kStores, "stores", 2, 2, "cache stores, each with memory and disk"},
    {A::kWorkspaces, "workspaces", 10, 10, "workspaces"},
    {A::kLargeWorkspaces, "large_workspaces", 3, 3,
     "large workspaces among them"},
    {A::kLargeShare, "large_share", 0.6, 0.6,
     "share of sessions and short requests of the large workspaces"},
    {A::kHourSeconds, "hour_seconds", 60, 60,
     "simulated seconds that represent one hour"},
    {A::kHours, "hours", 48, 48,
     "length of the run: a working day and a holiday"},
    {A::kNightFactor, "night_factor", 0.5, 0.5,
     "demand from 22 h to 4 h, relative to daytime"},
    {A::kPeakFactor, "peak_factor", 2, 2,
     "demand from 4 h to 6 h, relative to daytime"},
    {A::kHolidayFactor, "holiday_factor", 0.5, 0.5,
     "demand on the holiday, relative to the working day"},
    {A::kSessionsPerSecond, "sessions_per_second", 0.6, 0.7,
     "sessions started per simulated second in daytime"},
    {A::kFollowUps, "follow_ups", 2, 2,
     "requests of a session: exponential with this mean, rounded up"},
    {A::kThinkSeconds, "think_seconds", 15, 15,
     "mean of the pause between requests of a session beyond 4 s, seconds"},
    {A::kReviewShare, "review_share", 0.4, 0.8,
     "sessions that start with a long review (batch class)"},
    {A::kChecksPerSecond, "checks_per_second", 2, 1.5,
     "short checks per simulated second in daytime"},
    {A::kQuestionsPerSecond, "questions_per_second", 1, 1,
     "yes/no questions outside sessions per simulated second in daytime"},
    {A::kContexts, "contexts", 400, 400, "contexts before the start"},
    {A::kContextMinTokens, "context_min", 10'000, 10'000,
     "shortest length drawn for a context, tokens"},
    {A::kContextMaxTokens, "context_max", 100'000, 100'000,
     "longest context, tokens"},
    {A::kIdleHours, "idle_hours", 2, 3,
     "shortest gap before a context returns, hours"},
    {A::kSharedBlocks, "shared_blocks", 2, 2,
     "leading blocks that a workspace's prompts share"},
    {A::kBlockTokens, "piece_tokens", 2000, 2000, "tokens of a block"},
    {A::kReviewOutput, "review_output", 400, 600, "output tokens of a review"},
    {A::kPrefillRate, "prefill_rate", 8000, 8000,
     "prompt tokens/s that an engine computes"},
    {A::kDecodeSlots, "decode_slots", 16, 16,
     "requests that an engine decodes at the same time"},
    {A::kOutputTokenSeconds, "output_token_seconds", 0.03, 0.03,
     "time between output tokens, seconds"},
    {A::kCacheBlocks, "cache_blocks", 150, 150,
     "blocks in an engine's accelerator memory"},
    {A::kBytesPerToken, "bytes_per_token", 100'000, 100'000,
     "bytes of the exported cache state of a token"},
    {A::kMemoryLinkBytesPerSecond, "memory_link", 2.5e9, 2.5e9,
     "bytes/s from a store's memory"},
    {A::kDiskLinkBytesPerSecond, "disk_link", 0.8e9, 0.8e9,
     "bytes/s from a store's disk"},
    {A::kMemoryBlocks, "memory_blocks", 1500, 1500,
     "blocks in a store's memory"},
    {A::kImportTimeout, "import_timeout", 10, 10,
     "seconds after which an engine gives up an import and recomputes"},
    {A::kPollSeconds, "poll_seconds", 0.25, 0.25,
     "seconds between two load queries of a daemon"},
    {A::kReportLag, "report_lag", 0.3, 0.3, "age of a load report, seconds"},
    {A::kEventLag, "event_lag", 0.5, 0.5, "age of a cache event, seconds"},
    {A::kEventLoss, "event_loss", 0.002, 0.002, "share of lost cache events"},
    {A::kForeignShare, "foreign_share", 0.3, 0.3,
     "share of sessions and short requests sent by other daemons"},
    {A::kWeightLoadSeconds, "weight_load_seconds", 0.33, 0.5,
     "time to load weights, seconds"},
}};

Schedule MakeSchedule(const WorkloadSpec& spec,
                      std::uint64_t seed,
                      double last_workspace_factor) {
  return Generator(spec, seed, last_workspace_factor).Run();
}

std::vector<BlockKey> ContextKeys(const WorkloadSpec& spec,
                                  std::uint32_t workspace,
                                  std::uint64_t context,
                                  std::uint32_t tokens,
                                  std::uint32_t version) {
  const auto shared = static_cast<std::uint32_t>(spec[A::kSharedBlocks]);
  const auto count = tokens / static_cast<std::uint32_t>(spec[A::kBlockTokens]);
  std::vector<BlockKey> keys(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    // Shared blocks belong to the workspace, the others to the context. Ids of
    // contexts are below 2^32 and versions below 8, so that no two pairs of
    // owner and version are encoded as the same number.
    const std::uint64_t owner =
        i < shared ? (workspace + 1) * 0x100000000ULL : context;
    const std::uint64_t first = Mix(Mix(owner * 8 + version) + i);
    const std::uint64_t second = Mix(first);
    std::memcpy(keys[i].bytes.data(), &first, sizeof(first));
    std::memcpy(keys[i].bytes.data() + sizeof(first), &second, sizeof(second));
  }
  return keys;
}

}  // namespace jasminehatch::testing
