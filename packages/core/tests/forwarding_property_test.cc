#include <jasminehatch/core.h>

#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <vector>

#include "forwarding_world.h"

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
struct Story {
  Repeat repeat = Repeat::kOnce;
  bool resumable = false;
  std::uint32_t possible_runs = 0;
  bool running = false;
  bool ended = false;
};

/// Checks the guarantees to callers against the effects.
class Checker {
 public:
  void Expect(RequestId id, Repeat repeat, bool resumable) {
    m_stories[id] = {repeat, resumable, 0, false, false};
  }

  void OnOutcome(RequestId id, AttemptOutcome outcome) {
    Story& story = m_stories[id];
    story.running = false;
    const bool not_run = outcome == AttemptOutcome::kNotSent ||
                         outcome == AttemptOutcome::kNotRun ||
                         outcome == AttemptOutcome::kWrongUpstream;
    story.possible_runs += not_run ? 0 : 1;
  }

  void OnEffects(const Effects& effects) {
    for (const Effect& effect : effects) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        OnStart(m_stories[start->request]);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        Story& story = m_stories[cancel->request];
        story.possible_runs += story.running ? 1 : 0;
        story.running = false;
      } else if (const auto* refusal = std::get_if<RefuseRequest>(&effect)) {
        OnRefusal(m_stories[refusal->request], *refusal);
      } else if (const auto* answer = std::get_if<DeliverAnswer>(&effect)) {
        RC_ASSERT(!m_stories[answer->request].ended);
        m_stories[answer->request].ended = true;
      }
    }
  }

 private:
  static void OnStart(Story& story) {
    RC_ASSERT(!story.ended);
    RC_ASSERT(!story.running);
    story.running = true;
    const bool repeatable =
        story.repeat == Repeat::kIdempotent ||
        (story.repeat == Repeat::kStream && story.resumable);
    RC_ASSERT(repeatable || story.possible_runs == 0);
    RC_ASSERT(story.possible_runs < 2);
  }

  static void OnRefusal(Story& story, const RefuseRequest& refusal) {
    RC_ASSERT(!story.ended);
    story.ended = true;
    const int status = Describe(refusal.code).http_status;
    const bool promises = status == 503 || status == 429 || status == 408;
    RC_ASSERT(!promises || story.possible_runs == 0);
    RC_ASSERT(refusal.verdict != Verdict::kNotRun || story.possible_runs == 0);
  }

  std::map<RequestId, Story> m_stories;
};

}  // namespace

TEST_GROUP_BASE(ForwardingProperty, jasminehatch::testing::LeakDetectorOff){};

// Guards against repeated runs, false verdicts in refusals and second
// responses, over random sequences of outcomes, delays and changes of the
// upstreams.
TEST(ForwardingProperty, PromisesToCallersHold) {
  const bool holds = rc::check([] {
    static const std::vector<std::string> kPaths{"/once/", "/again/",
                                                 "/prompt/", "/resume/"};
    World world;
    Checker checker;
    std::map<RequestId, AttemptId> open;
    const auto note = [&](const Effects& effects) {
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
      world.AddUpstream(id, "desk");
      world.AddUpstream(std::string("e") + id, "engine", 1);
    }
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        120, rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t step : steps) {
      const std::uint32_t choice = step % 10;
      const std::uint32_t rest = step / 10;
      if (choice < 4) {
        const std::string& path = kPaths[rest % kPaths.size()];
        const Route* route =
            world.Current().table->FindRoute("front.example", path);
        checker.Expect(RequestId{world.Newest().value + 1}, route->repeat,
                       route->resumable);
        note(world.Send(path));
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
        note(world.Apply(AttemptEnded{request, attempt, outcome, "", "x"}));
      } else if (choice == 8) {
        world.Wait(std::chrono::milliseconds(rest % 900));
        world.Confirm();
        note(world.Apply(TimerFired{}));
      } else {
        const std::string id = "u" + std::to_string(1 + rest % 3);
        if (rest % 2 == 0) {
          world.Apply(UpstreamRemoved{id});
        } else {
          world.AddUpstream(id, "desk");
        }
      }
    }
    // Every request ends.
    world.Wait(60s);
    note(world.Apply(TimerFired{}));
    RC_ASSERT(world.Current().requests.empty());
    RC_ASSERT(world.Current().timers.empty());
  });
  CHECK(holds);
}
