#include "jasminehatch/detail/forwarding/part_suspects.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <utility>

#include "jasminehatch/detail/forwarding/crash_suspects.h"

namespace jasminehatch::forwarding {
namespace {

using std::chrono::milliseconds;

/// @brief Evidence of a crash. A second crash at the same moment, or one of a
/// request that is repeated, counts `repeated`, since both may have another
/// cause. Further ones at the same moment count nothing: a rack has any number
/// of upstreams.
struct CrashWeights {
  std::uint32_t independent = 0;
  std::uint32_t repeated = 0;
};

/// The upstream had sent the head of the response.
constexpr CrashWeights kBegunWeights{4, 2};

/// The upstream had sent nothing. Many requests wait for their heads when an
/// upstream crashes.
constexpr CrashWeights kWaitingWeights{3, 1};

/// Evidence from which a part is quarantined: three independent crashes of
/// requests with the head of the response, or four without.
constexpr std::uint32_t kQuarantineWeight = 3 * kBegunWeights.independent;
static_assert(kQuarantineWeight == 4 * kWaitingWeights.independent);

/// Evidence from which a part is quarantined again: one crash.
constexpr std::uint32_t kRenewalWeight = kWaitingWeights.independent;

/// Evidence above which a request with the part is not sent again.
constexpr std::uint32_t kNoRetryWeight = kBegunWeights.independent;

/// Crashes within this time may have a common cause, such as a rack.
constexpr milliseconds kMomentSpan{500};

/// Time from a quarantine until requests are refused. A verdict reaches all
/// daemons, and a release returns, in about this time.
constexpr milliseconds kObjectionTime{600};

/// After this time a part is used again; one more crash quarantines it again.
constexpr std::chrono::minutes kQuarantineTime{10};

/// Time for which verdicts are kept and shared.
constexpr std::chrono::minutes kVerdictLifetime{20};

/// Time from a quarantine to the first probe; doubles with each probe, since
/// each may crash an upstream.
constexpr std::chrono::seconds kProbeDelay{20};

/// As `kProbeDelay`, for a part that was always in requests with another
/// quarantined part: one of the two is probably sound.
constexpr std::chrono::seconds kRivalProbeDelay{2};

/// The probability of a probe reaches 1 after this time for each daemon; longer
/// than a verdict takes to reach the others.
constexpr std::chrono::seconds kProbeSlot{1};

constexpr std::uint32_t kMaxProbeDoublings = 5;

constexpr std::size_t kMaxVerdicts = 64;

/// Maximum number of parts that are quarantined for the same crashes. One is
/// enough to refuse the requests; more are needed since an answer to another
/// request may release it. A prompt may have more parts than there are
/// verdicts.
constexpr std::size_t kMaxRivals = 16;

}  // namespace

std::vector<std::uint64_t> PartSuspects::RecordCrash(const CrashReport& report,
                                                     MonotonicTime now) {
  const PartCrash crash{report.upstream, report.own_part, now - report.age,
                        report.response_begun};
  std::vector<std::uint64_t> added;
  for (const std::uint64_t part : report.parts) {
    if (AddCrash(part, crash, now)) {
      added.push_back(part);
    }
  }
  Judge(added, now);
  return added;
}

bool PartSuspects::AddCrash(std::uint64_t part,
                            const PartCrash& crash,
                            MonotonicTime now) {
  const auto answer = m_answered.LastAnswer(part);
  if ((answer && *answer >= crash.at) ||
      now - crash.at > CrashEvidence::kLifetime) {
    return false;
  }
  return m_evidence.Add(part, crash, now);
}

std::uint32_t PartSuspects::Weight(const Crashes& crashes) {
  std::uint32_t weight = 0;
  std::uint32_t in_moment = 0;
  std::set<std::uint64_t> own_parts;
  std::optional<MonotonicTime> moment;
  for (const PartCrash& crash : crashes) {
    const bool other_request = own_parts.insert(crash.own_part).second;
    const bool other_moment = !moment || crash.at - *moment >= kMomentSpan;
    if (other_moment) {
      moment = crash.at;
      in_moment = 0;
    }
    if (++in_moment <= 2) {
      const CrashWeights& weights =
          crash.response_begun ? kBegunWeights : kWaitingWeights;
      weight += other_request && other_moment ? weights.independent
                                              : weights.repeated;
    }
  }
  return weight;
}

std::uint32_t PartSuspects::WeightOf(std::uint64_t part,
                                     MonotonicTime now) const {
  const Crashes* known = m_evidence.Find(part);
  if (known == nullptr) {
    return 0;
  }
  Crashes crashes = *known;
  std::erase_if(crashes, [&](const PartCrash& crash) {
    return now - crash.at > CrashEvidence::kLifetime;
  });
  return Weight(crashes);
}

bool PartSuspects::IsQuarantined(std::uint64_t part, MonotonicTime now) const {
  const auto found = m_verdicts.find(part);
  return found != m_verdicts.end() && found->second.epoch % 2 == 1 &&
         now - found->second.changed_at < kQuarantineTime;
}

bool PartSuspects::IsInEffect(std::uint64_t part, MonotonicTime now) const {
  return IsQuarantined(part, now) &&
         now - m_verdicts.at(part).changed_at >= kObjectionTime;
}

bool PartSuspects::IsEnough(std::uint64_t part, MonotonicTime now) const {
  const auto found = m_verdicts.find(part);
  const bool was_quarantined =
      found != m_verdicts.end() && found->second.epoch % 2 == 1 &&
      now - found->second.changed_at < kVerdictLifetime;
  return WeightOf(part, now) >=
         (was_quarantined ? kRenewalWeight : kQuarantineWeight);
}

bool PartSuspects::IsExplainedBy(std::uint64_t part,
                                 std::uint64_t other) const {
  const Crashes* own = m_evidence.Find(part);
  const Crashes* others = m_evidence.Find(other);
  if (own == nullptr || others == nullptr || own->size() >= others->size()) {
    return false;
  }
  return std::all_of(own->begin(), own->end(), [&](const PartCrash& crash) {
    return std::any_of(others->begin(), others->end(),
                       [&](const PartCrash& known) {
                         return known.upstream == crash.upstream;
                       });
  });
}

bool PartSuspects::IsExplained(std::uint64_t part, MonotonicTime now) const {
  // With little evidence of its own, this daemon cannot tell.
  return WeightOf(part, now) >= kQuarantineWeight &&
         std::any_of(m_verdicts.begin(), m_verdicts.end(),
                     [&](const auto& entry) {
                       return IsInEffect(entry.first, now) &&
                              IsExplainedBy(part, entry.first);
                     });
}

bool PartSuspects::IsRefused(std::uint64_t part, MonotonicTime now) const {
  return IsInEffect(part, now) && !IsExplained(part, now);
}

void PartSuspects::Judge(std::span<const std::uint64_t> parts,
                         MonotonicTime now) {
  for (const std::uint64_t part : parts) {
    if (!IsQuarantined(part, now) && IsEnough(part, now) &&
        !IsExplained(part, now) && RivalCount(part, now) < kMaxRivals) {
      Quarantine(part, now);
    }
  }
}

void PartSuspects::Quarantine(std::uint64_t part, MonotonicTime now) {
  Verdict& verdict = VerdictOn(part);
  verdict.epoch += verdict.epoch % 2 == 1 ? 2 : 1;
  verdict.probes = 0;
  verdict.changed_at = now;
  verdict.last_probe_at = now;
  verdict.first_crash_at = m_evidence.Find(part)->front().at;
  m_changes.push_back(Share(part, verdict, now));
}

void PartSuspects::Release(std::uint64_t part, MonotonicTime now) {
  m_evidence.Erase(part);
  Verdict& verdict = VerdictOn(part);
  ++verdict.epoch;
  verdict.probes = 0;
  verdict.changed_at = now;
  m_changes.push_back(Share(part, verdict, now));
}

PartSuspects::Verdict& PartSuspects::VerdictOn(std::uint64_t part) {
  if (m_verdicts.size() >= kMaxVerdicts && !m_verdicts.contains(part)) {
    // Releases are the least harmful to forget.
    m_verdicts.erase(std::min_element(
        m_verdicts.begin(), m_verdicts.end(),
        [](const auto& left, const auto& right) {
          return std::pair(left.second.epoch % 2, left.second.changed_at) <
                 std::pair(right.second.epoch % 2, right.second.changed_at);
        }));
  }
  return m_verdicts[part];
}

void PartSuspects::RecordAnswer(std::span<const std::uint64_t> parts,
                                MonotonicTime now) {
  for (const std::uint64_t part : parts) {
    m_answered.Record(part, now);
    const auto verdict = m_verdicts.find(part);
    // Also after the quarantine has ended: one crash would renew it.
    if (verdict != m_verdicts.end() && verdict->second.epoch % 2 == 1) {
      Release(part, now);
    } else {
      m_evidence.Erase(part);
    }
  }
}

void PartSuspects::Merge(const PartVerdict& verdict, MonotonicTime now) {
  const auto found = m_verdicts.find(verdict.part);
  const auto known = found == m_verdicts.end()
                         ? std::pair(0U, 0U)
                         : std::pair(found->second.epoch, found->second.probes);
  if (verdict.age >= kVerdictLifetime ||
      std::pair(verdict.epoch, verdict.probes) <= known) {
    return;
  }
  Verdict& own = VerdictOn(verdict.part);
  own = {verdict.epoch, verdict.probes, now - verdict.age,
         now - verdict.evidence_age, now};
  if (!verdict.IsQuarantine()) {
    const Crashes* crashes = m_evidence.Find(verdict.part);
    if (crashes != nullptr && crashes->back().at <= own.changed_at) {
      m_evidence.Erase(verdict.part);
    }
    return;
  }
  const auto answer = m_answered.LastAnswer(verdict.part);
  if (answer && *answer > own.first_crash_at) {
    Release(verdict.part, now);
  }
}

std::optional<Duration> PartSuspects::RefusalTimeLeft(
    std::span<const std::uint64_t> parts,
    MonotonicTime now) const {
  std::optional<Duration> left;
  for (const std::uint64_t part : parts) {
    if (IsRefused(part, now)) {
      left = std::max(
          left.value_or(Duration{}),
          std::max<Duration>(ProbeDueAt(part, now) - now, kRivalProbeDelay));
    }
  }
  return left;
}

bool PartSuspects::MayCrashAgain(std::span<const std::uint64_t> parts,
                                 MonotonicTime now) const {
  return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
    return IsQuarantined(part, now) || WeightOf(part, now) > kNoRetryWeight;
  });
}

std::size_t PartSuspects::RivalCount(std::uint64_t part,
                                     MonotonicTime now) const {
  const Crashes* own = m_evidence.Find(part);
  if (own == nullptr) {
    return 0;
  }
  const auto is_rival = [&](const auto& entry) {
    const Crashes* other = m_evidence.Find(entry.first);
    return entry.first != part && other != nullptr &&
           IsQuarantined(entry.first, now) &&
           std::equal(own->begin(), own->end(), other->begin(), other->end(),
                      [](const PartCrash& left, const PartCrash& right) {
                        return left.upstream == right.upstream;
                      });
  };
  return static_cast<std::size_t>(
      std::count_if(m_verdicts.begin(), m_verdicts.end(), is_rival));
}

MonotonicTime PartSuspects::ProbeDueAt(std::uint64_t part,
                                       MonotonicTime now) const {
  const Verdict& verdict = m_verdicts.at(part);
  const Duration delay = RivalCount(part, now) > 0 ? Duration(kRivalProbeDelay)
                                                   : Duration(kProbeDelay);
  return verdict.last_probe_at +
         delay * (1U << std::min(verdict.probes, kMaxProbeDoublings));
}

std::vector<std::uint64_t> PartSuspects::RefusedOf(
    std::span<const std::uint64_t> parts,
    MonotonicTime now) const {
  std::vector<std::uint64_t> refused;
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(refused),
               [&](std::uint64_t part) { return IsRefused(part, now); });
  return refused;
}

bool PartSuspects::MayProbe(std::span<const std::uint64_t> parts,
                            std::uint64_t random,
                            MonotonicTime now) const {
  const std::vector<std::uint64_t> refused = RefusedOf(parts, now);
  // A crash of a request with two such parts would not tell which caused it.
  if (refused.size() != 1) {
    return false;
  }
  const Duration overdue = now - ProbeDueAt(refused.front(), now);
  const std::chrono::duration<double> slots =
      kProbeSlot * static_cast<double>(std::max<std::size_t>(m_daemons, 1));
  constexpr std::uint64_t kSteps = 1U << 20U;
  return overdue >= Duration::zero() &&
         slots * (static_cast<double>(random % kSteps) / kSteps) < overdue;
}

bool PartSuspects::TryProbe(std::span<const std::uint64_t> parts,
                            std::uint64_t random,
                            MonotonicTime now) {
  if (!MayProbe(parts, random, now)) {
    return false;
  }
  Verdict& verdict = m_verdicts.at(RefusedOf(parts, now).front());
  ++verdict.probes;
  verdict.last_probe_at = now;
  return true;
}

PartVerdict PartSuspects::Share(std::uint64_t part,
                                const Verdict& verdict,
                                MonotonicTime now) {
  return {part, verdict.epoch, verdict.probes, now - verdict.changed_at,
          now - verdict.first_crash_at};
}

std::vector<PartVerdict> PartSuspects::Verdicts(MonotonicTime now) const {
  std::vector<PartVerdict> shared;
  for (const auto& [part, verdict] : m_verdicts) {
    if (now - verdict.changed_at < kVerdictLifetime) {
      shared.push_back(Share(part, verdict, now));
    }
  }
  return shared;
}

std::vector<PartVerdict> PartSuspects::TakeChanges() {
  return std::exchange(m_changes, {});
}

}  // namespace jasminehatch::forwarding
