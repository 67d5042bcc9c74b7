#include <jasminehatch/daemon.h>
#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "forwarder_fixture.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using daemon::test::ForwarderConfiguration;
using daemon::test::ForwarderFixture;
using emulator::UpstreamEmulator;
using Response = daemon::test::CallerResponse;
using UpstreamResponse = UpstreamEmulator::Response;

namespace {

UpstreamResponse MakeUpstreamResponse(UpstreamResponse::Kind kind) {
  UpstreamResponse response;
  response.kind = kind;
  return response;
}

}  // namespace

TEST_GROUP_BASE(ForwarderPath, jasminehatch::testing::LeakDetectorOff){};

// Guards against a response that is changed in transit, a caller's key that
// reaches the upstream, and a workspace chosen by the caller.
TEST(ForwarderPath, ForwardsARequestAndItsResponse) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  const Response response = fixture.Send("/once/x");
  LONGS_EQUAL(200, response.head.status);
  STRCMP_EQUAL("done", response.body.c_str());
  CHECK(response.Header("X-Response-Signature").starts_with("signature-of-u"));
  UNSIGNED_LONGS_EQUAL(1, fixture.RunCount());
  const auto& ran = fixture.Upstream(0).Ran().empty()
                        ? fixture.Upstream(1).Ran()
                        : fixture.Upstream(0).Ran();
  STRCMP_EQUAL("question", ran.front().body.c_str());
  STRCMP_EQUAL(
      "t1",
      std::string(net::FindHeader(ran.front().headers, "X-Tenant")).c_str());
  CHECK(net::FindHeader(ran.front().headers, "Authorization").empty());
}

// Guards against a non-idempotent request that runs twice, and against
// reporting "not run" for one that may have run.
TEST(ForwarderPath, BrokenNonIdempotentRequestIsNotRetried) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour([](const auto&) {
    return MakeUpstreamResponse(UpstreamResponse::Kind::kBreak);
  });
  const Response response = fixture.Send("/once/x");
  LONGS_EQUAL(502, response.head.status);
  UNSIGNED_LONGS_EQUAL(1, fixture.RunCount());
}

// Guards against an idempotent request that fails with the first upstream.
TEST(ForwarderPath, IdempotentRequestIsRetried) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  int calls = 0;
  fixture.SetBehaviour([&](const auto&) {
    return MakeUpstreamResponse(++calls == 1
                                    ? UpstreamResponse::Kind::kBreak
                                    : UpstreamResponse::Kind::kRespond);
  });
  LONGS_EQUAL(200, fixture.Send("/again/x").head.status);
  UNSIGNED_LONGS_EQUAL(2, fixture.RunCount());
}

// Guards against a request that is not refused although all upstreams reject
// it, and against a refusal without `Retry-After`.
TEST(ForwarderPath, RefusesWhenAllUpstreamsAreFull) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour([](const auto&) {
    return MakeUpstreamResponse(UpstreamResponse::Kind::kNotRun);
  });
  const Response response = fixture.Send("/once/x");
  LONGS_EQUAL(503, response.head.status);
  CHECK_FALSE(response.Header("Retry-After").empty());
  UNSIGNED_LONGS_EQUAL(0, fixture.RunCount());
}

// Guards against forwarding the response to another request, or one without the
// upstream's signature.
TEST(ForwarderPath, InvalidResponsesAreNotForwarded) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour([](const auto&) {
    UpstreamResponse response;
    response.wrong_id = true;
    return response;
  });
  LONGS_EQUAL(502, fixture.Send("/once/x").head.status);
  fixture.SetBehaviour([](const auto&) {
    UpstreamResponse response;
    response.without_signature = true;
    return response;
  });
  LONGS_EQUAL(502, fixture.Send("/once/x").head.status);
}

// Guards against a resumed stream with a missing, repeated or truncated event.
TEST(ForwarderPath, BrokenStreamResumesAtTheNextEvent) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  int calls = 0;
  std::string resumed_after;
  fixture.SetBehaviour([&](const net::HttpRequest& request) {
    UpstreamResponse response =
        MakeUpstreamResponse(UpstreamResponse::Kind::kStream);
    if (++calls == 1) {
      response.events = {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n",
                         "id: 3\nda"};
      response.truncated = true;
    } else {
      resumed_after = net::FindHeader(request.headers, "Last-Event-Id");
      response.events = {"id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"};
    }
    return response;
  });
  const Response response = fixture.Send("/stream/x");
  CHECK(response.end.kind == net::StreamEnd::Kind::kComplete);
  STRCMP_EQUAL("2", resumed_after.c_str());
  STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
               response.body.c_str());
}

// Guards against a stream that ends as complete although its upstream failed.
TEST(ForwarderPath, StreamThatCannotResumeEndsBroken) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour([](const auto&) {
    UpstreamResponse response =
        MakeUpstreamResponse(UpstreamResponse::Kind::kStream);
    response.events = {"id: 1\ndata: a\n\n"};
    response.truncated = true;
    return response;
  });
  const Response response = fixture.Send("/stream/x");
  CHECK(response.end.kind == net::StreamEnd::Kind::kBroken);
  STRCMP_EQUAL("id: 1\ndata: a\n\n", response.body.c_str());
}

// Guards against a stream that looks complete because the upstream that should
// resume it fails with a complete response of its own (found by soak seed 108).
TEST(ForwarderPath, FailedResumeEndsTheStreamBroken) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour([](const net::HttpRequest& request) {
    UpstreamResponse response =
        MakeUpstreamResponse(UpstreamResponse::Kind::kRespond);
    if (net::FindHeader(request.headers, "Last-Event-Id").empty()) {
      response.kind = UpstreamResponse::Kind::kStream;
      response.events = {"id: 1\ndata: a\n\n"};
      response.truncated = true;
    } else {
      response.status = 500;
    }
    return response;
  });
  const Response response = fixture.Send("/stream/x");
  LONGS_EQUAL(200, response.head.status);
  CHECK(response.end.kind == net::StreamEnd::Kind::kBroken);
}

// Guards against a response after the caller's deadline.
TEST(ForwarderPath, HangingUpstreamTimesOutAtTheDeadline) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour([](const auto&) {
    return MakeUpstreamResponse(UpstreamResponse::Kind::kHang);
  });
  LONGS_EQUAL(504, fixture.Send("/once/x", "key", "300").head.status);
  UNSIGNED_LONGS_EQUAL(1, fixture.RunCount());
}

// Guards against a revoked key that works for too long, also when earlier
// records of the configuration were compacted away.
TEST(ForwarderPath, RevokedKeyStopsWorking) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  LONGS_EQUAL(200, fixture.Send("/once/x").head.status);
  fixture.Platform().Put("keyed.op", "config",
                         ForwarderConfiguration(2, "new"));
  CHECK(fixture.RunUntil(
      [&] { return fixture.Send("/once/x").head.status == 401; }));
  LONGS_EQUAL(200, fixture.Send("/once/x", "new").head.status);
  fixture.Platform().Put("keyed.op", "config",
                         ForwarderConfiguration(3, "newer"));
  fixture.Platform().Compact("keyed.op");
  CHECK(fixture.RunUntil(
      [&] { return fixture.Send("/once/x", "newer").head.status == 200; }));
}

// Guards against accepting keys without a proof that they are still valid, and
// against a daemon that does not recover from an outage.
TEST(ForwarderPath, RefusesKeysWhileTheStoreIsUnreachable) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.Platform().SetDown(true);
  // The waiting read ends only with the next record.
  fixture.Platform().Put("keyed.op", "other", "x");
  CHECK(fixture.RunUntil([&] { return !fixture.Daemon().IsReady(); }));
  const Response refused = fixture.Send("/once/x");
  LONGS_EQUAL(503, refused.head.status);
  CHECK_FALSE(refused.Header("Retry-After").empty());
  fixture.Platform().SetDown(false);
  CHECK(fixture.WaitUntilReady());
  LONGS_EQUAL(200, fixture.Send("/once/x").head.status);
}

// Guards against new work for an upstream that is leaving, also when another
// writer leaves an invalid entry in the registry.
TEST(ForwarderPath, LeavingUpstreamGetsNoNewRequests) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.Register(fixture.Upstream(0), true);
  fixture.Platform().Put("keyed.servers", "foreign", "{\"service\":");
  std::size_t before = 0;
  // Requests go to the least loaded upstream, so four in a row at the other one
  // show that this one is excluded.
  CHECK(fixture.RunUntil([&] {
    before = fixture.Upstream(0).Ran().size();
    for (int i = 0; i < 4; ++i) {
      fixture.Send("/once/x");
    }
    return fixture.Upstream(0).Ran().size() == before;
  }));
  for (int i = 0; i < 10; ++i) {
    LONGS_EQUAL(200, fixture.Send("/once/x").head.status);
  }
  UNSIGNED_LONGS_EQUAL(before, fixture.Upstream(0).Ran().size());
}

// Guards against new requests and retries for an upstream that said in a
// response, of any kind, that it is leaving while the registry still lists it.
TEST(ForwarderPath, AnUpstreamThatSaysItIsLeavingGetsNoNewRequests) {
  using Kind = UpstreamResponse::Kind;
  for (const auto& [kind, status, path] :
       {std::tuple{Kind::kRespond, 200, "/once/x"},
        std::tuple{Kind::kRespond, 404, "/once/x"},
        std::tuple{Kind::kRespond, 500, "/again/x"},
        std::tuple{Kind::kNotRun, 503, "/once/x"},
        std::tuple{Kind::kBreak, 200, "/again/x"},
        std::tuple{Kind::kStream, 200, "/stream/x"}}) {
    ForwarderFixture fixture;
    CHECK(fixture.WaitUntilReady());
    std::vector<std::size_t> arrivals(2);
    std::optional<std::size_t> leaving;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
      fixture.Upstream(i).SetBehaviour(
          [&, i, kind = kind, status = status](const auto&) {
            ++arrivals[i];
            UpstreamResponse response;
            if (leaving.value_or(i) == i) {
              leaving = i;
              response.kind = kind;
              response.status = status;
              response.headers = {{"Server-Leaving", "1"}};
              response.events = {"id: 1\ndata: a\n\n"};
            }
            return response;
          });
    }
    const Response first = fixture.Send(path);
    for (int i = 0; i < 10; ++i) {
      fixture.Register(fixture.Upstream(*leaving), false);
      LONGS_EQUAL(200, fixture.Send("/once/x").head.status);
    }
    UNSIGNED_LONGS_EQUAL(1, arrivals[*leaving]);
    STRCMP_EQUAL("", first.Header("Server-Leaving").c_str());
  }
}

// Guards against an upstream that is excluded because a faulty one repeated a
// response to another request.
TEST(ForwarderPath, AResponseToAnotherRequestGivesNoNotice) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour([](const auto&) {
    UpstreamResponse response;
    response.wrong_id = true;
    response.headers = {{"Server-Leaving", "1"}};
    return response;
  });
  for (int i = 0; i < 2; ++i) {
    LONGS_EQUAL(502, fixture.Send("/once/x").head.status);
  }
  fixture.SetBehaviour([](const auto&) { return UpstreamResponse{}; });
  LONGS_EQUAL(200, fixture.Send("/once/x").head.status);
}

// Guards against requests for an upstream that asked for none for some time.
TEST(ForwarderPath, AnUpstreamThatAskedForAPauseGetsNothingMeanwhile) {
  using Clock = std::chrono::steady_clock;
  constexpr std::chrono::milliseconds kPause{800};
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  std::optional<std::size_t> pausing;
  Clock::time_point paused_at;
  std::size_t arrivals_in_pause = 0;
  std::size_t arrivals_after_pause = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    fixture.Upstream(i).SetBehaviour([&, i](const auto&) {
      UpstreamResponse response;
      if (!pausing) {
        pausing = i;
        paused_at = Clock::now();
        response.kind = UpstreamResponse::Kind::kNotRun;
        response.headers = {{"Retry-After", "0.8"}};
      } else if (pausing == i) {
        const bool early = Clock::now() - paused_at < kPause;
        ++(early ? arrivals_in_pause : arrivals_after_pause);
      }
      return response;
    });
  }
  CHECK(fixture.RunUntil([&] {
    LONGS_EQUAL(200, fixture.Send("/once/x").head.status);
    return arrivals_after_pause > 0;
  }));
  UNSIGNED_LONGS_EQUAL(0, arrivals_in_pause);
}

// Guards against callers that wait, or return too early, while all upstreams
// asked for no requests, and against sending them requests as a last resort.
TEST(ForwarderPath, RefusesAtOnceWhileAllUpstreamsPause) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  std::size_t arrivals = 0;
  fixture.SetBehaviour([&](const auto&) {
    ++arrivals;
    UpstreamResponse response =
        MakeUpstreamResponse(UpstreamResponse::Kind::kNotRun);
    response.headers = {{"Retry-After", "40"}};
    return response;
  });
  for (int i = 0; i < 5; ++i) {
    const Response refused = fixture.Send("/again/x");
    LONGS_EQUAL(503, refused.head.status);
    CHECK(std::stod(refused.Header("Retry-After")) > 10);
  }
  UNSIGNED_LONGS_EQUAL(2, arrivals);
  UNSIGNED_LONGS_EQUAL(0, fixture.RunCount());
}

// Guards against a daemon that stops following the registry at a record that
// cannot be read, and keeps sending requests to upstreams that left.
TEST(ForwarderPath, RecordsAfterAnOddOneAreFollowed) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  auto& platform = fixture.Platform();
  platform.PutRaw("keyed.servers", "\xffno key");
  platform.PutRaw("keyed.servers", "");
  platform.PutUpstream("odd", std::string(100'000, '['));
  platform.PutUpstream("line\r\nbreak",
                       fixture.Upstream(0).Entry("desk", false));
  platform.PutUpstream(
      "port", fixture.Upstream(0).Entry("desk", false, "127.0.0.1:99999"));
  fixture.Register(fixture.Upstream(0), true);
  CHECK(fixture.RunUntil([&] {
    const std::size_t ran = fixture.Upstream(0).Ran().size();
    for (int i = 0; i < 10; ++i) {
      LONGS_EQUAL(200, fixture.Send("/once/x").head.status);
    }
    return fixture.Upstream(0).Ran().size() == ran;
  }));
  CHECK(!fixture.Upstream(1).Ran().empty());
}

// Guards against a daemon that never starts because a listing has an item that
// cannot be read.
TEST(ForwarderPath, AListingWithAnOddItemIsRead) {
  ForwarderFixture fixture;
  fixture.Platform().PutUpstream("a b", "\xfe");
  fixture.Platform().PutUpstream("odd", "5");
  CHECK(fixture.WaitUntilReady());
  LONGS_EQUAL(200, fixture.Send("/once/x").head.status);
}
