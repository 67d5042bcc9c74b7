// Leases over a log that loses records.

#include <jasminehatch/testing.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "jasminehatch/detail/lease/state.h"
#include "jasminehatch/detail/lease/step.h"

using namespace jasminehatch;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kProcesses = 3;
constexpr Duration kOrderTime = 300ms;

enum class Action : std::uint8_t {
  kAdvanceTime,
  kRead,
  kAppend,
  kLoseResponse,
  kDesire,
  kPause,
  kResume,
  kRestart,
  kWant,
  kUnwant,
  kRestore,
  kExpire,
  kCount
};

using Weights = std::array<int, static_cast<std::size_t>(Action::kCount)>;

/// By the order of `Action`.
constexpr Weights kRestores{40, 40, 40, 4, 12, 2, 6, 2, 8, 3, 2, 0};
constexpr Weights kExpiry{40, 30, 40, 4, 12, 2, 6, 2, 8, 3, 0, 4};
constexpr Weights kRestoresAndExpiry{40, 30, 40, 4, 12, 2, 6, 2, 8, 3, 2, 4};

/// The lease passes on often, and little time passes in between.
constexpr Weights kHandOvers{20, 60, 60, 0, 12, 0, 0, 1, 16, 10, 2, 2};

/// @brief Three daemons and a log. Records are appended only at the end that
/// the writer has read. The oldest ones expire. The log may come back from an
/// older copy, in a new epoch.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : m_random(seed) {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      Restart(i);
    }
  }

  void Run(const Weights& weights, int actions) {
    std::discrete_distribution<int> choose(weights.begin(), weights.end());
    while (actions-- > 0) {
      Apply(static_cast<Action>(choose(m_random)));
    }
  }

  /// Runs without faults until each process has had time to claim the lease.
  void Settle() {
    const std::uint64_t before = m_order_count;
    for (int round = 0; round < 200; ++round) {
      for (std::size_t i = 0; i < kProcesses; ++i) {
        m_processes[i].paused = false;
        Step(i, lease::LeaseWanted{"group", true});
        Read(i);
      }
      while (!m_appends.empty()) {
        Append(0, true);
      }
      Desire();
      AdvanceTime(100ms);
    }
    if (m_order_count == before) {
      Fail("nobody orders");
    }
  }

  const std::string& Failure() const { return m_failure; }

 private:
  struct Process {
    lease::State state;
    std::uint64_t start = 0;  ///< Number of the process start.
    std::uint64_t next_offset = 0;
    std::uint32_t epoch = 0;
    bool paused = false;
  };

  struct PendingAppend {
    std::size_t process = 0;
    std::uint64_t start = 0;
    std::uint64_t at = 0;
    lease::LeaseRecord record;
  };

  struct Order {
    std::size_t process = 0;
    std::uint64_t start = 0;
    MonotonicTime sent_at{};
    std::uint64_t token = 0;
  };

  std::uint64_t Draw(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
  }

  void Fail(const std::string& what) {
    if (m_failure.empty()) {
      m_failure = what;
    }
  }

  void Apply(Action action) {
    static constexpr std::array<Duration, 6> kSteps{50ms, 200ms, 600ms,
                                                    1s,   3s,    6s};
    const std::size_t process = Draw(kProcesses);
    switch (action) {
      case Action::kAdvanceTime:
        return AdvanceTime(kSteps.at(Draw(kSteps.size())));
      case Action::kRead:
        return Read(process);
      case Action::kAppend:
        return Append(Draw(8), true);
      case Action::kLoseResponse:
        return Append(Draw(8), false);
      case Action::kDesire:
        return Desire();
      case Action::kPause:
        m_processes[process].paused = true;
        return;
      case Action::kResume:
        m_processes[process].paused = false;
        return;
      case Action::kRestart:
        return Restart(process);
      case Action::kWant:
        return Step(process, lease::LeaseWanted{"group", true});
      case Action::kUnwant:
        return Step(process, lease::LeaseWanted{"group", false});
      case Action::kRestore:
        ++m_epoch;
        m_log.resize(m_first + Draw(m_log.size() - m_first + 1));
        return;
      case Action::kExpire:
        m_first += Draw(m_log.size() - m_first + 1);
        return;
      case Action::kCount:
        return;
    }
  }

  void Restart(std::size_t process) {
    Process& started = m_processes[process] = {};
    started.start = ++m_starts;
    started.state.self = {"entry-" + std::to_string(process), started.start};
    started.state.options.lease_time = 4200ms;
    started.state.options.margin = 3s;
    started.state.options.renew_after = 600ms;
    started.state.options.max_read_age = 600ms;
    started.state.options.append_retry = 400ms;
    started.state.options.order_retry = 200ms;
    Step(process, lease::UpstreamConfigured{"group", "engine", true});
    Step(process, lease::StateReported{"group", "engine", {"m1", "", false}});
    SendDesired(process);
    Read(process);
  }

  void SendDesired(std::size_t process) {
    Step(process,
         lease::DesiredChanged{"group", "engine", {m_desired, "", false}});
  }

  void Desire() {
    m_desired = "m" + std::to_string(2 + Draw(5));
    for (std::size_t i = 0; i < kProcesses; ++i) {
      SendDesired(i);
    }
  }

  void AdvanceTime(Duration step) {
    m_now += step;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      Step(i, lease::TimerFired{});
    }
    const auto ended = std::stable_partition(
        m_in_flight.begin(), m_in_flight.end(), [this](const Order& order) {
          return m_now < order.sent_at + kOrderTime;
        });
    const std::vector<Order> orders(ended, m_in_flight.end());
    m_in_flight.erase(ended, m_in_flight.end());
    for (const Order& order : orders) {
      if (m_processes[order.process].start == order.start) {
        Step(order.process, lease::OrderEnded{"group", "engine"});
      }
    }
  }

  /// Reads the log to its end, and from its beginning in a new epoch.
  void Read(std::size_t process) {
    Process& reader = m_processes[process];
    if (reader.paused) {
      return;
    }
    StartEpoch(process);
    if (reader.next_offset < m_first) {
      reader.next_offset = m_first;
      Step(process, lease::LeaseRecordsLost{m_epoch});
    }
    lease::LeaseRecordsRead event;
    for (; reader.next_offset < m_log.size(); ++reader.next_offset) {
      event.records.push_back(
          {reader.next_offset + 1, m_log[reader.next_offset]});
    }
    event.at_end = true;
    Step(process, event);
  }

  void StartEpoch(std::size_t process) {
    Process& reader = m_processes[process];
    if (reader.epoch != m_epoch) {
      reader.epoch = m_epoch;
      reader.next_offset = 0;
      Step(process, lease::LeaseRecordsLost{m_epoch});
    }
  }

  /// Lets a pending append arrive at the log.
  void Append(std::size_t index, bool responds) {
    if (m_appends.empty()) {
      return;
    }
    index %= m_appends.size();
    const PendingAppend append = m_appends[index];
    m_appends.erase(m_appends.begin() + static_cast<std::ptrdiff_t>(index));
    const bool appended = append.at == m_log.size();
    if (appended) {
      m_log.push_back(append.record);
    }
    Process& writer = m_processes[append.process];
    if (writer.start != append.start || writer.paused) {
      return;
    }
    if (!responds) {
      Step(append.process, lease::AppendFailed{"group"});
      return;
    }
    Read(append.process);
    if (!appended) {
      Step(append.process, lease::AppendFailed{"group"});
    }
  }

  void Step(std::size_t process, const lease::Event& event) {
    Process& owner = m_processes[process];
    if (owner.paused) {
      return;
    }
    for (const lease::Effect& effect : lease::Step(event, m_now, owner.state)) {
      if (const auto* append = std::get_if<lease::AppendLease>(&effect)) {
        m_appends.push_back(
            {process, owner.start, owner.next_offset, append->record});
      } else if (const auto* order = std::get_if<lease::SendOrder>(&effect)) {
        Check({process, owner.start, m_now, order->fence.value_or(0)});
      } else if (std::holds_alternative<lease::ReadLeaseStream>(effect)) {
        m_reads.push_back(process);
      }
    }
    while (!m_reads.empty()) {
      const std::size_t reader = m_reads.back();
      m_reads.pop_back();
      Read(reader);
    }
  }

  void Check(const Order& order) {
    ++m_order_count;
    if (m_last_order && m_last_order->start != order.start) {
      if (order.token <= m_last_order->token) {
        Fail("a token is not higher than that of an earlier holder");
      }
      if (order.sent_at - m_last_order->sent_at <
          m_processes[order.process].state.options.margin) {
        Fail("orders of two processes were sent too soon after each other");
      }
    }
    m_last_order = order;
    m_in_flight.push_back(order);
  }

  std::mt19937_64 m_random;
  std::array<Process, kProcesses> m_processes;
  std::vector<lease::LeaseRecord> m_log;  ///< Also the expired records.
  std::uint64_t m_first = 0;              ///< Oldest offset that can be read.
  std::uint32_t m_epoch = 1;
  std::vector<PendingAppend> m_appends;
  std::vector<std::size_t> m_reads;  ///< Processes that are to read the log.
  std::vector<Order> m_in_flight;
  std::optional<Order> m_last_order;
  std::string m_desired = "m1";
  std::string m_failure;
  MonotonicTime m_now{};
  std::uint64_t m_starts = 0;
  std::uint64_t m_order_count = 0;
};

void CheckSeeds(const Weights& weights) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Simulation simulation(seed);
    simulation.Run(weights, 500);
    simulation.Settle();
    const std::string outcome =
        simulation.Failure().empty()
            ? ""
            : "seed " + std::to_string(seed) + ": " + simulation.Failure();
    STRCMP_EQUAL("", outcome.c_str());
  }
}

}  // namespace

TEST_GROUP(LeaseLogProperty){};

// Guards against two daemons that order with the same fencing token or too soon
// after each other, and against a lease that nobody can claim, after the log
// came back from an older copy.
TEST(LeaseLogProperty, ARestoredLogHasOneHolder) {
  CheckSeeds(kRestores);
}

// Guards against daemons that order at the same time, or all refuse to, since
// records expired before all of them had read them.
TEST(LeaseLogProperty, ALogWithExpiredRecordsHasOneHolder) {
  CheckSeeds(kExpiry);
}

TEST(LeaseLogProperty, ARestoredLogWithExpiredRecordsHasOneHolder) {
  CheckSeeds(kRestoresAndExpiry);
  CheckSeeds(kHandOvers);
}
