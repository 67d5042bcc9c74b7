#ifndef JASMINEHATCH_DETAIL_SOAK_GUARANTEE_CHECKER_H_
#define JASMINEHATCH_DETAIL_SOAK_GUARANTEE_CHECKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminehatch/detail/base/time.h"

namespace jasminehatch::soak {

/// @brief Kind of a request; a request of kind kOnce may run at most once.
enum class RequestKind { kOnce, kIdempotent, kStream };

/// @brief The response as its caller received it.
struct CallerView {
  int status = 0;  ///< 0 when no head arrived.
  std::string signature;
  std::string body;
  bool complete = false;  ///< The response ended as a complete one.
};

/// @brief Checks the guarantees of the system against what callers and
/// upstreams observe. Uses neither network nor clock.
class GuaranteeChecker {
 public:
  struct Options {
    Duration revoke_limit = std::chrono::milliseconds(2500);
    /// Time within which an acknowledged configuration is in force at a daemon
    /// that has contact to the store.
    Duration apply_limit = std::chrono::milliseconds(2000);
    /// Time for which an upstream that leaves may still get requests from a
    /// daemon that has contact to the store.
    Duration drain_limit = std::chrono::milliseconds(2000);
    /// Time after the start of a daemon, or the end of a fault between it and
    /// the store, from which it counts as having contact.
    Duration contact_limit = std::chrono::milliseconds(3000);
    double retry_ratio = 0.2;
    double retry_slack = 50;
    Duration retry_window = std::chrono::seconds(10);
    /// Allowance for the time between an event and its report to the checker.
    Duration slack = std::chrono::milliseconds(300);
    std::size_t stream_events = 5;
  };

  explicit GuaranteeChecker(const Options& options) : m_options(options) {}

  /// @param process process of the daemon that the request was sent to
  void OnSent(const std::string& request,
              RequestKind kind,
              const std::string& key,
              const std::string& process,
              MonotonicTime now);

  /// An upstream received a request, whether it runs it or not.
  void OnArrived(const std::string& request, MonotonicTime now);

  /// An upstream received a request.
  /// @param undisturbed_since since when nothing has been injected that keeps
  /// its daemon from the store or delays the request; nothing during a fault
  void OnForwarded(const std::string& request,
                   const std::string& upstream,
                   std::optional<MonotonicTime> undisturbed_since,
                   MonotonicTime now);

  /// An upstream began to run a request.
  /// @param process process of its daemon now; another one than the request was
  /// sent to proves nothing about either
  /// @param signature signature of the response
  /// @param workspace workspace in the headers of the upstream
  /// @param authorization key in the headers of the upstream; must be empty
  void OnRan(const std::string& request,
             const std::string& signature,
             const std::string& workspace,
             const std::string& authorization,
             const std::string& process);

  void OnResponse(const std::string& request, const CallerView& view);

  /// The key of a request was refused as unknown.
  /// @param process process of its daemon now
  /// @param undisturbed_since since when nothing has been injected that keeps
  /// its daemon from the store; nothing during a fault
  void OnKeyRefused(const std::string& request,
                    const std::string& process,
                    std::optional<MonotonicTime> undisturbed_since);

  /// The connection of a request ended without a response.
  /// @param disturbed whether its daemon was killed or paused meanwhile
  /// @param stopping whether its daemon was requested to stop; it then has to
  /// respond only to requests that it has forwarded
  void OnNoResponse(const std::string& request, bool disturbed, bool stopping);

  /// A request has not ended long after its deadline.
  void OnOverdue(const std::string& request, bool disturbed);

  /// The operator is about to write a configuration; each one has a higher
  /// version than those before.
  /// @param keys workspaces by their keys; no key comes back after it was
  /// removed
  void OnConfiguration(std::uint64_t version,
                       const std::map<std::string, std::string>& keys);

  /// The store acknowledged a configuration. Only the first acknowledgement of
  /// a version counts.
  void OnAcknowledged(std::uint64_t version, MonotonicTime now);

  /// The store acknowledged that an upstream drains or is removed.
  void OnUpstreamLeaving(const std::string& upstream, MonotonicTime now);
  /// An upstream is about to register again.
  void OnUpstreamReturned(const std::string& upstream);

  /// A daemon exited without having been requested to stop.
  void OnExit(const std::string& daemon);

  /// Reports the peak memory of a daemon so far.
  void OnMemory(const std::string& daemon,
                std::uint64_t kib,
                std::uint64_t limit_kib);

  /// Reports how many requests of a sample were served; the sample is sent some
  /// time after all faults have ended.
  void OnRecovered(std::size_t served, std::size_t sent);

  /// Runs the checks that need the data of the whole run.
  void Finish();

  const std::vector<std::string>& Violations() const { return m_violations; }

  /// Numbers of requests by how they ended.
  const std::map<std::string, std::uint64_t>& Counts() const {
    return m_counts;
  }

 private:
  struct Request {
    RequestKind kind = RequestKind::kOnce;
    std::string key;
    std::string process;
    /// Lowest version that may have been in force at the process.
    std::uint64_t version_when_sent = 0;
    MonotonicTime sent_at{};
    std::size_t arrivals = 0;
    std::vector<std::string> signatures;  ///< One for each run.
    bool reported_not_run = false;
  };
  struct Key {
    std::string workspace;
    std::uint64_t added_by = 0;    ///< Version of the configuration.
    std::uint64_t removed_by = 0;  ///< 0 while no configuration removed it.
  };

  void AddViolation(const std::string& violation, const std::string& request);
  void CheckSuccess(const std::string& id,
                    const Request& request,
                    const CallerView& view);
  bool EventsInOrder(const CallerView& view) const;
  void CheckRetries();
  void CheckKey(const std::string& id,
                const Request& request,
                const std::string& process);

  /// @return when the store first acknowledged a configuration of this or a
  /// later version
  std::optional<MonotonicTime> AcknowledgedAt(std::uint64_t version) const;

  /// Notes that a version, or a later one, has been in force at a process.
  void OnInForce(const std::string& process, std::uint64_t version);

  Options m_options;
  std::map<std::string, Request> m_requests;
  std::map<std::string, Key> m_keys;
  /// First acknowledgement of each version.
  std::map<std::uint64_t, MonotonicTime> m_acknowledged;
  /// Highest version that was certainly in force, by process.
  std::map<std::string, std::uint64_t> m_in_force;
  /// Upstreams that leave or left, with the acknowledgement of that.
  std::map<std::string, MonotonicTime> m_leaving;
  std::vector<MonotonicTime> m_sent;
  std::vector<MonotonicTime> m_retries;       ///< Arrivals beyond the first.
  std::map<std::string, bool> m_over_memory;  ///< Daemons already reported.
  std::vector<std::string> m_violations;
  std::map<std::string, std::uint64_t> m_counts;
};

}  // namespace jasminehatch::soak

#endif  // JASMINEHATCH_DETAIL_SOAK_GUARANTEE_CHECKER_H_
