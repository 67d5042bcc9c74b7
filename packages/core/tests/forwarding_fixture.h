#ifndef JASMINEHATCH_CORE_TESTS_FORWARDING_FIXTURE_H_
#define JASMINEHATCH_CORE_TESTS_FORWARDING_FIXTURE_H_

#include <jasminehatch/core.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminehatch::forwarding::test {

/// @return the effects of type `T`, in order
template <typename T>
std::vector<T> EffectsOf(const Effects& effects) {
  std::vector<T> found;
  for (const auto& effect : effects) {
    if (const auto* body = std::get_if<T>(&effect)) {
      found.push_back(*body);
    }
  }
  return found;
}

/// Checks that an attempt was started, and only one.
/// @return the attempt
StartAttempt OnlyStart(const Effects& effects);

/// Checks that a request was refused, and only one.
/// @return the refusal
RefuseRequest OnlyRefusal(const Effects& effects);

bool Is(RefusalCode code, const RefuseRequest& refusal);

/// @brief State of a daemon with a configuration of one host and a route of
/// each kind.
///
/// Paths: `/once/`, `/again/` (idempotent, two attempts), `/prompt/` (stream),
/// `/resume/` (resumable stream, two attempts), `/open/` (public).
class ForwardingFixture {
 public:
  ForwardingFixture();

  Effects Apply(const Event& event) { return Step(event, m_now, m_state); }

  /// @return the arrival that `Send` would apply next
  RequestReceived MakeArrival(const std::string& path,
                              const std::string& key,
                              Duration time_left) const;

  /// Applies the arrival of a request.
  /// @return the effects
  Effects Send(const std::string& path,
               const std::string& key = "key-a",
               Duration time_left = std::chrono::seconds(2));

  /// Applies the arrival of a request with these shared parts and a part of its
  /// own.
  /// @return the effects
  Effects SendParts(const std::vector<std::string>& shared_parts,
                    const std::string& path = "/prompt/");

  /// Ends the latest attempt of the latest request.
  /// @return the effects
  Effects End(AttemptOutcome outcome, const std::string& last_event = "");

  /// Ends the latest attempt of the latest request as if its upstream had
  /// crashed, and removes the upstream.
  /// @param response_begun whether the head of the response had arrived
  /// @return the effects of the end
  Effects Crash(bool response_begun = true);

  /// Answers the latest attempt of the latest request with its first event.
  /// @return the effects
  Effects Answer() {
    return Apply(ResponseStarted{NewestRequest(), m_attempt});
  }

  void AddUpstream(const std::string& id,
                   const std::string& service,
                   std::uint64_t weights = 0,
                   const std::string& software_version = "v1");

  void Wait(Duration time) { m_now += time; }

  /// Confirms that the configuration is the newest one.
  void Confirm() { Apply(ConfigurationConfirmed{m_now}); }

  /// Records that the daemon knows all that the registry has now.
  void KnowRegistry() { Apply(RegistryKnown{m_now}); }

  Configuration MakeConfiguration(std::uint64_t version) const;
  Prompt MakePrompt(std::uint32_t own_tokens = 100) const;

  State& CurrentState() { return m_state; }
  MonotonicTime Now() const { return m_now; }
  RequestId NewestRequest() const { return RequestId{m_next_request - 1}; }

 private:
  /// Makes the arrival one of the next request to the host.
  void Identify(RequestReceived& received) const;
  Effects Receive(RequestReceived received);
  void RecordAttempt(const Effects& effects);

  State m_state;
  MonotonicTime m_now{std::chrono::hours(1)};
  std::uint64_t m_next_request = 1;
  AttemptId m_attempt;
  std::string m_upstream;  ///< Of the latest attempt.
};

}  // namespace jasminehatch::forwarding::test

#endif  // JASMINEHATCH_CORE_TESTS_FORWARDING_FIXTURE_H_
