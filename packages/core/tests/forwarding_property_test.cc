#include <jasminehatch/core.h>

#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <vector>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::AttemptId;
using jasminehatch::RequestId;
using jasminehatch::Verdict;
using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;

namespace {

/// @brief State of one request as its caller and the upstreams see it.
struct RequestState {
  RouteKind kind = RouteKind::kNonIdempotent;
  bool resumable = false;
  std::uint32_t possible_runs = 0;
  bool running = false;
  bool ended = false;
};

/// Checks the guarantees to callers against the effects.
class GuaranteeChecker {
 public:
  void Expect(RequestId id, RouteKind kind, bool resumable) {
    m_requests[id] = {kind, resumable, 0, false, false};
  }

  void OnOutcome(RequestId id, AttemptOutcome outcome) {
    RequestState& request = m_requests[id];
    request.running = false;
    const bool not_run = outcome == AttemptOutcome::kNotSent ||
                         outcome == AttemptOutcome::kNotRun ||
                         outcome == AttemptOutcome::kWrongUpstream;
    request.possible_runs += not_run ? 0 : 1;
  }

  void OnEffects(const Effects& effects) {
    for (const Effect& effect : effects) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        OnStart(m_requests[start->request]);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        RequestState& request = m_requests[cancel->request];
        request.possible_runs += request.running ? 1 : 0;
        request.running = false;
      } else if (const auto* refusal = std::get_if<RefuseRequest>(&effect)) {
        OnRefusal(m_requests[refusal->request], *refusal);
      } else if (const auto* response = std::get_if<DeliverResponse>(&effect)) {
        RC_ASSERT(!m_requests[response->request].ended);
        m_requests[response->request].ended = true;
      }
    }
  }

 private:
  static void OnStart(RequestState& request) {
    RC_ASSERT(!request.ended);
    RC_ASSERT(!request.running);
    request.running = true;
    const bool repeatable =
        request.kind == RouteKind::kIdempotent ||
        (request.kind == RouteKind::kStreaming && request.resumable);
    RC_ASSERT(repeatable || request.possible_runs == 0);
    RC_ASSERT(request.possible_runs < 2);
  }

  static void OnRefusal(RequestState& request, const RefuseRequest& refusal) {
    RC_ASSERT(!request.ended);
    request.ended = true;
    const int status = Describe(refusal.code).http_status;
    const bool promises_not_run =
        status == 503 || status == 429 || status == 408;
    RC_ASSERT(!promises_not_run || request.possible_runs == 0);
    RC_ASSERT(refusal.verdict != Verdict::kNotRun ||
              request.possible_runs == 0);
  }

  std::map<RequestId, RequestState> m_requests;
};

}  // namespace

TEST_GROUP_BASE(ForwardingProperty, jasminehatch::testing::LeakDetectorOff){};

// Guards against repeated runs, false verdicts in refusals and second
// responses, over random sequences of outcomes, delays and changes of the
// upstreams.
TEST(ForwardingProperty, GuaranteesToCallersHold) {
  const bool holds = rc::check([] {
    static const std::vector<std::string> kPaths{"/once/", "/again/",
                                                 "/prompt/", "/resume/"};
    ForwardingFixture fixture;
    GuaranteeChecker checker;
    std::map<RequestId, AttemptId> open;
    const auto track = [&](const Effects& effects) {
      checker.OnEffects(effects);
      for (const auto& effect : effects) {
        if (const auto* start = std::get_if<StartAttempt>(&effect)) {
          open[start->request] = start->attempt;
        } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
          open.erase(cancel->request);
        }
      }
    };
    for (const char* id : {"u1", "u2", "u3"}) {
      fixture.AddUpstream(id, "desk");
      fixture.AddUpstream(std::string("e") + id, "engine", 1);
    }
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        120, rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t step : steps) {
      const std::uint32_t choice = step % 10;
      const std::uint32_t rest = step / 10;
      if (choice < 4) {
        const std::string& path = kPaths[rest % kPaths.size()];
        const Route* route =
            fixture.CurrentState().table->FindRoute("front.example", path);
        checker.Expect(RequestId{fixture.NewestRequest().value + 1},
                       route->kind, route->resumable);
        track(fixture.Send(path));
      } else if (choice < 8 && !open.empty()) {
        auto chosen = open.begin();
        std::advance(chosen, rest % open.size());
        const auto [request, attempt] = *chosen;
        open.erase(chosen);
        const auto outcome = static_cast<AttemptOutcome>((rest / 64) % 7);
        if (outcome == AttemptOutcome::kWrongWeights) {
          continue;
        }
        checker.OnOutcome(request, outcome);
        track(fixture.Apply(AttemptEnded{request, attempt, outcome, "", "x"}));
      } else if (choice == 8) {
        fixture.Wait(std::chrono::milliseconds(rest % 900));
        fixture.Confirm();
        track(fixture.Apply(TimerFired{}));
      } else {
        const std::string id = "u" + std::to_string(1 + rest % 3);
        if (rest % 2 == 0) {
          fixture.Apply(UpstreamRemoved{id});
        } else {
          fixture.AddUpstream(id, "desk");
        }
      }
    }
    // Every request ends.
    fixture.Wait(60s);
    track(fixture.Apply(TimerFired{}));
    RC_ASSERT(fixture.CurrentState().requests.empty());
    RC_ASSERT(fixture.CurrentState().timers.empty());
  });
  CHECK(holds);
}
