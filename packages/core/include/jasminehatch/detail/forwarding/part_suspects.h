#ifndef JASMINEHATCH_DETAIL_FORWARDING_PART_SUSPECTS_H_
#define JASMINEHATCH_DETAIL_FORWARDING_PART_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/forwarding/answered_parts.h"
#include "jasminehatch/detail/forwarding/crash_evidence.h"
#include "jasminehatch/detail/forwarding/part_verdict.h"

namespace jasminehatch::forwarding {

struct CrashReport;

/// @brief Tracks prompt parts that may crash the upstreams that begin to answer
/// requests with them.
///
/// The request that crashes an upstream has received no event, and usually the
/// head of the response. All shared parts of such a request are suspected; one
/// that waits for the head is weaker evidence, since many do at a time. An
/// answer to any request with a part shows that the part is sound and discards
/// the evidence of earlier crashes. A part with enough evidence is quarantined;
/// the quarantine takes effect after `kObjectionTime`, so that daemons that
/// have seen an answer meanwhile can release the part first. Memory is bounded.
class PartSuspects {
 public:
  /// @brief Records a crash that concerns the parts of the report.
  /// @return the parts for which it was new
  std::vector<std::uint64_t> RecordCrash(const CrashReport& report,
                                         MonotonicTime now);

  /// @brief Records that an upstream answered a request with these parts, which
  /// releases them.
  void RecordAnswer(std::span<const std::uint64_t> parts, MonotonicTime now);

  /// @brief Applies a verdict of another daemon.
  void Merge(const PartVerdict& verdict, MonotonicTime now);

  /// @return the time until one of the parts may be probed or its quarantine
  /// ends, if requests with it are refused
  std::optional<Duration> RefusalTimeLeft(std::span<const std::uint64_t> parts,
                                          MonotonicTime now) const;

  /// @return whether a request that had received no event when its upstream
  /// crashed is likely to crash another one
  bool MayCrashAgain(std::span<const std::uint64_t> parts,
                     MonotonicTime now) const;

  /// @brief Decides whether a refused request is let through as a probe.
  ///
  /// The daemons share no order of probing, so the probability increases with
  /// the time since a probe was due; usually one daemon sends one.
  /// @param random a random number
  bool TryProbe(std::span<const std::uint64_t> parts,
                std::uint64_t random,
                MonotonicTime now);

  /// @return what `TryProbe` would decide
  bool MayProbe(std::span<const std::uint64_t> parts,
                std::uint64_t random,
                MonotonicTime now) const;

  void SetDaemons(std::size_t count) { m_daemons = count; }

  /// @return the verdicts to share with other daemons
  std::vector<PartVerdict> Verdicts(MonotonicTime now) const;

  /// @return this daemon's verdicts since the last call
  std::vector<PartVerdict> TakeChanges();

  const CrashEvidence& Evidence() const { return m_evidence; }

 private:
  using Crashes = CrashEvidence::Crashes;

  struct Verdict {
    std::uint32_t epoch = 0;
    std::uint32_t probes = 0;
    MonotonicTime changed_at{};
    MonotonicTime first_crash_at{};
    MonotonicTime last_probe_at{};
  };

  bool AddCrash(std::uint64_t part, const PartCrash& crash, MonotonicTime now);
  static std::uint32_t Weight(const Crashes& crashes);
  std::uint32_t WeightOf(std::uint64_t part, MonotonicTime now) const;
  bool IsQuarantined(std::uint64_t part, MonotonicTime now) const;
  bool IsInEffect(std::uint64_t part, MonotonicTime now) const;
  bool IsEnough(std::uint64_t part, MonotonicTime now) const;
  /// @return whether `part` was in fewer of the crashes than `other`, and in no
  /// others
  bool IsExplainedBy(std::uint64_t part, std::uint64_t other) const;
  /// @return whether another part that is refused was in all crashes of `part`
  /// and in more
  bool IsExplained(std::uint64_t part, MonotonicTime now) const;
  bool IsRefused(std::uint64_t part, MonotonicTime now) const;
  /// @return the parts that requests are refused for
  std::vector<std::uint64_t> RefusedOf(std::span<const std::uint64_t> parts,
                                       MonotonicTime now) const;
  /// @return the number of other quarantined parts that were in the crashes of
  /// `part` and in no others
  std::size_t RivalCount(std::uint64_t part, MonotonicTime now) const;
  MonotonicTime ProbeDueAt(std::uint64_t part, MonotonicTime now) const;
  void Judge(std::span<const std::uint64_t> parts, MonotonicTime now);
  void Quarantine(std::uint64_t part, MonotonicTime now);
  void Release(std::uint64_t part, MonotonicTime now);
  Verdict& VerdictOn(std::uint64_t part);
  static PartVerdict Share(std::uint64_t part,
                           const Verdict& verdict,
                           MonotonicTime now);

  AnsweredParts m_answered;
  CrashEvidence m_evidence;
  std::unordered_map<std::uint64_t, Verdict> m_verdicts;
  std::vector<PartVerdict> m_changes;
  std::size_t m_daemons = 1;
};

}  // namespace jasminehatch::forwarding

#endif  // JASMINEHATCH_DETAIL_FORWARDING_PART_SUSPECTS_H_
