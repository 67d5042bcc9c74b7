#include <jasminehatch/core.h>

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace jasminehatch;
using namespace std::chrono_literals;

namespace {

template <typename T>
const T* FindEffect(const booking::Effects& effects) {
  for (const auto& effect : effects) {
    if (const auto* found = std::get_if<T>(&effect)) {
      return found;
    }
  }
  return nullptr;
}

}  // namespace

TEST_GROUP(BookingStep) {
  booking::State m_state;
  MonotonicTime m_now{};
  const WallTime m_wall = WallTime(std::chrono::hours(500'000));

  void setup() override {
    m_state.daemon = "entry-1";
    m_state.incarnation = 7;
  }

  booking::Effects Arrive(std::uint64_t request, std::uint8_t body) {
    booking::BookingArrived event;
    event.request = RequestId{request};
    event.key = {"orders", "k1"};
    event.key_time = m_wall;
    event.wall_now = m_wall;
    event.body_digest.bytes[0] = body;
    event.service = "orders";
    return Step(event, m_now, m_state);
  }

  std::vector<booking::LogEntry> Flush() {
    m_now += 10ms;
    const auto effects = Step(booking::TimerFired{}, m_now, m_state);
    const auto* append = FindEffect<booking::AppendEntries>(effects);
    CHECK(append != nullptr);
    return append->entries;
  }

  booking::Effects Read(std::vector<booking::LogEntry> entries) {
    return Step(booking::RecordsRead{std::move(entries), m_wall}, m_now,
                m_state);
  }
};

// Guards against a dispatch before the intent is known to be first in the log.
TEST(BookingStep, DispatchesOnlyAfterReadingBackItsOwnIntent) {
  CHECK(FindEffect<booking::Dispatch>(Arrive(1, 1)) == nullptr);
  const auto entries = Flush();
  CHECK(FindEffect<booking::Dispatch>(Read(entries)) != nullptr);
  // The append took effect twice.
  CHECK(FindEffect<booking::Dispatch>(Read(entries)) == nullptr);
}

// Guards against a second run when another process's intent for the key is
// first in the log.
TEST(BookingStep, DoesNotDispatchBehindAForeignIntent) {
  Arrive(1, 1);
  auto entries = Flush();
  auto foreign = std::get<booking::Intent>(entries.front());
  foreign.id.daemon = "entry-2";
  entries.insert(entries.begin(), foreign);
  const auto effects = Read(entries);
  CHECK(FindEffect<booking::Dispatch>(effects) == nullptr);
  const auto outcome_effects = Read({booking::Outcome{
      foreign.id, foreign.key, 201, "text/plain", "booked", false}});
  const auto* response = FindEffect<booking::RespondToBooking>(outcome_effects);
  CHECK(response != nullptr);
  STRCMP_EQUAL("booked", response->body.c_str());
}

// Guards against a dispatch after the caller received `not_run`: the intent is
// read from the log only after its claim was voided.
TEST(BookingStep, DoesNotDispatchAnIntentReadAfterItsClaimWasVoided) {
  Arrive(1, 1);
  const auto entries = Flush();
  m_now += m_state.options.claim_time;
  const auto expired = Step(booking::TimerFired{}, m_now, m_state);
  const auto* refusal = FindEffect<booking::RefuseBooking>(expired);
  CHECK(refusal != nullptr);
  CHECK(refusal->verdict == Verdict::kNotRun);
  CHECK(FindEffect<booking::Dispatch>(Read(entries)) == nullptr);
}

// Guards against a booking that gets the outcome of another one, which has the
// same key and another body.
TEST(BookingStep, RefusesTheSameKeyWithAnotherBody) {
  Arrive(1, 1);
  Read(Flush());
  const auto effects = Arrive(2, 9);
  const auto* refusal = FindEffect<booking::RefuseBooking>(effects);
  CHECK(refusal != nullptr);
  CHECK(refusal->code == RefusalCode::kIdempotencyKeyReused);
}

// Guards against an index that grows without limit. Lost and voided intents are
// forgotten with their keys, and a booking whose key was forgotten does not run
// again.
TEST(BookingStep, ForgetsKeysWithTheWindow) {
  Arrive(1, 1);
  const auto entries = Flush();
  const auto& intent = std::get<booking::Intent>(entries.front());
  booking::Intent lost = intent;
  lost.id.daemon = "entry-2";
  booking::Intent voided = lost;
  voided.id.sequence = 2;
  voided.key.key = "k2";
  Read({intent, lost, booking::Void{voided.id, voided.key, m_wall}, voided});
  LONGS_EQUAL(2, m_state.index.KeyCount());
  LONGS_EQUAL(1, m_state.index.Size());
  Step(booking::RecordsRead{{}, m_wall + 25h}, m_now, m_state);
  LONGS_EQUAL(0, m_state.index.KeyCount());
  LONGS_EQUAL(0, m_state.index.Size());
  LONGS_EQUAL(0, m_state.processes.size());
  CHECK(FindEffect<booking::Dispatch>(Read(entries)) == nullptr);
  const auto effects = Arrive(2, 1);
  const auto* refusal = FindEffect<booking::RefuseBooking>(effects);
  CHECK(refusal != nullptr);
  CHECK(refusal->code == RefusalCode::kBookingKeyExpired);
}

// Guards against memory use and repeated appends that grow without limit during
// an outage of the log.
TEST(BookingStep, RefusesFurtherBookingsWhileTooManyWaitForTheLog) {
  m_state.options.claim_limit = 1;
  Arrive(1, 1);
  booking::BookingArrived event;
  event.request = RequestId{2};
  event.key = {"orders", "k2"};
  event.key_time = event.wall_now = m_wall;
  const auto effects = Step(event, m_now, m_state);
  const auto* refusal = FindEffect<booking::RefuseBooking>(effects);
  CHECK(refusal != nullptr);
  CHECK(refusal->code == RefusalCode::kBookingLogUnavailable);
  CHECK(refusal->verdict == Verdict::kNotRun);
}

// Guards against daemons of a zone that choose different batchers, and against
// a choice that changes when another daemon than the batcher leaves.
TEST(BookingStep, ChoosesTheSameBatcherInAnyOrder) {
  const std::vector<std::string> forward{"entry-1", "entry-2", "entry-3"};
  const std::vector<std::string> backward{"entry-3", "entry-2", "entry-1"};
  const std::string chosen(booking::ChooseBatcher("zone-1", forward));
  CHECK(booking::ChooseBatcher("zone-1", backward) == chosen);
  for (const std::string& leaving : forward) {
    std::vector<std::string> rest = forward;
    std::erase(rest, leaving);
    CHECK((booking::ChooseBatcher("zone-1", rest) == chosen) ==
          (leaving != chosen));
  }
}
