#include <jasminehatch/testing.h>

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <numeric>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "jasminehatch/detail/lease/state.h"
#include "jasminehatch/detail/lease/step.h"

// CppUTest redefines `new`, which the headers above use in placement form.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace std::chrono_literals;
using lease::UpstreamState;

namespace {

constexpr std::size_t kProcesses = 3;
/// Much longer than a lease, so that orders of former holders are often in
/// flight when the next holder starts.
constexpr Duration kLongestOrderDelay = 30s;
const std::array<std::string, 3> kUpstreams{"checked", "unchecked", "counting"};

/// One action: its kind and an operand, which is reduced to the valid range
/// where it is used.
struct Action {
  enum Kind : std::uint8_t {
    kAdvanceTime,
    kRead,
    kDeliver,
    kLose,
    kDuplicate,
    kArrive,
    kReport,
    kDesire,
    kPause,
    kResume,
    kRestart,
    kOutage,
    kWant,
    kUnwant,
    kShutDown,
    kCount
  };
  Kind kind = kAdvanceTime;
  std::uint8_t operand = 0;
};

std::ostream& operator<<(std::ostream& stream, const Action& action) {
  static constexpr std::array<const char*, Action::kCount> kNames{
      "tick",    "read",   "deliver", "lose",   "duplicate",
      "arrive",  "report", "desire",  "pause",  "resume",
      "restart", "outage", "want",    "unwant", "shut down"};
  return stream << kNames.at(action.kind) << " " << int{action.operand};
}

using Weights = std::array<std::uint32_t, Action::kCount>;

constexpr Weights kFaults{30, 40, 40, 3, 3, 10, 30, 12, 4, 6, 1, 1, 8, 4, 2};

/// Holders release the lease often and little time passes, so that the next one
/// mostly claims it before it expires.
constexpr Weights kHandOvers{12, 50, 60, 1, 1,  30, 60, 20,
                             0,  0,  4,  0, 12, 3,  4};

Action ChooseAction(std::uint64_t random, const Weights& weights = kFaults) {
  std::uint32_t place =
      (random >> 8U) %
      std::accumulate(weights.begin(), weights.end(), std::uint32_t{0});
  std::uint8_t kind = 0;
  while (place >= weights.at(kind)) {
    place -= weights.at(kind++);
  }
  return {static_cast<Action::Kind>(kind), static_cast<std::uint8_t>(random)};
}

struct Message {
  std::size_t process = 0;
  std::uint64_t start = 0;  ///< Number of the sender's process start.
  std::uint64_t fence = 0;  ///< Fencing token of the sender at its decision.
  lease::Effect effect;
  MonotonicTime sent_at{};  ///< When the order was sent.
  bool ended = false;       ///< The sender knows the outcome or gave up.
};

/// After this time the executor no longer waits for the outcome of an order.
constexpr Duration kOrderCallTimeout = 1s;

/// Simulates three daemons of a zone, their log and two upstreams.
class Simulation {
 public:
  Simulation() {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      Restart(i);
    }
  }

  void Apply(const Action& action) {
    static constexpr std::array<Duration, 6> kSteps{50ms, 200ms, 600ms,
                                                    1s,   3s,    11s};
    const std::size_t process = action.operand % kProcesses;
    switch (action.kind) {
      case Action::kAdvanceTime:
        return AdvanceTime(kSteps.at(action.operand % kSteps.size()));
      case Action::kRead:
        return Read(process);
      case Action::kDeliver:
        return Deliver(action.operand, false, false);
      case Action::kLose:
        return Deliver(action.operand, true, false);
      case Action::kDuplicate:
        return Deliver(action.operand, false, true);
      case Action::kArrive:
        return Arrive(action.operand);
      case Action::kReport:
        return ReportAll(process);
      case Action::kDesire:
        m_desired = {"model-" + std::to_string(action.operand % 3U),
                     "assistant", action.operand % 5U == 0};
        for (std::size_t i = 0; i < kProcesses; ++i) {
          SendDesired(i);
        }
        return;
      case Action::kPause:
        m_processes[process].paused = true;
        return;
      case Action::kResume:
        m_processes[process].paused = false;
        return;
      case Action::kRestart:
        return Restart(process);
      case Action::kOutage:
        m_log_outage = !m_log_outage;
        return;
      case Action::kWant:
        return Step(process, lease::LeaseWanted{"group", true});
      case Action::kUnwant:
        return Step(process, lease::LeaseWanted{"group", false});
      case Action::kShutDown:
        return Step(process, lease::ShutdownRequested{});
      case Action::kCount:
        return;
    }
  }

  void Settle() {
    m_log_outage = false;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      m_processes[i].paused = false;
      if (m_processes[i].state.shutting_down) {
        Restart(i);
      }
      Step(i, lease::LeaseWanted{"group", true});
      SendDesired(i);
    }
    for (int round = 0; round < 120; ++round) {
      AdvanceTime(500ms);
      while (!m_messages.empty()) {
        Deliver(0, false, false);
      }
      while (!m_in_flight.empty()) {
        Arrive(0);
      }
      for (std::size_t i = 0; i < kProcesses; ++i) {
        Read(i);
        ReportAll(i);
      }
    }
    for (std::size_t i = 0; i < kUpstreams.size(); ++i) {
      if (m_upstreams[i].state != m_desired) {
        Fail(kUpstreams[i] + " does not reach the desired state");
      }
    }
  }

  const std::string& Failure() const { return m_failure; }
  std::uint64_t Orders() const { return m_orders; }

 private:
  struct Process {
    lease::State state;
    std::uint64_t start = 0;
    std::size_t offset = 0;
    bool paused = false;
  };
  struct FakeUpstream {
    UpstreamState state;
    std::uint64_t fence = 0;  ///< Highest token of the orders that arrived.
    std::uint64_t orders_accepted = 0;
    std::uint64_t last_sender = 0;  ///< Process start that sent the last order.
  };

  /// When a process start did something; zero for none.
  struct Trace {
    std::uint64_t start = 0;
    MonotonicTime at{};
  };

  void Fail(const std::string& what) {
    if (m_failure.empty()) {
      m_failure = what;
    }
  }

  void Restart(std::size_t process) {
    m_processes[process] = Process();
    Process& started = m_processes[process];
    started.start = ++m_starts;
    started.state.options.max_order_delay = kLongestOrderDelay;
    // With a read before each order, a lease that is held for too long would go
    // unnoticed.
    started.state.options.max_read_age = 30s;
    started.state.self = {"entry-" + std::to_string(process + 1), m_starts};
    Step(process, lease::UpstreamConfigured{"group", kUpstreams[0], true});
    Step(process, lease::UpstreamConfigured{"group", kUpstreams[1], false});
    Step(process,
         lease::UpstreamConfigured{"group", kUpstreams[2], false, true});
    SendDesired(process);
  }

  void SendDesired(std::size_t process) {
    for (const std::string& upstream : kUpstreams) {
      Step(process, lease::DesiredChanged{"group", upstream, m_desired});
    }
  }

  void AdvanceTime(Duration step) {
    m_now += step;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      const auto next = m_processes[i].state.NextTimer();
      if (next && *next <= m_now) {
        Step(i, lease::TimerFired{});
      }
    }
    for (Message& message : m_in_flight) {
      if (m_now >= message.sent_at + kOrderCallTimeout) {
        End(message);
      }
    }
  }

  /// Tells the sender that its order ended, once it runs.
  void End(Message& message) {
    const Process& sender = m_processes[message.process];
    if (message.ended || sender.start != message.start || sender.paused) {
      return;
    }
    message.ended = true;
    Step(message.process,
         lease::OrderEnded{"group",
                           std::get<lease::SendOrder>(message.effect).upstream,
                           lease::OrderOutcome::kUnknown});
  }

  /// Checks the time between orders of different processes.
  void CheckGap(const Message& message) {
    const Duration gap = m_processes[message.process].state.options.margin;
    const auto too_early = [&](const Trace& earlier) {
      return earlier.start != 0 && earlier.start != message.start &&
             m_now - earlier.at < gap;
    };
    if (too_early(m_last_sent)) {
      Fail("orders of two processes were sent too soon after each other");
    }
    if (too_early(m_last_answered) && FollowsRelease(message)) {
      Fail("an order followed the arrival of a former holder's too soon");
    }
    m_last_sent = {message.start, m_now};
  }

  /// @return whether the lease of the order's sender followed a release
  bool FollowsRelease(const Message& message) const {
    const lease::Process& self = m_processes[message.process].state.self;
    std::uint64_t offset = message.fence;
    while (offset != 0 && m_log[offset - 1].holder == self) {
      offset = m_log[offset - 1].base;
    }
    return offset != 0 && m_log[offset - 1].release;
  }

  void Read(std::size_t process) {
    Process& reader = m_processes[process];
    if (reader.paused || m_log_outage) {
      return;
    }
    lease::LeaseRecordsRead event;
    for (; reader.offset < m_log.size(); ++reader.offset) {
      event.records.push_back({reader.offset + 1, m_log[reader.offset]});
    }
    event.at_end = true;
    Step(process, event);
  }

  void ReportAll(std::size_t process) {
    for (std::size_t i = 0; i < kUpstreams.size(); ++i) {
      Step(process,
           lease::StateReported{"group", kUpstreams[i], m_upstreams[i].state,
                                m_upstreams[i].orders_accepted});
    }
  }

  void Step(std::size_t process, const lease::Event& event) {
    Process& owner = m_processes[process];
    if (owner.paused) {
      return;
    }
    for (const lease::Effect& effect : lease::Step(event, m_now, owner.state)) {
      const std::uint64_t fence = owner.state.groups.at("group").offset;
      if (std::holds_alternative<lease::SendOrder>(effect)) {
        if (fence < m_newest_order) {
          Fail("a former holder sent an order after its successor");
        }
        m_newest_order = std::max(m_newest_order, fence);
      }
      if (!std::holds_alternative<lease::HolderChanged>(effect) &&
          !std::holds_alternative<lease::OrderHeld>(effect)) {
        m_messages.push_back({process, owner.start, fence, effect, {}});
      }
    }
  }

  void Deliver(std::size_t index, bool lost, bool keep) {
    if (m_messages.empty()) {
      return;
    }
    index %= m_messages.size();
    const Message message = m_messages[index];
    Process& owner = m_processes[message.process];
    const bool append =
        std::holds_alternative<lease::AppendLease>(message.effect);
    if (!append && owner.start == message.start && owner.paused) {
      return;
    }
    if (!append || !keep) {
      m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (!append && owner.start != message.start) {
      return;
    }
    if (append) {
      if (m_log_outage || lost) {
        if (owner.start == message.start) {
          Step(message.process, lease::AppendFailed{"group"});
        }
      } else {
        m_log.push_back(std::get<lease::AppendLease>(message.effect).record);
      }
    } else if (std::holds_alternative<lease::ReadLeaseStream>(message.effect)) {
      Read(message.process);
    } else if (m_now < std::get<lease::SendOrder>(message.effect).not_after) {
      CheckGap(message);
      m_in_flight.push_back(message);
      m_in_flight.back().sent_at = m_now;
    } else {
      Message dropped = message;
      End(dropped);
    }
  }

  void Arrive(std::size_t index) {
    if (m_in_flight.empty()) {
      return;
    }
    index %= m_in_flight.size();
    Message message = m_in_flight[index];
    m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    if (m_now <= message.sent_at + kLongestOrderDelay) {
      Arrive(message, std::get<lease::SendOrder>(message.effect));
    }
    const bool was_ended = message.ended;
    End(message);
    if (!was_ended && message.ended &&
        m_now < message.sent_at + kOrderCallTimeout) {
      m_last_answered = {message.start, m_now};
    }
  }

  void Arrive(const Message& message, const lease::SendOrder& order) {
    FakeUpstream& upstream = m_upstreams.at(static_cast<std::size_t>(
        std::find(kUpstreams.begin(), kUpstreams.end(), order.upstream) -
        kUpstreams.begin()));
    if (order.fence.has_value() != (order.upstream == kUpstreams[0])) {
      Fail("only an upstream that checks fencing gets the token");
    }
    if (order.orders_accepted.has_value() !=
        (order.upstream == kUpstreams[2])) {
      Fail("exactly the upstream that checks the number of orders gets it");
    }
    if (order.orders_accepted &&
        *order.orders_accepted != upstream.orders_accepted) {
      return;
    }
    const bool stale = message.fence < upstream.fence;
    if (stale && order.fence) {
      return;
    }
    // Each renewal has a new token, so a holder's own orders may arrive out of
    // order.
    if (stale && upstream.last_sender != message.start) {
      Fail("an order of a former holder arrived after one of its successor");
    }
    upstream.fence = std::max(upstream.fence, message.fence);
    upstream.last_sender = message.start;
    ++upstream.orders_accepted;
    ++m_orders;
    switch (order.kind) {
      case lease::OrderKind::kLoad:
        upstream.state.model = order.value;
        break;
      case lease::OrderKind::kUnload:
        upstream.state.model.clear();
        break;
      case lease::OrderKind::kDrain:
        upstream.state.drained = true;
        break;
      case lease::OrderKind::kServe:
        upstream.state.drained = false;
        break;
      case lease::OrderKind::kChangeRole:
        upstream.state.role = order.value;
        break;
    }
  }

  std::array<Process, kProcesses> m_processes;
  std::array<FakeUpstream, 3> m_upstreams;
  std::vector<Message> m_messages;
  std::vector<Message> m_in_flight;  ///< Orders in flight.
  std::vector<lease::LeaseRecord> m_log;
  UpstreamState m_desired{"model-0", "assistant", false};
  std::string m_failure;
  MonotonicTime m_now{};
  std::uint64_t m_starts = 0;
  std::uint64_t m_newest_order = 0;
  Trace m_last_sent;      ///< The last order that was sent.
  Trace m_last_answered;  ///< The last order whose sender knew the arrival.
  std::uint64_t m_orders = 0;
  bool m_log_outage = false;
};

std::string RunActions(const std::vector<Action>& actions) {
  Simulation simulation;
  for (const Action& action : actions) {
    simulation.Apply(action);
  }
  simulation.Settle();
  return simulation.Failure();
}

}  // namespace

TEST_GROUP_BASE(LeaseProperty, jasminehatch::testing::LeakDetectorOff){};

// Guards against two daemons that send orders to the upstreams of one group at
// the same time or too soon after each other, after a pause, a restart or a
// stop of the holder, a release that is lost or late, delayed appends and
// orders, or an outage of the log.
TEST(LeaseProperty, FormerHoldersDoNotOrder) {
  CHECK(rc::check("former holders do not order", [] {
    const auto random = rc::gen::noShrink(rc::gen::resize(
        rc::kNominalSize,
        rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 48U)));
    const auto actions = *rc::gen::scale(
        6.0,
        rc::gen::container<std::vector<Action>>(rc::gen::map(
            random, [](std::uint64_t bits) { return ChooseAction(bits); })));
    RC_ASSERT(RunActions(actions) == "");
  }));
}

std::vector<std::vector<Action>> LongSequences(const Weights& weights) {
  std::mt19937_64 random(20261204);
  std::vector<std::vector<Action>> sequences(200);
  for (std::vector<Action>& actions : sequences) {
    while (actions.size() < 500) {
      actions.push_back(ChooseAction(random() >> 16U, weights));
    }
  }
  return sequences;
}

// Checks the same rule over longer sequences than RapidCheck generates.
TEST(LeaseProperty, FormerHoldersDoNotOrderOverALongerRun) {
  for (const std::vector<Action>& actions : LongSequences(kFaults)) {
    STRCMP_EQUAL("", RunActions(actions).c_str());
  }
}

// Guards against an order that follows one of a former holder too soon after
// the former one released the lease.
TEST(LeaseProperty, ReleasesKeepTheTimeBetweenHolders) {
  for (const std::vector<Action>& actions : LongSequences(kHandOvers)) {
    STRCMP_EQUAL("", RunActions(actions).c_str());
  }
}
