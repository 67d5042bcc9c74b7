#ifndef JASMINEHATCH_DETAIL_TESTING_WORKLOAD_H_
#define JASMINEHATCH_DETAIL_TESTING_WORKLOAD_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminehatch/detail/base/digest.h"
#include "jasminehatch/detail/serving/priority.h"

namespace jasminehatch::testing {

/// @brief The parameters that the policy benchmark assumes.
///
/// Prompts are cached in blocks of `kBlockTokens` tokens.
enum class AssumptionId {
  kZones,
  kZoneSeconds,
  kEngines,
  kStores,
  kWorkspaces,
  kLargeWorkspaces,
  kLargeShare,
  kHourSeconds,
  kHours,
  kNightFactor,
  kPeakFactor,
  kHolidayFactor,
  kSessionsPerSecond,
  kFollowUps,
  kThinkSeconds,
  kReviewShare,
  kChecksPerSecond,
  kQuestionsPerSecond,
  kContexts,
  kContextMinTokens,
  kContextMaxTokens,
  kIdleHours,
  kSharedBlocks,
  kBlockTokens,
  kReviewOutput,
  kPrefillRate,
  kDecodeSlots,
  kOutputTokenSeconds,
  kCacheBlocks,
  kBytesPerToken,
  kMemoryLinkBytesPerSecond,
  kDiskLinkBytesPerSecond,
  kMemoryBlocks,
  kImportTimeout,
  kPollSeconds,
  kReportLag,
  kEventLag,
  kEventLoss,
  kForeignShare,
  kWeightLoadSeconds,
  kCount
};

/// @brief One assumed parameter with its value in both workloads.
struct Assumption {
  AssumptionId id;
  std::string_view name;
  double fontaines;  ///< Value in the workload `fontaines`.
  double fiji;       ///< Value in the workload `fiji`.
  std::string_view meaning;
};

inline constexpr std::size_t kAssumptionCount =
    static_cast<std::size_t>(AssumptionId::kCount);

/// All assumed parameters, in the order of `AssumptionId`.
extern const std::array<Assumption, kAssumptionCount> kAssumptions;

/// @brief The assumed parameters of one workload.
struct WorkloadSpec {
  bool fiji = false;

  double operator[](AssumptionId id) const {
    const Assumption& entry = kAssumptions[static_cast<std::size_t>(id)];
    return fiji ? entry.fiji : entry.fontaines;
  }
  std::string_view Name() const { return fiji ? "fiji" : "fontaines"; }
};

/// @brief One request of the schedule.
struct ScheduledRequest {
  double at = 0;  ///< Simulated seconds since the start.
  std::uint32_t workspace = 0;
  /// 0 for a request whose context does not return.
  std::uint64_t context = 0;
  std::uint64_t session = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  serving::Priority priority = serving::Priority::kInteractive;
  bool foreign = false;  ///< Sent by another daemon.
};

/// @brief Contexts that exist before the start, and the requests.
struct Schedule {
  struct Context {
    std::uint64_t id = 0;
    std::uint32_t workspace = 0;
    std::uint32_t tokens = 0;
  };

  std::vector<Context> contexts;
  std::vector<ScheduledRequest> requests;  ///< In order of time.
};

/// @param last_workspace_factor share of the last workspace relative to its
/// usual share
/// @return the same schedule for the same arguments
Schedule MakeSchedule(const WorkloadSpec& spec,
                      std::uint64_t seed,
                      double last_workspace_factor);

/// @param tokens length of the context
/// @param version weight version, which each key depends on
/// @return the keys of the complete blocks of a context
std::vector<BlockKey> ContextKeys(const WorkloadSpec& spec,
                                  std::uint32_t workspace,
                                  std::uint64_t context,
                                  std::uint32_t tokens,
                                  std::uint32_t version);

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_WORKLOAD_H_
