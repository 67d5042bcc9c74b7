#include "jasminehatch/detail/soak/guarantee_checker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jasminehatch::soak {
namespace {

/// Statuses that say that a request has not run and never will.
constexpr int kNotRunStatuses[] = {408, 421, 429, 503};

/// Share of a sample that has to be served once all faults are over.
constexpr double kServedShare = 0.9;

bool IsNotRunStatus(int status) {
  return std::find(std::begin(kNotRunStatuses), std::end(kNotRunStatuses),
                   status) != std::end(kNotRunStatuses);
}

std::size_t CountIn(const std::vector<MonotonicTime>& times,
                    MonotonicTime from,
                    MonotonicTime to) {
  return static_cast<std::size_t>(
      std::lower_bound(times.begin(), times.end(), to) -
      std::lower_bound(times.begin(), times.end(), from));
}

}  // namespace

void GuaranteeChecker::AddViolation(const std::string& violation,
                                    const std::string& request) {
  m_violations.push_back(violation + " (" + request + ")");
}

void GuaranteeChecker::OnSent(const std::string& request,
                              RequestKind kind,
                              const std::string& key,
                              const std::string& process,
                              MonotonicTime now) {
  m_requests[request] = {kind, key, process, m_in_force[process],
                         now,  0,   {},      false};
  m_sent.push_back(now);
}

void GuaranteeChecker::OnArrived(const std::string& request,
                                 MonotonicTime now) {
  const auto found = m_requests.find(request);
  if (found == m_requests.end()) {
    AddViolation("an upstream received a request that no caller sent", request);
    return;
  }
  if (++found->second.arrivals > 1) {
    m_retries.push_back(now);
  }
}

void GuaranteeChecker::OnForwarded(
    const std::string& request,
    const std::string& upstream,
    std::optional<MonotonicTime> undisturbed_since,
    MonotonicTime now) {
  const auto left = m_leaving.find(upstream);
  if (left == m_leaving.end()) {
    return;
  }
  if (!undisturbed_since) {
    ++m_counts["forwarded to a leaving upstream, disturbed"];
    return;
  }
  const MonotonicTime known_at =
      std::max(left->second, *undisturbed_since + m_options.contact_limit);
  ++m_counts["forwarded to a leaving upstream"];
  if (now > known_at + m_options.drain_limit + m_options.slack) {
    AddViolation("an upstream that left received a request",
                 request + " at " + upstream);
  }
}

void GuaranteeChecker::OnRan(const std::string& request,
                             const std::string& signature,
                             const std::string& workspace,
                             const std::string& authorization,
                             const std::string& process) {
  const auto found = m_requests.find(request);
  if (found == m_requests.end()) {
    return;
  }
  Request& known = found->second;
  known.signatures.push_back(signature);
  if (known.kind == RequestKind::kOnce && known.signatures.size() > 1) {
    AddViolation("a request that may run once ran twice", request);
  }
  if (known.kind == RequestKind::kOnce && known.reported_not_run) {
    AddViolation("a request ran after it was said not to run", request);
  }
  if (!authorization.empty()) {
    AddViolation("an upstream received the caller's key", request);
  }
  const auto key = m_keys.find(known.key);
  if (key == m_keys.end()) {
    AddViolation("a request with an unknown key ran", request);
    return;
  }
  if (workspace != key->second.workspace) {
    AddViolation("an upstream received another workspace", request);
  }
  CheckKey(request, known, process);
}

void GuaranteeChecker::CheckKey(const std::string& id,
                                const Request& request,
                                const std::string& process) {
  const Key& key = m_keys.at(request.key);
  const auto revoked_at =
      key.removed_by == 0 ? std::nullopt : AcknowledgedAt(key.removed_by);
  const Duration limit = m_options.revoke_limit + m_options.slack;
  if (revoked_at && request.sent_at > *revoked_at + limit) {
    AddViolation("a request ran with a revoked key",
                 id + " at " + request.process);
  }
  if (request.process != process) {
    return;
  }
  if (key.removed_by != 0 && request.version_when_sent >= key.removed_by) {
    AddViolation("a configuration reverted: a removed key was accepted",
                 id + " at " + process);
  }
  OnInForce(process, key.added_by);
}

void GuaranteeChecker::OnKeyRefused(
    const std::string& request,
    const std::string& process,
    std::optional<MonotonicTime> undisturbed_since) {
  const Request& known = m_requests.at(request);
  const auto found = m_keys.find(known.key);
  if (found == m_keys.end()) {
    return;
  }
  const Key& key = found->second;
  const bool had_key =
      known.process == process && known.version_when_sent >= key.added_by;
  if (key.removed_by != 0) {
    if (had_key) {
      OnInForce(process, key.removed_by);
    }
    return;
  }
  if (had_key) {
    AddViolation("a configuration reverted: an added key was refused",
                 request + " at " + process);
  }
  const auto added_at = AcknowledgedAt(key.added_by);
  if (!added_at || !undisturbed_since) {
    ++m_counts["key not yet in force, disturbed"];
    return;
  }
  ++m_counts["key not yet in force"];
  const MonotonicTime known_at =
      std::max(*added_at, *undisturbed_since + m_options.contact_limit);
  if (known.sent_at > known_at + m_options.apply_limit + m_options.slack) {
    AddViolation("an acknowledged configuration is not in force",
                 request + " at " + process);
  }
}

std::optional<MonotonicTime> GuaranteeChecker::AcknowledgedAt(
    std::uint64_t version) const {
  const auto found = m_acknowledged.lower_bound(version);
  return found == m_acknowledged.end() ? std::nullopt
                                       : std::optional(found->second);
}

void GuaranteeChecker::OnInForce(const std::string& process,
                                 std::uint64_t version) {
  std::uint64_t& in_force = m_in_force[process];
  in_force = std::max(in_force, version);
}

bool GuaranteeChecker::EventsInOrder(const CallerView& view) const {
  std::string expected;
  for (std::size_t i = 1; i <= m_options.stream_events; ++i) {
    expected += "id: " + std::to_string(i) + "\ndata: x\n\n";
  }
  return view.complete ? view.body == expected
                       : expected.starts_with(view.body);
}

void GuaranteeChecker::CheckSuccess(const std::string& id,
                                    const Request& request,
                                    const CallerView& view) {
  if (std::find(request.signatures.begin(), request.signatures.end(),
                view.signature) == request.signatures.end()) {
    AddViolation("the signature of a success matches no run of the request",
                 id);
  }
  if (request.kind == RequestKind::kStream) {
    if (!EventsInOrder(view)) {
      AddViolation("a stream has missing, repeated or merged events", id);
    }
  } else if (view.complete && view.body != "answer to " + id) {
    AddViolation("a success has another body than the upstream sent", id);
  }
}

void GuaranteeChecker::OnResponse(const std::string& request,
                                  const CallerView& view) {
  Request& known = m_requests.at(request);
  ++m_counts["status " + std::to_string(view.status) +
             (view.complete ? "" : ", cut")];
  if (view.status / 100 == 2) {
    CheckSuccess(request, known, view);
    return;
  }
  if (!IsNotRunStatus(view.status)) {
    return;
  }
  known.reported_not_run = true;
  if (known.kind == RequestKind::kOnce && !known.signatures.empty()) {
    AddViolation("a request that ran was said not to have run", request);
  }
}

void GuaranteeChecker::OnNoResponse(const std::string& request,
                                    bool disturbed,
                                    bool stopping) {
  const auto found = m_requests.find(request);
  const bool forwarded =
      found != m_requests.end() && found->second.arrivals > 0;
  const bool excused = disturbed || (stopping && !forwarded);
  ++m_counts[excused ? "no answer, excused" : "no answer"];
  if (!excused) {
    AddViolation("an undisturbed daemon closed a connection without a response",
                 request);
  }
}

void GuaranteeChecker::OnOverdue(const std::string& request, bool disturbed) {
  ++m_counts[disturbed ? "overdue, daemon disturbed" : "overdue"];
  if (!disturbed) {
    AddViolation("an undisturbed daemon gave no response by the deadline",
                 request);
  }
}

void GuaranteeChecker::OnConfiguration(
    std::uint64_t version,
    const std::map<std::string, std::string>& keys) {
  for (auto& [name, key] : m_keys) {
    if (key.removed_by == 0 && !keys.contains(name)) {
      key.removed_by = version;
    }
  }
  for (const auto& [name, workspace] : keys) {
    m_keys.try_emplace(name, Key{workspace, version, 0});
  }
}

void GuaranteeChecker::OnAcknowledged(std::uint64_t version,
                                      MonotonicTime now) {
  m_acknowledged.try_emplace(version, now);
}

void GuaranteeChecker::OnUpstreamLeaving(const std::string& upstream,
                                         MonotonicTime now) {
  m_leaving.try_emplace(upstream, now);
}

void GuaranteeChecker::OnUpstreamReturned(const std::string& upstream) {
  m_leaving.erase(upstream);
}

void GuaranteeChecker::OnExit(const std::string& daemon) {
  AddViolation("a daemon exited unexpectedly", daemon);
}

void GuaranteeChecker::OnMemory(const std::string& daemon,
                                std::uint64_t kib,
                                std::uint64_t limit_kib) {
  if (kib > limit_kib && !std::exchange(m_over_memory[daemon], true)) {
    AddViolation("a daemon used more memory than the smallest VM has",
                 daemon + ", " + std::to_string(kib) + " KiB");
  }
}

void GuaranteeChecker::OnRecovered(std::size_t served, std::size_t sent) {
  m_counts["served after all faults"] += served;
  if (sent == 0 ||
      static_cast<double>(served) < kServedShare * static_cast<double>(sent)) {
    AddViolation("requests are not served again once all faults are over",
                 std::to_string(served) + " of " + std::to_string(sent));
  }
}

void GuaranteeChecker::CheckRetries() {
  for (const MonotonicTime from : m_retries) {
    const Duration window = m_options.retry_window;
    const std::size_t retries = CountIn(m_retries, from, from + window);
    const std::size_t requests =
        std::max({CountIn(m_sent, from, from + window),
                  CountIn(m_sent, from - window, from),
                  CountIn(m_sent, from - window / 2, from + window / 2)});
    const double allowed =
        m_options.retry_ratio * static_cast<double>(requests) +
        m_options.retry_slack;
    if (static_cast<double>(retries) > allowed) {
      AddViolation(
          "more retries than the fleet may make",
          std::to_string(retries) + " for " + std::to_string(requests));
      return;
    }
  }
}

void GuaranteeChecker::Finish() {
  CheckRetries();
}

}  // namespace jasminehatch::soak
