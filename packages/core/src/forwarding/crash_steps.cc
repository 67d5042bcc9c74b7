#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "jasminehatch/detail/forwarding/placement.h"
#include "jasminehatch/detail/forwarding/stable_hash.h"
#include "jasminehatch/detail/forwarding/state.h"
#include "reducer.h"

namespace jasminehatch::forwarding {
namespace {

/// Maximum size of a list of prompt parts in the log, in bytes.
constexpr std::size_t kMaxLoggedPartBytes = 4096;

/// @return whether the upstream may have crashed as it began to answer. A
/// server that writes the head together with the first event crashes before it;
/// a connection that was lost on the way says nothing of the upstream.
bool MayHaveCrashedUpstream(const AttemptEnded& attempt) {
  return attempt.outcome == AttemptOutcome::kBroken &&
         (attempt.response_begun || attempt.closed_by_upstream);
}

/// @param attempt the attempt whose connection to `upstream` was lost
CrashReport MakeCrashReport(const Request& request,
                            const AttemptEnded& attempt,
                            const Upstream& upstream) {
  // The hash includes the start time, so that an upstream counts as another one
  // after a restart.
  const UpstreamEntry& entry = upstream.entry;
  CrashReport report;
  report.fingerprint = request.arrival.fingerprint;
  report.upstream = StableHash(entry.id, entry.started_at);
  // Requests that have received an event did not cause the crash.
  if (MayHaveCrashedUpstream(attempt) && !request.attempt->response_started &&
      !request.shared_parts.empty()) {
    report.response_begun = attempt.response_begun;
    report.parts = request.shared_parts;
    report.own_part = StableHash(request.arrival.prompt->parts.back().id);
  }
  return report;
}

}  // namespace

void Reducer::RecordLostConnection(const Request& request,
                                   const AttemptEnded& event,
                                   const Upstream& upstream) {
  const CrashReport report = MakeCrashReport(request, event, upstream);
  if (!report.parts.empty()) {
    LogSuspectedParts(request);
  }
  RecordCrash(report);
}

bool Reducer::MayCrashAnother(const Request& request,
                              const AttemptEnded& event) const {
  return MayHaveCrashedUpstream(event) &&
         m_state.part_suspects.MayCrashAgain(request.shared_parts, m_now);
}

void Reducer::LogSuspectedParts(const Request& request) {
  std::string ids;
  std::string hashes;
  const std::size_t count = request.shared_parts.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& id = request.arrival.prompt->parts[i].id;
    const std::string hash = std::to_string(request.shared_parts[i]);
    if (std::max(ids.size() + id.size(), hashes.size() + hash.size()) >=
        kMaxLoggedPartBytes) {
      break;
    }
    const char* separator = i == 0 ? "" : ",";
    ids += separator + id;
    hashes += separator + hash;
  }
  Log(request, "parts_suspected",
      {{"upstream", request.attempt->upstream},
       {"count", std::to_string(count)},
       {"part_ids", std::move(ids)},
       {"parts", std::move(hashes)}});
}

void Reducer::RecordCrash(const CrashReport& report) {
  const bool new_request = m_state.crashes.Record(report, m_now);
  auto new_parts = m_state.part_suspects.RecordCrash(report, m_now);
  if (new_request || !new_parts.empty()) {
    CrashReport shared = report;
    shared.parts = std::move(new_parts);
    m_effects.emplace_back(ShareCrashReport{std::move(shared)});
  }
  ReportPartVerdicts();
}

void Reducer::ReportPartVerdicts() {
  for (const PartVerdict& verdict : m_state.part_suspects.TakeChanges()) {
    const bool quarantine = verdict.IsQuarantine();
    m_effects.emplace_back(CountEvent{quarantine ? Counter::kPartQuarantined
                                                 : Counter::kPartReleased});
    m_effects.emplace_back(
        LogDecision{quarantine ? "part_quarantined" : "part_released",
                    {},
                    {{"part", std::to_string(verdict.part)},
                     {"epoch", std::to_string(verdict.epoch)},
                     {"evidence_age_ms", Milliseconds(verdict.evidence_age)}}});
  }
}

std::optional<Duration> Reducer::CrashRefusalTimeLeft(
    const Request& request) const {
  const auto left =
      m_state.crashes.RefusalTimeLeft(request.arrival.fingerprint, m_now);
  return left ? left
              : m_state.part_suspects.RefusalTimeLeft(request.shared_parts,
                                                      m_now);
}

std::optional<Denial> Reducer::FindCrashDenial(const Request& request) const {
  const auto left = CrashRefusalTimeLeft(request);
  if (!left) {
    return std::nullopt;
  }
  return Denial{
      RefusalCode::kCrashSuspect,
      "identical requests, or others with one of the prompt parts, crashed "
      "upstreams; refused for another " +
          Milliseconds(*left) + " ms"};
}

bool Reducer::RefuseIfCrashSuspect(Request& request) {
  auto denial = FindCrashDenial(request);
  if (!denial) {
    return false;
  }
  Refuse(request, std::move(*denial));
  return true;
}

bool Reducer::MayProbe(const Request& request) const {
  if (m_state.crashes.RefusalTimeLeft(request.arrival.fingerprint, m_now) ||
      !m_state.part_suspects.RefusalTimeLeft(request.shared_parts, m_now)) {
    return false;
  }
  // A probe that no upstream can run would only delay the next one.
  const Placement placement = ChooseUpstream(m_state, request, m_now);
  return placement.upstream != nullptr && !placement.overloaded &&
         m_state.part_suspects.MayProbe(request.shared_parts,
                                        request.arrival.random, m_now);
}

bool Reducer::TryProbe(const Request& request) {
  if (!MayProbe(request) ||
      !m_state.part_suspects.TryProbe(request.shared_parts,
                                      request.arrival.random, m_now)) {
    return false;
  }
  m_effects.emplace_back(CountEvent{Counter::kPartProbed});
  Log(request, "part_probed", {});
  return true;
}

}  // namespace jasminehatch::forwarding
