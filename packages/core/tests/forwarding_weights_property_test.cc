// Time limits of published weights in a fleet whose daemons restart.

#include <jasminehatch/core.h>

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "forwarding_fixture.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch::forwarding;
using namespace jasminehatch::forwarding::test;
using namespace std::chrono_literals;
using jasminehatch::Duration;

namespace {

constexpr char kModel[] = "m";

/// Upper bound of the numbers that encode the steps.
constexpr std::uint32_t kMaxStep = 1U << 20U;

/// Time after its start from which a daemon has to keep the limits.
constexpr Duration kContactLimit = 3s;

/// @brief Daemons that place prompts on the same three engines.
///
/// A daemon that runs observes each publication. One that starts finds only the
/// newest version and learns its age from the others, unless the message is
/// lost.
class FleetModel {
 public:
  FleetModel() {
    for (Daemon& daemon : m_daemons) {
      Restart(daemon);
    }
    Wait(kContactLimit);
  }

  void Apply(std::uint32_t step) {
    const std::uint32_t choice = step % 16;
    const std::uint32_t rest = step / 16;
    if (choice < 9) {
      Wait(std::chrono::milliseconds(rest % 500));
    } else if (choice < 11) {
      Publish(m_published.back().version + 1 + rest % 2);
    } else if (choice < 14) {
      Restart(m_daemons.at(rest % m_daemons.size()));
    } else if (choice < 15) {
      Load(rest % m_versions.size());
    } else {
      Gossip(m_daemons.at(rest % m_daemons.size()),
             rest % 2 == 0 ? Duration::max() : 10s);
    }
    for (Daemon& daemon : m_daemons) {
      CheckPlacement(daemon);
    }
  }

 private:
  struct Daemon {
    std::unique_ptr<ForwardingFixture> fixture;
    Duration started_at{};
  };

  struct Publication {
    std::uint64_t version = 0;
    Duration published_at{};
  };

  static std::string EngineName(std::size_t index) {
    return "e" + std::to_string(index);
  }

  void Wait(Duration time) {
    m_now += time;
    for (Daemon& daemon : m_daemons) {
      daemon.fixture->Wait(time);
      daemon.fixture->Confirm();
    }
  }

  void Publish(std::uint64_t version) {
    m_published.push_back({version, m_now});
    for (Daemon& daemon : m_daemons) {
      daemon.fixture->Apply(WeightsPublished{kModel, version, true});
    }
  }

  void Restart(Daemon& daemon) {
    daemon.fixture = std::make_unique<ForwardingFixture>();
    daemon.started_at = m_now;
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
      daemon.fixture->AddUpstream(EngineName(i), "engine", m_versions.at(i));
    }
    daemon.fixture->Apply(
        WeightsPublished{kModel, m_published.back().version, false});
  }

  /// An engine loads the newest weights.
  void Load(std::size_t engine) {
    m_versions.at(engine) = m_published.back().version;
    for (Daemon& daemon : m_daemons) {
      daemon.fixture->Apply(
          WeightsObserved{EngineName(engine), kModel, m_versions.at(engine)});
    }
  }

  /// The others receive what a daemon knows.
  void Gossip(const Daemon& sender, Duration max_newest_age) {
    const State& state = sender.fixture->CurrentState();
    const auto ages = state.upstreams.PublicationAges(
        sender.fixture->Now(), state.options.version_hard_limit,
        max_newest_age);
    for (Daemon& daemon : m_daemons) {
      if (&daemon == &sender) {
        continue;
      }
      for (const PublicationAge& age : ages) {
        daemon.fixture->Apply(PublicationAgeReceived{age});
      }
    }
  }

  std::uint64_t RequiredVersion(Duration limit) const {
    std::uint64_t required = 0;
    for (const Publication& publication : m_published) {
      if (m_now - publication.published_at >= limit) {
        required = publication.version;
      }
    }
    return required;
  }

  std::uint64_t NewestInUse() const {
    return *std::max_element(m_versions.begin(), m_versions.end());
  }

  void CheckPlacement(Daemon& daemon) {
    ForwardingFixture& fixture = *daemon.fixture;
    const auto starts = EffectsOf<StartAttempt>(fixture.Send("/prompt/"));
    if (starts.empty()) {
      RC_ASSERT(NewestInUse() < m_published.back().version);
      return;
    }
    fixture.End(AttemptOutcome::kCompleted);
    if (m_now - daemon.started_at < kContactLimit) {
      return;
    }
    const Duration limit = fixture.CurrentState().options.version_hard_limit;
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
      if (starts.front().upstream == EngineName(i)) {
        RC_ASSERT(m_versions.at(i) >= RequiredVersion(limit));
      }
    }
  }

  Duration m_now{};
  std::vector<Publication> m_published{{1, -1h}};
  std::array<std::uint64_t, 3> m_versions{1, 1, 1};
  std::array<Daemon, 3> m_daemons;
};

}  // namespace

TEST_GROUP_BASE(ForwardingWeightsProperty,
                jasminehatch::testing::LeakDetectorOff){};

// Guards against requests on weights that were replaced longer ago than the
// limit, at daemons that restarted after the publication.
TEST(ForwardingWeightsProperty, RestartsDoNotExtendTheLimitOfAVersion) {
  CHECK(rc::check([] {
    FleetModel fleet;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        150, rc::gen::inRange<std::uint32_t>(0, kMaxStep));
    for (const std::uint32_t step : steps) {
      fleet.Apply(step);
    }
  }));
}
