#include "jasminehatch/detail/soak/promise_checker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jasminehatch::soak {
namespace {

/// Statuses that say that a request has not run and never will.
constexpr int kNotRunStatuses[] = {408, 421, 429, 503};

/// Share of a sample that is served once all faults are over.
constexpr double kServedShare = 0.9;

bool SaysNotRun(int status) {
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

void PromiseChecker::Violate(const std::string& promise,
                             const std::string& request) {
  m_violations.push_back(promise + " (" + request + ")");
}

void PromiseChecker::OnSent(const std::string& request,
                            RequestKind kind,
                            const std::string& key,
                            MonotonicTime now) {
  m_requests[request] = {kind, key, now, 0, {}, false};
  m_sent.push_back(now);
}

void PromiseChecker::OnArrived(const std::string& request, MonotonicTime now) {
  const auto found = m_requests.find(request);
  if (found == m_requests.end()) {
    Violate("an upstream got a request that no caller sent", request);
    return;
  }
  if (++found->second.arrivals > 1) {
    m_repeats.push_back(now);
  }
}

void PromiseChecker::OnRan(const std::string& request,
                           const std::string& signature,
                           const std::string& workspace,
                           const std::string& shown_key) {
  const auto found = m_requests.find(request);
  if (found == m_requests.end()) {
    return;
  }
  Request& known = found->second;
  known.signatures.push_back(signature);
  if (known.kind == RequestKind::kOnce && known.signatures.size() > 1) {
    Violate("a request that may run once ran twice", request);
  }
  if (known.kind == RequestKind::kOnce && known.promised_not_run) {
    Violate("a request ran after it was said not to run", request);
  }
  if (!shown_key.empty()) {
    Violate("an upstream was shown a key", request);
  }
  const auto key = m_keys.find(known.key);
  if (key == m_keys.end()) {
    Violate("a request with an unknown key ran", request);
    return;
  }
  if (workspace != key->second.workspace) {
    Violate("an upstream was told another workspace", request);
  }
  const Duration limit = m_options.revoke_limit + m_options.slack;
  if (key->second.revoked && known.sent_at > key->second.revoked_at + limit) {
    Violate("a request ran with a key that was taken away", request);
  }
}

bool PromiseChecker::EventsInOrder(const CallerView& view) const {
  std::string expected;
  for (std::size_t i = 1; i <= m_options.stream_events; ++i) {
    expected += "id: " + std::to_string(i) + "\ndata: x\n\n";
  }
  return view.complete ? view.body == expected
                       : expected.starts_with(view.body);
}

void PromiseChecker::CheckSuccess(const std::string& id,
                                  const Request& request,
                                  const CallerView& view) {
  if (std::find(request.signatures.begin(), request.signatures.end(),
                view.signature) == request.signatures.end()) {
    Violate("a success has a signature of no run of the request", id);
  }
  if (request.kind == RequestKind::kStream) {
    if (!EventsInOrder(view)) {
      Violate("a stream has missing, doubled or joined events", id);
    }
  } else if (view.complete && view.body != "answer to " + id) {
    Violate("a success has another body than the upstream sent", id);
  }
}

void PromiseChecker::OnAnswered(const std::string& request,
                                const CallerView& view) {
  Request& known = m_requests.at(request);
  ++m_counts["status " + std::to_string(view.status) +
             (view.complete ? "" : ", cut")];
  if (view.status / 100 == 2) {
    CheckSuccess(request, known, view);
    return;
  }
  if (!SaysNotRun(view.status)) {
    return;
  }
  known.promised_not_run = true;
  if (known.kind == RequestKind::kOnce && !known.signatures.empty()) {
    Violate("a request that ran was said not to have run", request);
  }
}

void PromiseChecker::OnNoAnswer(const std::string& request,
                                bool disturbed,
                                bool stopping) {
  const auto found = m_requests.find(request);
  const bool passed_on =
      found != m_requests.end() && found->second.arrivals > 0;
  const bool excused = disturbed || (stopping && !passed_on);
  ++m_counts[excused ? "no answer, excused" : "no answer"];
  if (!excused) {
    Violate("a sound daemon closed a connection without an answer", request);
  }
}

void PromiseChecker::OnOverdue(const std::string& request, bool disturbed) {
  ++m_counts[disturbed ? "overdue, daemon disturbed" : "overdue"];
  if (!disturbed) {
    Violate("a sound daemon gave no answer by the deadline", request);
  }
}

void PromiseChecker::OnKeyGiven(const std::string& key,
                                const std::string& workspace) {
  m_keys[key] = {workspace, false, {}};
}

void PromiseChecker::OnKeyRevoked(const std::string& key, MonotonicTime now) {
  m_keys[key].revoked = true;
  m_keys[key].revoked_at = now;
}

void PromiseChecker::OnExit(const std::string& daemon) {
  Violate("a daemon ended by itself", daemon);
}

void PromiseChecker::OnMemory(const std::string& daemon,
                              std::uint64_t kib,
                              std::uint64_t limit_kib) {
  if (kib > limit_kib && !std::exchange(m_over_memory[daemon], true)) {
    Violate("a daemon used more memory than the smallest VM has",
            daemon + ", " + std::to_string(kib) + " KiB");
  }
}

void PromiseChecker::OnRecovered(std::size_t served, std::size_t sent) {
  m_counts["served after all faults"] += served;
  if (sent == 0 ||
      static_cast<double>(served) < kServedShare * static_cast<double>(sent)) {
    Violate("requests are not served again once all faults are over",
            std::to_string(served) + " of " + std::to_string(sent));
  }
}

void PromiseChecker::CheckRetries() {
  for (const MonotonicTime from : m_repeats) {
    const Duration window = m_options.retry_window;
    const std::size_t repeats = CountIn(m_repeats, from, from + window);
    const std::size_t requests =
        std::max({CountIn(m_sent, from, from + window),
                  CountIn(m_sent, from - window, from),
                  CountIn(m_sent, from - window / 2, from + window / 2)});
    const double allowed =
        m_options.retry_ratio * static_cast<double>(requests) +
        m_options.retry_slack;
    if (static_cast<double>(repeats) > allowed) {
      Violate("more retries than the fleet may make",
              std::to_string(repeats) + " for " + std::to_string(requests));
      return;
    }
  }
}

void PromiseChecker::Finish() {
  CheckRetries();
}

}  // namespace jasminehatch::soak
