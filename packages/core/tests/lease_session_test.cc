#include <jasminehatch/testing.h>

#include <CppUTest/TestHarness.h>

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminehatch/detail/lease/state.h"
#include "jasminehatch/detail/lease/step.h"

using namespace jasminehatch;
using namespace std::chrono_literals;

namespace {

/// Describes an effect in one line.
struct Writer {
  std::string operator()(const lease::AppendLease& effect) const {
    std::string line = "append: holder " + effect.record.holder.daemon +
                       " base " + std::to_string(effect.record.base);
    if (effect.record.release) {
      const auto& since = effect.record.release->since_last_order;
      line += " release, last order " +
              (since ? std::to_string(*since / 1ms) + " ms ago" : "none");
    }
    return line;
  }
  std::string operator()(const lease::ReadLeaseStream& /*effect*/) const {
    return "read to the end of the log";
  }
  std::string operator()(const lease::SendOrder& effect) const {
    static constexpr std::array<const char*, 5> kKinds{
        "load", "unload", "drain", "serve", "change_role"};
    return "order " + effect.upstream + ": " +
           kKinds.at(static_cast<std::size_t>(effect.kind)) + " " +
           effect.value + " fence " +
           (effect.fence ? std::to_string(*effect.fence) : "none") +
           (effect.orders_accepted
                ? " count " + std::to_string(*effect.orders_accepted)
                : "");
  }
  std::string operator()(const lease::OrderHeld& effect) const {
    return "held for " + effect.upstream + ": reason " +
           std::to_string(static_cast<int>(effect.reason));
  }
  std::string operator()(const lease::HolderChanged& effect) const {
    return effect.holds ? "holds the lease" : "does not hold the lease";
  }
};

}  // namespace

TEST_GROUP(LeaseSession) {
  std::map<std::string, lease::State> m_states;
  std::vector<lease::LeaseRecord> m_log;
  MonotonicTime m_now{};
  std::string m_trace;

  void Send(const std::string& daemon, const std::string& what,
            const lease::Event& event) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_now.time_since_epoch());
    m_trace +=
        std::to_string(at.count()) + "ms " + daemon + " < " + what + "\n";
    for (const auto& effect : lease::Step(event, m_now, m_states[daemon])) {
      m_trace += "    > " + std::visit(Writer(), effect) + "\n";
      if (const auto* append = std::get_if<lease::AppendLease>(&effect)) {
        m_log.push_back(append->record);
      }
    }
  }

  void Start(const std::string& daemon) {
    m_states[daemon].self = {daemon, 1};
    Send(daemon, "starts", lease::UpstreamConfigured{"group", "checked", true});
    for (const char* upstream : {"checked", "unchecked"}) {
      Send(daemon, std::string(upstream) + " is to load m2",
           lease::DesiredChanged{"group", upstream, {"m2", "", false}});
    }
  }

  /// Starts entry-1 as the holder for one upstream, which counts its orders.
  /// @param desired says in the trace what the upstream is to do
  void HoldForCounting(const std::string& desired,
                       const lease::DesiredChanged& event) {
    m_states["entry-1"].self = {"entry-1", 1};
    Send("entry-1", "starts",
         lease::UpstreamConfigured{"group", "counting", false, true});
    Send("entry-1", "counting is to " + desired, event);
    Read("entry-1");
    Read("entry-1");
  }

  void Read(const std::string& daemon) {
    lease::LeaseRecordsRead event;
    for (const lease::LeaseRecord& record : m_log) {
      event.records.push_back({event.records.size() + 1, record});
    }
    event.at_end = true;
    Send(daemon, "reads to record " + std::to_string(m_log.size()), event);
  }

  void Report(const std::string& daemon, const std::string& upstream) {
    Send(daemon, upstream + " reports m1",
         lease::StateReported{"group", upstream, {"m1", "", false}});
  }

  void Timer(const std::string& daemon, std::chrono::milliseconds wait) {
    m_now += wait;
    Send(daemon, "timer", lease::TimerFired{});
  }
};

// Guards against orders of a holder that was paused past the end of its lease,
// and against a new holder that sends orders while the former one still may.
TEST(LeaseSession, PausedHolder) {
  Start("entry-1");
  Read("entry-1");
  Read("entry-1");
  Start("entry-2");
  Read("entry-2");
  Report("entry-1", "checked");
  m_trace += "# entry-1 is paused; entry-2 waits until the lease has expired\n";
  Timer("entry-2", 9'999ms);
  Timer("entry-2", 1ms);
  Read("entry-2");
  Report("entry-2", "checked");
  Report("entry-2", "unchecked");
  m_trace += "# entry-1 resumes and finds that its lease has expired\n";
  Report("entry-1", "checked");
  Read("entry-1");
  m_trace += "# the longest order delay passes; the old report is not used\n";
  Timer("entry-2", 5s);
  m_trace += "# entry-2 reads the log again before it orders\n";
  Read("entry-2");
  Report("entry-2", "unchecked");
  const std::string difference = testing::CompareWithGolden(
      JASMINEHATCH_TEST_DATA, "lease_paused_holder.txt", m_trace);
  STRCMP_EQUAL("", difference.c_str());
}

// Guards against a lease time that starts when the holder reads its record:
// other daemons may have read it long before.
TEST(LeaseSession, RecordIsReadLate) {
  Start("entry-1");
  Read("entry-1");
  m_now += 8s;
  Read("entry-1");
  CHECK(m_states["entry-1"].groups.at("group").offset == 1);
  STRCMP_CONTAINS("reads to record 1\n    > append: holder entry-1 base 1\n",
                  m_trace.c_str());
}

// Guards against a new holder that orders nothing for the longest order delay
// although the upstream would reject late orders of an earlier holder, and
// against an order without the number by which it rejects them.
TEST(LeaseSession, OrderCountReplacesTheWaitForEarlierOrders) {
  HoldForCounting(
      "load m2", lease::DesiredChanged{"group", "counting", {"m2", "", false}});
  Report("entry-1", "counting");
  CHECK(m_trace.find("order counting") == std::string::npos);
  m_now += 10ms;
  Send("entry-1", "counting reports m1 and 7 orders",
       lease::StateReported{"group", "counting", {"m1", "", false}, 7});
  STRCMP_CONTAINS("> order counting: load m2 fence none count 7\n",
                  m_trace.c_str());
}

// Guards against a holder that does not send its orders and does not say why,
// or says it again and again.
TEST(LeaseSession, HeldOrderIsReportedOnce) {
  HoldForCounting(
      "load m2", lease::DesiredChanged{"group", "counting", {"m2", "", false}});
  Report("entry-1", "counting");
  Timer("entry-1", 499ms);
  CHECK(m_trace.find("held for") == std::string::npos);
  Timer("entry-1", 1ms);
  STRCMP_CONTAINS("> held for counting: reason 1\n", m_trace.c_str());
  m_trace.clear();
  Timer("entry-1", 1s);
  CHECK(m_trace.find("held for") == std::string::npos);
}

// Guards against an order whose number no report has told: it could arrive
// after an order of a successor and be accepted.
TEST(LeaseSession, OnlyOneOrderHasTheReportedNumber) {
  HoldForCounting(
      "load m2 as an assistant",
      lease::DesiredChanged{"group", "counting", {"m2", "assistant", false}});
  m_trace.clear();
  Send("entry-1", "counting reports m1 and 7 orders",
       lease::StateReported{"group", "counting", {"m1", "", false}, 7});
  STRCMP_EQUAL(
      "0ms entry-1 < counting reports m1 and 7 orders\n"
      "    > order counting: change_role assistant fence none count 7\n",
      m_trace.c_str());
}

// Guards against a stopping holder that keeps the lease until it expires, so
// that no daemon sends orders meanwhile, against a release while an order is
// still in flight, and against an order after the release.
TEST(LeaseSession, StoppingHolderReleasesTheLease) {
  Start("entry-1");
  Start("entry-2");
  Read("entry-1");
  Read("entry-1");
  Read("entry-2");
  Report("entry-1", "checked");
  m_trace += "# entry-1 stops; its order is still in flight\n";
  m_now += 300ms;
  Send("entry-1", "stops", lease::ShutdownRequested{});
  Timer("entry-1", 200ms);
  m_trace += "# the order is answered\n";
  Send("entry-1", "order ended", lease::OrderEnded{"group", "checked"});
  Report("entry-1", "checked");
  m_trace += "# the release is repeated until it is read\n";
  m_log.pop_back();
  Timer("entry-1", 500ms);
  Read("entry-1");
  Timer("entry-1", 500ms);
  m_trace += "# entry-2 waits until the order is old enough\n";
  Read("entry-2");
  Report("entry-2", "checked");
  Timer("entry-2", 1'499ms);
  Timer("entry-2", 1ms);
  Read("entry-2");
  const std::string difference = testing::CompareWithGolden(
      JASMINEHATCH_TEST_DATA, "lease_stopping_holder.txt", m_trace);
  STRCMP_EQUAL("", difference.c_str());
}

// Guards against a claim that waits although the former holder sent no order,
// or released the lease long after its last one.
TEST(LeaseSession, UnusedLeasePassesOnAtOnce) {
  Start("entry-1");
  Start("entry-2");
  Read("entry-1");
  Read("entry-1");
  Send("entry-1", "no longer wants the lease",
       lease::LeaseWanted{"group", false});
  Read("entry-2");
  STRCMP_CONTAINS("base 1 release, last order none\n", m_trace.c_str());
  STRCMP_CONTAINS(
      "entry-2 < reads to record 2\n"
      "    > append: holder entry-2 base 2\n",
      m_trace.c_str());
  Read("entry-2");
  Report("entry-2", "checked");
  Send("entry-2", "order ended", lease::OrderEnded{"group", "checked"});
  Send("entry-2", "no longer wants the lease",
       lease::LeaseWanted{"group", false});
  Timer("entry-2", 1'999ms);
  CHECK(m_trace.find("2000 ms ago") == std::string::npos);
  Timer("entry-2", 1ms);
  Send("entry-1", "wants the lease", lease::LeaseWanted{"group", true});
  m_trace.clear();
  Read("entry-1");
  STRCMP_CONTAINS("> append: holder entry-1 base 4\n", m_trace.c_str());
}

// Guards against a claim that waits for the whole age of a release that was
// written long before it was read: every daemon may have started since.
TEST(LeaseSession, StoppingHolderReleasesAgainWhenNoWaitIsLeft) {
  Start("entry-1");
  Start("entry-2");
  Read("entry-1");
  Read("entry-1");
  Report("entry-1", "checked");
  Send("entry-1", "order ended", lease::OrderEnded{"group", "checked"});
  Send("entry-1", "stops", lease::ShutdownRequested{});
  Read("entry-1");
  Timer("entry-1", 1'999ms);
  Timer("entry-1", 1ms);
  STRCMP_CONTAINS(
      "> append: holder entry-1 base 2 release, last order 2000 ms ago\n",
      m_trace.c_str());
  Read("entry-1");
  m_trace.clear();
  Timer("entry-1", 1s);
  Read("entry-2");
  STRCMP_EQUAL(
      "3000ms entry-1 < timer\n"
      "3000ms entry-2 < reads to record 3\n"
      "    > append: holder entry-2 base 3\n",
      m_trace.c_str());
}

// Guards against orders for a load that lost its place or belongs to an earlier
// rollout: they reach upstreams beside the allowed number of loads.
TEST(LeaseSession, WithdrawnUpstreamGetsNoOrder) {
  Start("entry-1");
  Read("entry-1");
  Send("entry-1", "checked is withdrawn",
       lease::DesiredWithdrawn{"group", "checked"});
  Read("entry-1");
  Report("entry-1", "checked");
  CHECK(m_trace.find("order checked") == std::string::npos);
}

// Guards against an upstream that was busy, or did not answer, and is ordered
// again only long after it could accept the order, and against orders to one
// that reports that it is busy.
TEST(LeaseSession, RejectedOrderIsRepeatedOnceTheUpstreamIsNotBusy) {
  HoldForCounting(
      "load m2", lease::DesiredChanged{"group", "counting", {"m2", "", false}});
  const auto report = [&](std::uint64_t orders, bool busy) {
    Send("entry-1", "counting reports m1",
         lease::StateReported{
             "group", "counting", {"m1", "", false}, orders, busy});
  };
  const auto was_ordered = [&](int orders) {
    return m_trace.find("count " + std::to_string(orders)) != std::string::npos;
  };
  report(7, true);
  CHECK(!was_ordered(7));
  report(7, false);
  CHECK(was_ordered(7));
  for (const auto outcome :
       {lease::OrderOutcome::kRejected, lease::OrderOutcome::kUnknown}) {
    Send("entry-1", "order ended",
         lease::OrderEnded{"group", "counting", outcome});
    m_trace.clear();
    Timer("entry-1", 499ms);
    report(8, true);
    Timer("entry-1", 1ms);
    CHECK(!was_ordered(8));
    report(8, false);
    CHECK(was_ordered(8));
  }
}

// Guards against a report of a held order for each upstream that is busy with
// the order that it got: operators would not see the orders that are held.
TEST(LeaseSession, UpstreamBusyWithItsOrderIsNotReportedAsHeld) {
  Start("entry-1");
  Read("entry-1");
  Read("entry-1");
  Report("entry-1", "checked");
  m_trace.clear();
  for (int i = 0; i < 2; ++i) {
    m_now += 600ms;
    Send("entry-1", "checked is busy",
         lease::StateReported{
             "group", "checked", {"m1", "", false}, std::nullopt, true});
  }
  CHECK(m_trace.find("held for checked") == std::string::npos);
}
