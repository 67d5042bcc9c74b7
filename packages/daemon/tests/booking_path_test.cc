#include "fleet.h"

using namespace jasminehatch;
using namespace jasminehatch::daemon::test;

namespace {

std::string Text(const nlohmann::json& value) {
  return value.get<std::string>();
}

nlohmann::json StageOf(Fleet& fleet, const std::string& key) {
  const auto result = fleet.Call(fleet.Request("GET", "/v1/bookings/" + key));
  LONGS_EQUAL(200, result.status);
  return nlohmann::json::parse(result.body);
}

}  // namespace

TEST_GROUP_BASE(BookingPath, FleetTest){};

// Guards against a second run when a caller resends through another daemon.
TEST(BookingPath, ResendThroughAnotherDaemonGetsTheFirstResponse) {
  Fleet fleet(2);
  fleet.AwaitReady();
  const std::string key = NewKey("resent");
  STRCMP_EQUAL("unknown", Text(StageOf(fleet, key)["stage"]).c_str());
  const auto first = fleet.Call(fleet.Booking(key, 0));
  const auto second = fleet.Call(fleet.Booking(key, 1));
  LONGS_EQUAL(201, first.status);
  LONGS_EQUAL(201, second.status);
  STRCMP_EQUAL(first.body.c_str(), second.body.c_str());
  STRCMP_EQUAL("true", std::string(net::FindHeader(second.headers,
                                                   "Idempotent-Replayed"))
                           .c_str());
  LONGS_EQUAL(1, fleet.service.Runs().at(key));
  fleet.RunUntil([&] { return Text(StageOf(fleet, key)["stage"]) == "done"; });
  STRCMP_EQUAL(first.body.c_str(), Text(StageOf(fleet, key)["answer"]).c_str());
}

// Guards against a second run when several daemons receive the same key at the
// same time.
TEST(BookingPath, ConcurrentResendsRunOnce) {
  Fleet fleet(3);
  fleet.AwaitReady();
  std::vector<Fleet::Pending> pending;
  for (int i = 0; i < 20; ++i) {
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
      pending.push_back(
          fleet.Start(fleet.Booking(NewKey("c" + std::to_string(i)), daemon)));
    }
  }
  for (const auto& call : pending) {
    LONGS_EQUAL(201, fleet.Wait(call).status);
  }
  for (const auto& [key, runs] : fleet.service.Runs()) {
    LONGS_EQUAL(1, runs);
  }
}

// Guards against a log outage that stops prompts, and against a false
// `not_run`.
TEST(BookingPath, LogOutageRefusesBookingsAndServesPrompts) {
  Fleet fleet(1, [](codec::DaemonSettings& settings) {
    settings.booking.claim_time = std::chrono::milliseconds(200);
  });
  fleet.AwaitReady();
  fleet.log.SetFaults({.outage = true});
  const std::string key = NewKey("outage");
  const auto refused = fleet.Call(fleet.Booking(key));
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("booking_log_unavailable",
               Text(ErrorOf(refused)["code"]).c_str());
  STRCMP_EQUAL("not_run", Text(ErrorOf(refused)["verdict"]).c_str());
  CHECK_FALSE(net::FindHeader(refused.headers, "Retry-After").empty());
  const auto prompt = fleet.Call(fleet.Chat("still served", true));
  STRCMP_EQUAL(Fleet::ExpectedText("still served").c_str(),
               ReadStream(prompt.body, true).text.c_str());
  fleet.log.SetFaults({});
  // The intent of the refused booking becomes readable and is voided; the
  // resend runs the booking once.
  fleet.RunUntil([&] { return fleet.log.AppendCount() >= 3; });
  LONGS_EQUAL(0, fleet.service.Runs().count(key));
  const auto resent = fleet.Call(fleet.Booking(key));
  LONGS_EQUAL(201, resent.status);
  LONGS_EQUAL(1, fleet.service.Runs().at(key));
}

// Guards against double runs and lost bookings when the response to a
// successful append is lost.
TEST(BookingPath, LostAppendResponsesAreResolvedByReading) {
  Fleet fleet(2);
  fleet.AwaitReady();
  fleet.log.SetFaults({.lost_response_share = 0.5});
  std::vector<Fleet::Pending> pending;
  for (int i = 0; i < 30; ++i) {
    pending.push_back(fleet.Start(fleet.Booking(
        NewKey("a" + std::to_string(i)), static_cast<std::size_t>(i % 2))));
    fleet.loop.run_one_for(std::chrono::milliseconds(20));
  }
  for (const auto& call : pending) {
    LONGS_EQUAL(201, fleet.Wait(call).status);
  }
  LONGS_EQUAL(30, fleet.service.Runs().size());
  for (const auto& [key, runs] : fleet.service.Runs()) {
    LONGS_EQUAL(1, runs);
  }
}

// Guards against a second dispatch when the response to the first was lost.
TEST(BookingPath, BookingWithLostDispatchResponseIsNeverRunAgain) {
  Fleet fleet(2, [](codec::DaemonSettings& settings) {
    settings.booking.outcome_wait = std::chrono::milliseconds(200);
  });
  fleet.AwaitReady();
  fleet.service.SetFaults({.lost_response_share = 1});
  const std::string key = NewKey("lost");
  for (const std::size_t daemon : {0, 1, 0}) {
    const auto result = fleet.Call(fleet.Booking(key, daemon));
    LONGS_EQUAL(409, result.status);
    STRCMP_EQUAL("booking_outcome_unknown",
                 Text(ErrorOf(result)["code"]).c_str());
    STRCMP_EQUAL("may_have_run", Text(ErrorOf(result)["verdict"]).c_str());
    fleet.service.SetFaults({});
  }
  LONGS_EQUAL(1, fleet.service.Runs().at(key));
}

// Guards against reporting a booking that the service rejected as possibly run.
TEST(BookingPath, RejectedDispatchIsReportedAsNotRun) {
  Fleet fleet;
  fleet.AwaitReady();
  fleet.service.SetFaults({.refuse_share = 1});
  const std::string key = NewKey("busy");
  const auto refused = fleet.Call(fleet.Booking(key));
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("booking_not_dispatched",
               Text(ErrorOf(refused)["code"]).c_str());
  STRCMP_EQUAL("not_run", Text(ErrorOf(refused)["verdict"]).c_str());
  LONGS_EQUAL(0, fleet.service.Runs().count(key));
}
