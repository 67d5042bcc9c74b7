#include <jasminehatch/core.h>
#include <jasminehatch/testing.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::testing;
using namespace std::chrono_literals;
using serving::AttemptResult;

namespace {

template <typename T>
std::vector<T> EffectsOf(const serving::Effects& effects) {
  std::vector<T> found;
  for (const auto& effect : effects) {
    if (const auto* body = std::get_if<T>(&effect)) {
      found.push_back(*body);
    }
  }
  return found;
}

std::uint32_t StartedOn(const serving::Effects& effects) {
  const auto starts = EffectsOf<serving::StartAttempt>(effects);
  return starts.size() == 1 ? starts[0].upstream.value : 999;
}

serving::Options WithQueueLimit(std::size_t limit) {
  serving::Options options;
  options.queue_limit = limit;
  return options;
}

}  // namespace

TEST_GROUP(ServingStep) {
  ServingSession m_session{WithQueueLimit(4)};

  void teardown() override {
    STRCMP_EQUAL("", m_session.Violation().c_str());
  }

  void CheckRefused(const serving::Effects& effects, RefusalCode code,
                    Verdict verdict) {
    const auto refusals = EffectsOf<serving::RefuseRequest>(effects);
    CHECK_EQUAL(1, refusals.size());
    STRCMP_EQUAL(Describe(code).name.data(),
                 Describe(refusals[0].code).name.data());
    CHECK(verdict == refusals[0].verdict);
  }
};

// Guards against retries that multiply the load of an overloaded fleet.
TEST(ServingStep, AttemptsStayWithinTheRetryBudgetUnderOverload) {
  serving::Options options;
  ServingSession session(options);
  session.StopRecording();
  session.Send(Engines(4));
  constexpr std::uint64_t kRequests = 5000;
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    session.Send(Prompt(i));
    session.Advance(2ms);
    // Every upstream rejects every request.
    const auto running = session.Checker().RunningAttempts();
    for (const auto& [id, attempt] : running) {
      session.Send(Ended(attempt.request.value, id.value,
                         AttemptResult::kRejectedNotRun));
    }
  }
  session.Drain();
  STRCMP_EQUAL("", session.Violation().c_str());
  CHECK(session.Checker().Attempts() > kRequests);
  CHECK(static_cast<double>(session.Checker().Attempts()) <=
        (1 + options.retry_share) * kRequests + options.retry_burst);
}

// Guards against a retry on the upstream that just failed.
TEST(ServingStep, RetriesOnAnotherUpstream) {
  m_session.Send(Engines(2));
  const auto first = StartedOn(m_session.Send(Prompt(1)));
  m_session.Send(Ended(1, 1, AttemptResult::kNotSent));
  m_session.Advance(100ms);
  const auto& running = m_session.Checker().RunningAttempts();
  CHECK_EQUAL(1, running.size());
  CHECK(running.begin()->second.upstream.value != first);
}

// Guards against new attempts on an upstream that requested a pause.
TEST(ServingStep, HonoursTheRetryAfterOfAnUpstream) {
  m_session.Send(Engines(1));
  m_session.Send(Prompt(1));
  auto refused = Ended(1, 1, AttemptResult::kRejectedNotRun);
  refused.retry_after = 3s;
  m_session.Send(refused);
  m_session.Advance(2900ms);
  CHECK_EQUAL(0, m_session.Checker().RunningAttempts().size());
  m_session.Advance(200ms);
  CHECK_EQUAL(1, m_session.Checker().RunningAttempts().size());
}

// Guards against the verdict `not_run` for a request that an upstream rejected
// after receiving it.
TEST(ServingStep, ARejectedRequestMayHaveRun) {
  m_session.Send(Engines(1));
  m_session.Send(Prompt(1));
  CheckRefused(m_session.Send(Ended(1, 1, AttemptResult::kInvalidRequest)),
               RefusalCode::kMalformedRequest, Verdict::kMayHaveRun);
}

// Guards against a large workspace that fills the queue and so locks out
// others.
TEST(ServingStep, AWorkspaceOverItsShareIsDisplacedByOthers) {
  m_session.Send(Engines(1, 1));
  for (std::uint64_t i = 1; i <= 5; ++i) {
    m_session.Send(Prompt(i, "large"));
  }
  const auto refused = m_session.Send(Prompt(6, "small"));
  CheckRefused(refused, RefusalCode::kWorkspaceOverShare, Verdict::kNotRun);
  CHECK_EQUAL(5, EffectsOf<serving::RefuseRequest>(refused)[0].request.value);
  CheckRefused(m_session.Send(Prompt(7, "large")),
               RefusalCode::kWorkspaceOverShare, Verdict::kNotRun);
  m_session.Send(Prompt(8, "small"));
  // Both workspaces have their share now.
  CheckRefused(m_session.Send(Prompt(9, "small")), RefusalCode::kOverloaded,
               Verdict::kNotRun);
}

// Guards against queueing requests that cannot meet their deadline, and against
// a deadline that is not enforced while the request runs.
TEST(ServingStep, EnforcesDeadlines) {
  m_session.Send(Engines(1));
  auto prompt = Prompt(1);
  prompt.prompt_tokens = 80'000;  // 10 s of prefill.
  prompt.deadline = m_session.Now() + 5s;
  CheckRefused(m_session.Send(prompt), RefusalCode::kDeadlineUnreachable,
               Verdict::kNotRun);
  prompt = Prompt(2);
  prompt.deadline = m_session.Now() + 5s;
  CHECK_EQUAL(0, StartedOn(m_session.Send(prompt)));
  m_session.Advance(5s);
  CHECK(m_session.Record().find("cancel r2 a1 u0\n    refuse r2 "
                                "deadline_exceeded may_have_run") !=
        std::string::npos);
}

// Guards against quarantining requests that only ran on the same upstreams as
// the crashing one.
TEST(ServingStep, QuarantinesTheCrashingRequestOnly) {
  serving::Options options;
  ServingSession session(options);
  session.Send(Engines(4, 8));
  for (std::uint32_t i = 0; i < 4; ++i) {
    session.Send(Report(i));
  }
  std::vector<std::uint64_t> incarnations(4, 1);
  for (std::uint64_t i = 1; i <= 12; ++i) {
    session.Send(Prompt(i));
  }
  for (int round = 0; round < 200 && !session.State().requests.empty();
       ++round) {
    const auto running = session.Checker().RunningAttempts();
    for (const auto& [id, attempt] : running) {
      if (!session.Checker().RunningAttempts().contains(id)) {
        continue;
      }
      if (attempt.request.value != 5) {
        continue;
      }
      // Request 5 crashes its upstream, which breaks all requests there.
      const auto upstream = attempt.upstream;
      for (const auto& [other_id, other_attempt] : running) {
        if (other_attempt.upstream == upstream) {
          session.Send(Ended(other_attempt.request.value, other_id.value,
                             AttemptResult::kBroken));
        }
      }
      session.Advance(20ms);
      session.Send(serving::UpstreamUnreachable{upstream});
      session.Advance(100ms);
      session.Send(Report(upstream.value, ++incarnations[upstream.value]));
    }
    const auto still_running = session.Checker().RunningAttempts();
    for (const auto& [id, attempt] : still_running) {
      if (attempt.request.value != 5) {
        session.Send(Ended(attempt.request.value, id.value));
      }
    }
    session.Advance(50ms);
  }
  STRCMP_EQUAL("", session.Violation().c_str());
  CHECK_EQUAL(0, session.State().requests.size());
  CHECK_EQUAL(1, session.CountOf(Counter::kRequestQuarantined));
  CHECK(session.Record().find("refuse r5 request_quarantined may_have_run") !=
        std::string::npos);
  for (std::uint64_t i = 1; i <= 12; ++i) {
    CHECK(i == 5 || session.Record().find("finish r" + std::to_string(i) +
                                          "\n") != std::string::npos);
  }
  CheckRefused(session.Send([] {
    auto again = Prompt(13);
    again.fingerprint = NumberedDigest(5);
    return again;
  }()),
               RefusalCode::kRequestQuarantined, Verdict::kNotRun);
}

// Guards against a quarantine from another daemon that is not applied or never
// ends.
TEST(ServingStep, AppliesAReceivedQuarantineUntilItExpires) {
  m_session.Send(Engines(1));
  m_session.Send(serving::QuarantineReceived{NumberedDigest(1), 10s});
  CheckRefused(m_session.Send(Prompt(1)), RefusalCode::kRequestQuarantined,
               Verdict::kNotRun);
  m_session.Advance(10s);
  auto again = Prompt(2);
  again.fingerprint = NumberedDigest(1);
  CHECK_EQUAL(0, StartedOn(m_session.Send(again)));
}

// Guards against underestimating the load because a report cleared the count of
// requests that were sent after it was taken.
TEST(ServingStep, CountsSendsThatAReportCannotContain) {
  m_session.Send(Engines(1, 8));
  m_session.Send(Prompt(1));
  m_session.Advance(100ms);
  m_session.Send(Prompt(2));
  m_session.Advance(10ms);
  m_session.Send(Report(0, 1, "v1", 50ms));
  CHECK_EQUAL(1, m_session.State().View(UpstreamId{0}).sent_since_report);
  CHECK_EQUAL(1000, m_session.State().View(UpstreamId{0}).tokens_since_report);
}

// Guards against using cache entries after a missing event, and against a
// resync whose reply is lost.
TEST(ServingStep, IgnoresTheCacheAfterAGapUntilItIsListed) {
  m_session.Send(Engines(1));
  const UpstreamId u0{0};
  const auto key = NumberedDigest(7);
  const auto found = [&] {
    return m_session.State().prefixes.FindHolders({&key, 1}).size();
  };
  m_session.Send(serving::CacheChanged{u0, {{1, key, true}}});
  CHECK_EQUAL(1, found());
  const auto gap =
      m_session.Send(serving::CacheChanged{u0, {{3, NumberedDigest(8), true}}});
  CHECK_EQUAL(1, EffectsOf<serving::ResyncCache>(gap).size());
  CHECK_EQUAL(0, found());
  m_session.Advance(2s);
  CHECK_EQUAL(1, m_session.CountOf(Counter::kCacheResyncRepeated));
  m_session.Send(serving::CacheListed{u0, 3, {key}});
  CHECK_EQUAL(1, found());
  m_session.Advance(10s);
  CHECK_EQUAL(1, m_session.CountOf(Counter::kCacheResyncRepeated));
  m_session.Send(Report(0, 1));
  m_session.Send(Report(0, 2));
  CHECK_EQUAL(0, found());
}

// Guards against an attempt on the old weights between a new configuration and
// the first report taken after it.
TEST(ServingStep, AnOldReportDoesNotConfirmTheConfiguredVersion) {
  m_session.Send(Engines(1));
  m_session.Send(Report(0));
  m_session.Advance(1s);
  auto changed = Engines(1);
  changed.upstreams[0].weight_version = "v2";
  m_session.Send(changed);
  CheckRefused(m_session.Send(Prompt(1)), RefusalCode::kNoUpstream,
               Verdict::kNotRun);
  auto prompt = Prompt(2);
  prompt.weight_version = "v2";
  CheckRefused(m_session.Send(prompt), RefusalCode::kNoUpstream,
               Verdict::kNotRun);
  m_session.Advance(1s);
  m_session.Send(Report(0, 1, "v2"));
  prompt.request = RequestId{3};
  CHECK_EQUAL(0, StartedOn(m_session.Send(prompt)));
}
