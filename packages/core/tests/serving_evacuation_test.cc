#include <jasminehatch/core.h>
#include <jasminehatch/testing.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::testing;

namespace {

/// @return two engines, of which the first `evacuated` are in evacuated zones
serving::UpstreamsConfigured EnginesWith(std::size_t evacuated) {
  auto configured = Engines(2);
  for (std::size_t i = 0; i < evacuated; ++i) {
    configured.upstreams[i].evacuated = true;
  }
  return configured;
}

template <typename T>
const T* FindEffect(const serving::Effects& effects) {
  for (const auto& effect : effects) {
    if (const auto* body = std::get_if<T>(&effect)) {
      return body;
    }
  }
  return nullptr;
}

bool Counts(const serving::Effects& effects, Counter counter) {
  return std::any_of(effects.begin(), effects.end(), [&](const auto& effect) {
    const auto* count = std::get_if<CountEvent>(&effect);
    return count != nullptr && count->counter == counter;
  });
}

}  // namespace

TEST_GROUP(ServingEvacuation) {
  ServingSession m_session{serving::Options{}};

  void teardown() override {
    STRCMP_EQUAL("", m_session.Violation().c_str());
  }
};

// Guards against new requests in an evacuated zone, and against a zone that
// stays unused after the evacuation.
TEST(ServingEvacuation, NewRequestsGoElsewhere) {
  m_session.Send(EnginesWith(1));
  for (std::uint64_t i = 1; i <= 2; ++i) {
    const auto effects = m_session.Send(Prompt(i));
    const auto* start = FindEffect<serving::StartAttempt>(effects);
    CHECK(start != nullptr);
    UNSIGNED_LONGS_EQUAL(1, start->upstream.value);
  }
  m_session.Send(EnginesWith(0));
  const auto effects = m_session.Send(Prompt(3));
  const auto* start = FindEffect<serving::StartAttempt>(effects);
  CHECK(start != nullptr);
  UNSIGNED_LONGS_EQUAL(0, start->upstream.value);
}

// Guards against running requests that are cut off, and against retries in the
// zone.
TEST(ServingEvacuation, RunningRequestsEndAndRetriesGoElsewhere) {
  for (const auto result : {serving::AttemptResult::kRejectedNotRun,
                            serving::AttemptResult::kBroken}) {
    ServingSession session{serving::Options{}};
    session.Send(Engines(2));
    const auto first = session.Send(Prompt(1));
    const auto* start = FindEffect<serving::StartAttempt>(first);
    CHECK(start != nullptr && start->upstream.value == 0);
    const auto evacuated = session.Send(EnginesWith(1));
    CHECK(FindEffect<serving::CancelAttempt>(evacuated) == nullptr);
    // A broken response is otherwise resumed at the same upstream.
    if (result == serving::AttemptResult::kBroken) {
      session.Send(Chunk(1, start->attempt.value, 0));
    }
    session.Send(Ended(1, start->attempt.value, result));
    session.Advance(std::chrono::seconds(2));
    const auto running = session.Checker().RunningAttempts();
    UNSIGNED_LONGS_EQUAL(1, running.size());
    UNSIGNED_LONGS_EQUAL(1, running.begin()->second.upstream.value);
    STRCMP_EQUAL("", session.Violation().c_str());
  }
}

// Guards against requests that wait for an evacuated zone when no other one
// serves the model.
TEST(ServingEvacuation, WithoutAnotherZoneRequestsAreRefused) {
  m_session.Send(EnginesWith(2));
  const auto effects = m_session.Send(Prompt(1));
  const auto* refusal = FindEffect<serving::RefuseRequest>(effects);
  CHECK(refusal != nullptr);
  CHECK(refusal->code == RefusalCode::kNoUpstream);
  CHECK(refusal->verdict == Verdict::kNotRun);
  CHECK(refusal->retry_after.has_value());
  CHECK(Counts(effects, Counter::kRefusedInEvacuatedZone));
}

// Guards against queued requests that are forgotten when the evacuation begins.
TEST(ServingEvacuation, WaitingRequestsAreRefused) {
  m_session.Send(Engines(2, 1));
  for (std::uint64_t i = 1; i <= 3; ++i) {
    m_session.Send(Prompt(i));
  }
  const auto effects = m_session.Send(EnginesWith(2));
  const auto* refusal = FindEffect<serving::RefuseRequest>(effects);
  CHECK(refusal != nullptr);
  UNSIGNED_LONGS_EQUAL(3, refusal->request.value);
  CHECK(refusal->verdict == Verdict::kNotRun);
}
