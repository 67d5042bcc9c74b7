#include <jasminehatch/testing.h>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <variant>

using namespace jasminehatch;
using namespace std::chrono_literals;
using booking::AppendEnded;
using booking::AppendResult;
using booking::DispatchEnded;
using booking::DispatchResult;
using testing::EntriesOf;

namespace {

// Daemons have the names of their entry VMs, which are unrelated to log
// entries.
const std::string kFirstDaemon = "entry-1";
const std::string kSecondDaemon = "entry-2";

DispatchEnded Ended(std::uint64_t sequence,
                    DispatchResult result,
                    std::uint32_t earlier_dispatches = 0) {
  return {{kFirstDaemon, 7, sequence},
          earlier_dispatches,
          result,
          201,
          "text/plain",
          "booked",
          "the connection was refused"};
}

}  // namespace

TEST_GROUP(BookingSession) {
  testing::BookingSession m_session;

  void setup() override {
    m_session.Start(kFirstDaemon, 7);
    m_session.Start(kSecondDaemon, 3);
  }

  std::vector<booking::LogEntry> Flush(const std::string& daemon) {
    m_session.Wait(10ms);
    return EntriesOf(m_session.Send(daemon, booking::TimerFired{}));
  }

  void CompareWith(const char* file) {
    const std::string difference = testing::CompareWithGolden(
        JASMINEHATCH_TEST_DATA, file, m_session.Text());
    STRCMP_EQUAL("", difference.c_str());
  }
};

// Guards against a second run or a lost response when the log's responses to
// the appends of the intent and of the outcome are lost.
TEST(BookingSession, LostResponses) {
  m_session.Arrive(kFirstDaemon, 1);
  const auto intent = Flush(kFirstDaemon);
  m_session.Note("the append took effect and its response is lost");
  m_session.Send(kFirstDaemon,
                 AppendEnded{AppendId{1}, AppendResult::kUnknown});
  m_session.Read(kFirstDaemon, intent);
  m_session.Wait(250ms);
  m_session.Send(kFirstDaemon, booking::TimerFired{});
  m_session.Note("the repeated append takes effect a second time");
  m_session.Send(kFirstDaemon,
                 AppendEnded{AppendId{1}, AppendResult::kAppended});
  m_session.Read(kFirstDaemon, intent);
  m_session.Send(kFirstDaemon, Ended(1, DispatchResult::kResponded));
  const auto outcome = Flush(kFirstDaemon);
  m_session.Send(kFirstDaemon,
                 AppendEnded{AppendId{2}, AppendResult::kUnknown});
  m_session.Read(kFirstDaemon, outcome);
  m_session.Note("a retry is answered from the log");
  m_session.Arrive(kFirstDaemon, 2);
  CompareWith("booking_lost_answers.txt");
}

// Guards against a second run when the caller retries at another daemon while
// the service processes the first request.
TEST(BookingSession, RetryAtAnotherDaemonInFlight) {
  m_session.Arrive(kFirstDaemon, 1);
  const auto intent = Flush(kFirstDaemon);
  m_session.Read(kFirstDaemon, intent);
  m_session.Note("the retry arrives before entry-2 has read the intent");
  m_session.Arrive(kSecondDaemon, 1);
  auto records = intent;
  const auto late = Flush(kSecondDaemon);
  records.insert(records.end(), late.begin(), late.end());
  m_session.Read(kSecondDaemon, records);
  m_session.Note("a third request finds the intent in the index");
  m_session.Arrive(kSecondDaemon, 2);
  m_session.Send(kFirstDaemon, Ended(1, DispatchResult::kResponded));
  m_session.Read(kSecondDaemon, Flush(kFirstDaemon));
  CompareWith("booking_resend_elsewhere.txt");
}

// Guards against a false `not_run` and a second run when the process that
// dispatched a booking crashes.
TEST(BookingSession, DispatcherCrashes) {
  m_session.Arrive(kFirstDaemon, 1);
  const auto intent = Flush(kFirstDaemon);
  m_session.Read(kFirstDaemon, intent);
  m_session.Read(kSecondDaemon, intent);
  m_session.Arrive(kSecondDaemon, 1);
  m_session.Note("entry-1 crashes; entry-2 is told by its peers");
  m_session.Send(kSecondDaemon, booking::ProcessGone{kFirstDaemon, 7});
  m_session.Arrive(kSecondDaemon, 2);
  m_session.Send(kSecondDaemon,
                 booking::BookingQueried{RequestId{3}, {"workspace", "k1"}});
  m_session.Note("entry-1 starts again and reads the log");
  m_session.Start(kFirstDaemon, 8);
  m_session.Read(kFirstDaemon, intent);
  m_session.Arrive(kFirstDaemon, 1);
  CompareWith("booking_dispatcher_dies.txt");
}

// Guards against a graceful stop that aborts a booking in progress.
TEST(BookingSession, GracefulStop) {
  m_session.Arrive(kFirstDaemon, 1);
  const auto intent = Flush(kFirstDaemon);
  m_session.Send(kFirstDaemon, booking::ShutdownRequested{});
  m_session.Arrive(kFirstDaemon, 2);
  m_session.Send(kFirstDaemon,
                 AppendEnded{AppendId{1}, AppendResult::kAppended});
  m_session.Read(kFirstDaemon, intent);
  m_session.Send(kFirstDaemon, Ended(1, DispatchResult::kResponded));
  const auto outcome = Flush(kFirstDaemon);
  m_session.Send(kFirstDaemon,
                 AppendEnded{AppendId{2}, AppendResult::kAppended});
  m_session.Read(kFirstDaemon, outcome);
  CHECK(m_session.StateOf(kFirstDaemon).claims.empty());
  CHECK(m_session.StateOf(kFirstDaemon).appends.empty());
  CompareWith("booking_graceful_stop.txt");
}

// Guards against several intents for one key from one process after a void
// record, and against a duplicate result of one dispatch that is taken as the
// result of the next dispatch of the same intent.
TEST(BookingSession, OneWaiterAppendsAnIntentAfterAVoid) {
  m_session.Arrive(kFirstDaemon, 1);
  m_session.Arrive(kFirstDaemon, 2);
  m_session.Arrive(kFirstDaemon, 3);
  const auto intent = Flush(kFirstDaemon);
  LONGS_EQUAL(1, intent.size());
  m_session.Read(kFirstDaemon, intent);
  for (std::uint32_t earlier_dispatches = 0; earlier_dispatches < 3;
       ++earlier_dispatches) {
    m_session.Send(kFirstDaemon,
                   Ended(1, DispatchResult::kNotRun, earlier_dispatches));
    m_session.Send(kFirstDaemon,
                   Ended(1, DispatchResult::kNotRun, earlier_dispatches));
  }
  m_session.Read(kFirstDaemon, Flush(kFirstDaemon));
  LONGS_EQUAL(1, Flush(kFirstDaemon).size());
  CompareWith("booking_void_and_waiters.txt");
}

// Guards against a caller that waits past its deadline, and against `not_run`
// while the booking may have reached a service.
TEST(BookingSession, DeadlinesOfWaitingCallers) {
  const auto intent = [this] {
    m_session.Arrive(kFirstDaemon, 1);
    return Flush(kFirstDaemon);
  }();
  m_session.Read(kSecondDaemon, intent);
  booking::BookingArrived arrival;
  arrival.request = RequestId{1};
  arrival.key = {"workspace", "k1"};
  arrival.body_digest.bytes[0] = 1;
  arrival.key_time = arrival.wall_now = WallTime(500'000h);
  arrival.deadline = m_session.Now() + 1s;
  m_session.Send(kSecondDaemon, arrival);
  m_session.Wait(1s);
  m_session.Send(kSecondDaemon, booking::TimerFired{});
  m_session.Note("no other request has the second key");
  arrival.request = RequestId{2};
  arrival.key.key = "k2";
  m_session.Send(kSecondDaemon, arrival);
  CompareWith("booking_deadlines.txt");
}

// Guards against entries that are lost when the zone's batcher, the daemon that
// appends the entries of all daemons of its zone, does not reply.
TEST(BookingSession, BatcherDoesNotReply) {
  const booking::ZoneChanged zone{"zone-1", {kFirstDaemon, kSecondDaemon}};
  const bool first_batches =
      booking::ChooseBatcher(zone.zone, zone.daemons) == kFirstDaemon;
  const std::string& batcher = first_batches ? kFirstDaemon : kSecondDaemon;
  const std::string& other = first_batches ? kSecondDaemon : kFirstDaemon;
  m_session.Send(batcher, zone);
  m_session.Send(other, zone);
  const auto entries = EntriesOf(m_session.Arrive(other, 1));
  m_session.Send(batcher, booking::HandoffReceived{HandoffId{1}, entries});
  Flush(batcher);
  m_session.Note("the batcher's append fails and its reply is lost");
  m_session.Send(batcher, AppendEnded{AppendId{1}, AppendResult::kNotAppended});
  m_session.Wait(200ms);
  m_session.Send(other, booking::TimerFired{});
  m_session.Send(other, AppendEnded{AppendId{1}, AppendResult::kAppended});
  CompareWith("booking_batcher_silent.txt");
}
