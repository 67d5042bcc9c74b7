#ifndef JASMINEHATCH_DETAIL_SOAK_GUARANTEE_CHECKER_H_
#define JASMINEHATCH_DETAIL_SOAK_GUARANTEE_CHECKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
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
    double retry_ratio = 0.2;
    double retry_slack = 50;
    Duration retry_window = std::chrono::seconds(10);
    /// Allowance for the time between an event and its report to the checker.
    Duration slack = std::chrono::milliseconds(300);
    std::size_t stream_events = 5;
  };

  explicit GuaranteeChecker(const Options& options) : m_options(options) {}

  void OnSent(const std::string& request,
              RequestKind kind,
              const std::string& key,
              MonotonicTime now);

  /// An upstream received a request, whether it runs it or not.
  void OnArrived(const std::string& request, MonotonicTime now);

  /// An upstream began to run a request.
  /// @param signature signature of the response
  /// @param workspace workspace in the headers of the upstream
  /// @param authorization key in the headers of the upstream; must be empty
  void OnRan(const std::string& request,
             const std::string& signature,
             const std::string& workspace,
             const std::string& authorization);

  void OnResponse(const std::string& request, const CallerView& view);

  /// The connection of a request ended without a response.
  /// @param disturbed whether its daemon was killed or paused meanwhile
  /// @param stopping whether its daemon was requested to stop; it then has to
  /// respond only to requests that it has forwarded
  void OnNoResponse(const std::string& request, bool disturbed, bool stopping);

  /// A request has not ended long after its deadline.
  void OnOverdue(const std::string& request, bool disturbed);

  /// The key belongs to the workspace from now on.
  void OnKeyAdded(const std::string& key, const std::string& workspace);
  /// The removal of the key was acknowledged.
  void OnKeyRevoked(const std::string& key, MonotonicTime now);

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
    MonotonicTime sent_at{};
    std::size_t arrivals = 0;
    std::vector<std::string> signatures;  ///< One for each run.
    bool reported_not_run = false;
  };
  struct Key {
    std::string workspace;
    bool revoked = false;
    MonotonicTime revoked_at{};
  };

  void AddViolation(const std::string& violation, const std::string& request);
  void CheckSuccess(const std::string& id,
                    const Request& request,
                    const CallerView& view);
  bool EventsInOrder(const CallerView& view) const;
  void CheckRetries();

  Options m_options;
  std::map<std::string, Request> m_requests;
  std::map<std::string, Key> m_keys;
  std::vector<MonotonicTime> m_sent;
  std::vector<MonotonicTime> m_retries;       ///< Arrivals beyond the first.
  std::map<std::string, bool> m_over_memory;  ///< Daemons already reported.
  std::vector<std::string> m_violations;
  std::map<std::string, std::uint64_t> m_counts;
};

}  // namespace jasminehatch::soak

#endif  // JASMINEHATCH_DETAIL_SOAK_GUARANTEE_CHECKER_H_
