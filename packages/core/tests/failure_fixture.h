#ifndef JASMINEHATCH_CORE_TESTS_FAILURE_FIXTURE_H_
#define JASMINEHATCH_CORE_TESTS_FAILURE_FIXTURE_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "forwarding_fixture.h"

namespace jasminehatch::forwarding::test {

/// @brief A daemon in zone `a` that knows some upstreams without a prompt.
struct FailureFixture : ForwardingFixture {
  static UpstreamEntry MakeEntry(const std::string& id,
                                 const std::string& zone = "a");

  void Add(const std::string& id, const std::string& zone = "a") {
    Apply(UpstreamRegistered{MakeEntry(id, zone)});
  }

  /// Advances the time, with a configuration that stays current.
  void Pass(Duration time) {
    Wait(time);
    Confirm();
  }

  /// @return the upstreams that six requests were sent to, which then end
  std::set<std::string> Targets();

  bool Uses(const std::string& id) { return Targets().contains(id); }

  /// Sends requests until one goes to an upstream that fulfils the condition;
  /// the others end.
  /// @return the attempt
  StartAttempt StartWhere(
      const std::function<bool(const std::string& id)>& condition);

  StartAttempt StartAt(const std::string& id) {
    return StartWhere([&](const std::string& other) { return other == id; });
  }

  /// Ends an attempt at the upstream.
  /// @return the effects
  Effects Fail(const std::string& id, AttemptOutcome outcome);

  /// Ends an attempt for which no connection was made.
  /// @return the effects
  Effects EndUnconnected(const StartAttempt& start, ConnectFailure failure);

  Effects FailToConnect(const std::string& id, ConnectFailure failure) {
    return EndUnconnected(StartAt(id), failure);
  }

 private:
  void Close(const std::vector<StartAttempt>& starts);
};

}  // namespace jasminehatch::forwarding::test

#endif  // JASMINEHATCH_CORE_TESTS_FAILURE_FIXTURE_H_
