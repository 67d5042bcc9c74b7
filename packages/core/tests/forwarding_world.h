#ifndef JASMINEHATCH_CORE_TESTS_FORWARDING_WORLD_H_
#define JASMINEHATCH_CORE_TESTS_FORWARDING_WORLD_H_

#include <jasminehatch/core.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminehatch::forwarding::test {

/// @return the effects of one type, in order
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

/// @brief A configuration of one host with a route of each kind, and the state
/// of a daemon that has read it.
///
/// Paths: `/once/`, `/again/` (idempotent, two attempts), `/prompt/` (a
/// stream),
/// `/resume/` (a resumable stream, two attempts), `/open/` (public).
class World {
 public:
  World();

  Effects Apply(const Event& event) { return Step(event, m_now, m_state); }

  /// Sends a request and returns the effects.
  Effects Send(const std::string& path,
               const std::string& key = "key-a",
               Duration time_left = std::chrono::seconds(2));

  /// Ends the newest attempt of the newest request.
  Effects End(AttemptOutcome outcome, const std::string& last_event = "");

  void AddUpstream(const std::string& id,
                   const std::string& service,
                   std::uint64_t weights = 0);

  void Wait(Duration time) { m_now += time; }

  /// Tells that the configuration is still the newest one.
  void Confirm() { Apply(ConfigurationConfirmed{m_now}); }

  Configuration MakeConfiguration(std::uint64_t version) const;
  Prompt MakePrompt(std::uint32_t own_tokens = 100) const;

  State& Current() { return m_state; }
  MonotonicTime Now() const { return m_now; }
  RequestId Newest() const { return RequestId{m_next_request - 1}; }

 private:
  void Remember(const Effects& effects);

  State m_state;
  MonotonicTime m_now{std::chrono::hours(1)};
  std::uint64_t m_next_request = 1;
  AttemptId m_attempt;
};

}  // namespace jasminehatch::forwarding::test

#endif  // JASMINEHATCH_CORE_TESTS_FORWARDING_WORLD_H_
