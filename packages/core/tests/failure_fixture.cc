#include "failure_fixture.h"

#include <cstddef>

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

namespace jasminehatch::forwarding::test {

UpstreamEntry FailureFixture::MakeEntry(const std::string& id,
                                        const std::string& zone) {
  UpstreamEntry entry{id, "desk", id + ":80", zone, 8};
  entry.started_at = 7;
  return entry;
}

std::set<std::string> FailureFixture::Targets() {
  std::vector<StartAttempt> starts;
  std::set<std::string> targets;
  for (int i = 0; i < 6; ++i) {
    starts.push_back(OnlyStart(Send("/once/")));
    targets.insert(starts.back().upstream);
  }
  Close(starts);
  return targets;
}

StartAttempt FailureFixture::StartWhere(
    const std::function<bool(const std::string& id)>& condition) {
  constexpr std::size_t kMaxOthers = 40;
  std::vector<StartAttempt> others;
  StartAttempt start = OnlyStart(Send("/once/"));
  while (!condition(start.upstream) && others.size() < kMaxOthers) {
    others.push_back(start);
    start = OnlyStart(Send("/once/"));
  }
  CHECK(condition(start.upstream));
  Close(others);
  return start;
}

Effects FailureFixture::Fail(const std::string& id, AttemptOutcome outcome) {
  const StartAttempt start = StartAt(id);
  return Apply(AttemptEnded{start.request, start.attempt, outcome, "", "test"});
}

Effects FailureFixture::EndUnconnected(const StartAttempt& start,
                                       ConnectFailure failure) {
  AttemptEnded ended{start.request, start.attempt, AttemptOutcome::kNotSent, "",
                     "test"};
  ended.connect_failure = failure;
  return Apply(ended);
}

void FailureFixture::Close(const std::vector<StartAttempt>& starts) {
  for (const StartAttempt& start : starts) {
    Apply(CallerDisconnected{start.request});
  }
}

}  // namespace jasminehatch::forwarding::test
