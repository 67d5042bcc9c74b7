#ifndef JASMINEHATCH_DETAIL_TESTING_SERVING_CHECKER_H_
#define JASMINEHATCH_DETAIL_TESTING_SERVING_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminehatch/detail/serving/effect.h"
#include "jasminehatch/detail/serving/event.h"
#include "jasminehatch/detail/serving/state.h"

namespace jasminehatch::testing {

/// @brief Follows the events and effects of the serving reducer with an
/// independent model and reports violated invariants.
/// docs/invariants-serving.md lists the invariants.
class ServingChecker {
 public:
  /// What is known of an attempt from its effects and events.
  struct Attempt {
    RequestId request;
    UpstreamId upstream;
    std::uint32_t resume_from = 0;
  };

  explicit ServingChecker(const serving::Options& options)
      : m_options(options) {}

  /// Call before the event is applied.
  void OnEvent(const serving::Event& event, MonotonicTime now);

  /// Call for each effect in order.
  void OnEffect(const serving::Effect& effect);

  /// Call after all effects of one event.
  void AfterStep(const serving::State& state);

  /// Call when no request may be in progress any more.
  void AtEnd(const serving::State& state);

  /// @return the first violated invariant, or an empty string
  const std::string& Violation() const { return m_violation; }

  const std::map<AttemptId, Attempt>& RunningAttempts() const {
    return m_running;
  }
  std::uint64_t FirstAttempts() const { return m_first_attempts; }
  std::uint64_t Attempts() const { return m_attempts; }

  /// @return the text that an upstream sends at a position; names the request,
  /// so that a chunk of another request is detected
  static std::string ResponseText(RequestId request, std::uint32_t position);

 private:
  struct Request {
    serving::RequestArrived arrival;
    std::uint32_t next_position = 0;
    std::uint32_t attempts = 0;
    bool may_have_run = false;     ///< An upstream may have run the request.
    serving::RegionLists regions;  ///< That applied when it arrived.
  };
  struct Upstream {
    serving::UpstreamSpec spec;
    bool configured = false;
    bool leaving = false;
    std::optional<std::uint64_t> leaving_incarnation;
    MonotonicTime version_configured_at{};
    std::optional<serving::LoadReported> report;
    MonotonicTime reported_at{};
  };

  void Observe(const serving::UpstreamsConfigured& event);
  void Observe(const serving::RequestArrived& event);
  void Observe(const serving::RequestCancelled& event);
  void Observe(const serving::AttemptEnded& event);
  void Observe(const serving::AttemptChunk& event);
  void Observe(const serving::LoadReported& event);
  void Observe(const serving::UpstreamLeaving& event);
  template <typename T>
  void Observe(const T& /*event*/) {}

  void Check(const serving::StartAttempt& effect);
  void Check(const serving::CancelAttempt& effect);
  void Check(const serving::ForwardChunk& effect);
  void Check(const serving::FinishRequest& effect);
  void Check(const serving::RefuseRequest& effect);
  void Check(const serving::BroadcastQuarantine& effect);
  template <typename T>
  void Check(const T& /*effect*/) {}

  void CheckVersion(const Request& request, const Upstream& upstream);
  void CheckUpstreams(const serving::State& state);
  void CheckQueues(const serving::State& state);
  void EndRequest(RequestId request);
  void Require(bool holds, const std::string& violation);

  serving::Options m_options;
  MonotonicTime m_now{};
  std::map<RequestId, Request> m_open;
  std::set<RequestId> m_ended;
  std::map<AttemptId, Attempt> m_running;
  std::vector<Upstream> m_upstreams;
  std::map<std::string, UpstreamId> m_names;
  std::map<Fingerprint, MonotonicTime> m_quarantined;
  std::uint64_t m_first_attempts = 0;
  std::uint64_t m_attempts = 0;
  serving::Residency m_residency;
  std::string m_violation;
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_SERVING_CHECKER_H_
