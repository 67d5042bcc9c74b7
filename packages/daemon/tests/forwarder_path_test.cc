#include <fcntl.h>
#include <jasminehatch/codec.h>
#include <jasminehatch/daemon.h>
#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// Last, because it replaces `new` by a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using emulator::PlatformEmulator;
using emulator::UpstreamEmulator;
using Reply = UpstreamEmulator::Response;

namespace {

constexpr std::chrono::seconds kLimit{20};

constexpr char kRoutes[] = R"(
{"name":"once","host":"h.example","pathPrefix":"/once/","kind":"non_idempotent",
"timeoutMs":3000,"sloMs":150,"priority":2,"service":"desk","attempts":2},
{"name":"again","host":"h.example","pathPrefix":"/again/","kind":"idempotent",
"timeoutMs":3000,"sloMs":150,"priority":2,"service":"desk","attempts":2},
{"name":"stream","host":"h.example","pathPrefix":"/stream/","kind":"streaming",
"timeoutMs":3000,"sloMs":300,"priority":1,"service":"desk","attempts":2,
"resumable":true,"targetGapMs":300})";

std::string ConfigurationText(int version, const std::string& key) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         kRoutes + R"(],"services":[{"name":"desk","maxConns":50}],)" +
         R"("tenants":[{"name":"t1","apiKeys":[")" + key + R"("]}]})";
}

/// @brief What a caller got.
struct Answer {
  bool ended = false;
  net::StreamHead head;
  std::string body;
  net::StreamEnd end;

  std::string Header(const char* name) const {
    return std::string(net::FindHeader(head.headers, name));
  }
};

/// @brief A daemon, the platform's store and two upstreams on one loop.
class Bench {
 public:
  Bench() : m_platform(m_loop), m_client(m_loop, {}) {
    m_platform.Put("keyed.op", "config", ConfigurationText(1, "key"));
    for (const char* id : {"u1", "u2"}) {
      m_upstreams.push_back(std::make_unique<UpstreamEmulator>(m_loop, id));
      Register(*m_upstreams.back(), false);
    }
    m_settings.name = "e1";
    m_settings.zone = "a";
    m_settings.address = emulator::FreeTcpAddress(m_loop);
    m_settings.ready_address = emulator::FreeTcpAddress(m_loop);
    m_settings.store_address = m_platform.Address();
    m_settings.stop_grace = std::chrono::seconds(4);
    m_settings.revoke_limit = std::chrono::milliseconds(2500);
    m_daemon = std::make_unique<daemon::Forwarder>(m_loop, m_settings, m_clock,
                                                   1, m_log_descriptor);
  }
  ~Bench() {
    m_daemon.reset();
    close(m_log_descriptor);
  }
  Bench(const Bench&) = delete;
  Bench& operator=(const Bench&) = delete;

  void Register(const UpstreamEmulator& upstream, bool draining) {
    m_platform.Put("keyed.servers", upstream.Id(),
                   upstream.Entry("desk", draining));
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      m_loop.restart();
      m_loop.run_for(std::chrono::milliseconds(5));
    }
    return true;
  }

  bool WaitUntilReady() {
    return RunUntil([this] { return m_daemon->Ready(); });
  }

  std::shared_ptr<Answer> Start(const std::string& path,
                                const std::string& key = "key",
                                const std::string& deadline = "2000") {
    auto answer = std::make_shared<Answer>();
    net::StreamCall call;
    call.address = m_settings.address;
    call.method = "POST";
    call.target = path;
    call.body = "question";
    call.headers = {{"Host", "h.example"},
                    {"X-Request-Id", "request-" + std::to_string(m_next++)},
                    {"X-Deadline-Ms", deadline},
                    {"Authorization", "Token " + key},
                    {"X-Tenant", "forged"}};
    net::StreamClient::Callbacks callbacks;
    callbacks.on_head = [answer](net::StreamHead head) {
      answer->head = std::move(head);
    };
    callbacks.on_data = [answer](std::string_view data) {
      answer->body += data;
    };
    callbacks.on_end = [answer](const net::StreamEnd& end) {
      answer->end = end;
      answer->ended = true;
    };
    m_call = m_client.Start(std::move(call), std::move(callbacks));
    return answer;
  }

  Answer Send(const std::string& path,
              const std::string& key = "key",
              const std::string& deadline = "2000") {
    const auto answer = Start(path, key, deadline);
    CHECK(RunUntil([&] { return answer->ended; }));
    return *answer;
  }

  void SetBehaviour(const UpstreamEmulator::Behaviour& behaviour) {
    for (const auto& upstream : m_upstreams) {
      upstream->SetBehaviour(behaviour);
    }
  }

  std::size_t Ran() const {
    std::size_t ran = 0;
    for (const auto& upstream : m_upstreams) {
      ran += upstream->Ran().size();
    }
    return ran;
  }

  void LeaveCall() { m_client.Cancel(m_call); }

  PlatformEmulator& Platform() { return m_platform; }
  UpstreamEmulator& Upstream(std::size_t i) { return *m_upstreams.at(i); }
  daemon::Forwarder& Daemon() { return *m_daemon; }

 private:
  asio::io_context m_loop;
  net::BootClock m_clock;
  int m_log_descriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
  PlatformEmulator m_platform;
  std::vector<std::unique_ptr<UpstreamEmulator>> m_upstreams;
  net::StreamClient m_client;
  codec::ForwarderSettings m_settings;
  std::unique_ptr<daemon::Forwarder> m_daemon;
  std::uint64_t m_call = 0;
  int m_next = 1;
};

Reply MakeReply(Reply::Kind kind) {
  Reply reply;
  reply.kind = kind;
  return reply;
}

}  // namespace

TEST_GROUP_BASE(ForwarderPath, jasminehatch::testing::LeakDetectorOff){};

// Guards against an answer that is changed on its way, a key that reaches the
// upstream, and a workspace that the caller chose.
TEST(ForwarderPath, PassesARequestAndItsAnswerOn) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  const Answer answer = bench.Send("/once/x");
  LONGS_EQUAL(200, answer.head.status);
  STRCMP_EQUAL("done", answer.body.c_str());
  CHECK(answer.Header("X-Response-Signature").starts_with("signature-of-u"));
  UNSIGNED_LONGS_EQUAL(1, bench.Ran());
  const auto& ran = bench.Upstream(0).Ran().empty() ? bench.Upstream(1).Ran()
                                                    : bench.Upstream(0).Ran();
  STRCMP_EQUAL("question", ran.front().body.c_str());
  STRCMP_EQUAL(
      "t1",
      std::string(net::FindHeader(ran.front().headers, "X-Tenant")).c_str());
  CHECK(net::FindHeader(ran.front().headers, "Authorization").empty());
}

// Guards against a booking that runs twice, and against "not run" after it may
// have run.
TEST(ForwarderPath, ABookingThatBreaksIsNotSentAgain) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  bench.SetBehaviour(
      [](const auto&) { return MakeReply(Reply::Kind::kBreak); });
  const Answer answer = bench.Send("/once/x");
  LONGS_EQUAL(502, answer.head.status);
  UNSIGNED_LONGS_EQUAL(1, bench.Ran());
}

// Guards against an idempotent request that fails with the first upstream.
TEST(ForwarderPath, AnIdempotentRequestIsSentAgain) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  int calls = 0;
  bench.SetBehaviour([&](const auto&) {
    return MakeReply(++calls == 1 ? Reply::Kind::kBreak
                                  : Reply::Kind::kRespond);
  });
  LONGS_EQUAL(200, bench.Send("/again/x").head.status);
  UNSIGNED_LONGS_EQUAL(2, bench.Ran());
}

// Guards against a refusal that is not final, or says nothing of a return.
TEST(ForwarderPath, FullUpstreamsLeadToARefusalThatIsTrue) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  bench.SetBehaviour(
      [](const auto&) { return MakeReply(Reply::Kind::kNotRun); });
  const Answer answer = bench.Send("/once/x");
  LONGS_EQUAL(503, answer.head.status);
  CHECK_FALSE(answer.Header("Retry-After").empty());
  UNSIGNED_LONGS_EQUAL(0, bench.Ran());
}

// Guards against the answer to another request, and against one without the
// upstream's signature.
TEST(ForwarderPath, FalseAnswersAreNotPassedOn) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  bench.SetBehaviour([](const auto&) {
    Reply reply;
    reply.wrong_id = true;
    return reply;
  });
  LONGS_EQUAL(502, bench.Send("/once/x").head.status);
  bench.SetBehaviour([](const auto&) {
    Reply reply;
    reply.without_signature = true;
    return reply;
  });
  LONGS_EQUAL(502, bench.Send("/once/x").head.status);
}

// Guards against a resumed stream with a missing, repeated or halved event.
TEST(ForwarderPath, ABrokenStreamGoesOnAtTheNextEvent) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  int calls = 0;
  std::string resumed_after;
  bench.SetBehaviour([&](const net::HttpRequest& request) {
    Reply reply = MakeReply(Reply::Kind::kStream);
    if (++calls == 1) {
      reply.events = {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\nda"};
      reply.truncated = true;
    } else {
      resumed_after = net::FindHeader(request.headers, "Last-Event-Id");
      reply.events = {"id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"};
    }
    return reply;
  });
  const Answer answer = bench.Send("/stream/x");
  CHECK(answer.end.kind == net::StreamEnd::Kind::kComplete);
  STRCMP_EQUAL("2", resumed_after.c_str());
  STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
               answer.body.c_str());
}

// Guards against a stream that ends as complete although its upstream broke
// off.
TEST(ForwarderPath, AStreamThatCannotGoOnLooksBroken) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  bench.SetBehaviour([](const auto&) {
    Reply reply = MakeReply(Reply::Kind::kStream);
    reply.events = {"id: 1\ndata: a\n\n"};
    reply.truncated = true;
    return reply;
  });
  const Answer answer = bench.Send("/stream/x");
  CHECK(answer.end.kind == net::StreamEnd::Kind::kBroken);
  STRCMP_EQUAL("id: 1\ndata: a\n\n", answer.body.c_str());
}

// Guards against a stream that looks whole because the upstream that should go
// on with it fails with a whole answer of its own (found by soak seed 108).
TEST(ForwarderPath, AFailureThatEndsAStreamLooksBroken) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  bench.SetBehaviour([](const net::HttpRequest& request) {
    Reply reply = MakeReply(Reply::Kind::kRespond);
    if (net::FindHeader(request.headers, "Last-Event-Id").empty()) {
      reply.kind = Reply::Kind::kStream;
      reply.events = {"id: 1\ndata: a\n\n"};
      reply.truncated = true;
    } else {
      reply.status = 500;
    }
    return reply;
  });
  const Answer answer = bench.Send("/stream/x");
  LONGS_EQUAL(200, answer.head.status);
  CHECK(answer.end.kind == net::StreamEnd::Kind::kBroken);
}

// Guards against a caller that waits longer than it said.
TEST(ForwarderPath, AHangingUpstreamEndsAtTheDeadline) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  bench.SetBehaviour([](const auto&) { return MakeReply(Reply::Kind::kHang); });
  LONGS_EQUAL(504, bench.Send("/once/x", "key", "300").head.status);
  UNSIGNED_LONGS_EQUAL(1, bench.Ran());
}

// Guards against a configuration that takes effect late or never: a key that
// was taken away, also when the records before were compacted away.
TEST(ForwarderPath, ATakenKeyStopsWorking) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  LONGS_EQUAL(200, bench.Send("/once/x").head.status);
  bench.Platform().Put("keyed.op", "config", ConfigurationText(2, "new"));
  CHECK(
      bench.RunUntil([&] { return bench.Send("/once/x").head.status == 401; }));
  LONGS_EQUAL(200, bench.Send("/once/x", "new").head.status);
  bench.Platform().Put("keyed.op", "config", ConfigurationText(3, "newer"));
  bench.Platform().Compact("keyed.op");
  CHECK(bench.RunUntil(
      [&] { return bench.Send("/once/x", "newer").head.status == 200; }));
}

// Guards against keys that are let in without a proof that they still count,
// and against a daemon that does not come back after an outage.
TEST(ForwarderPath, WithoutTheStoreKeysAreRefusedUntilItIsBack) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  bench.Platform().SetDown(true);
  // The read that waits is answered by the next record only.
  bench.Platform().Put("keyed.op", "other", "x");
  CHECK(bench.RunUntil([&] { return !bench.Daemon().Ready(); }));
  const Answer refused = bench.Send("/once/x");
  LONGS_EQUAL(503, refused.head.status);
  CHECK_FALSE(refused.Header("Retry-After").empty());
  bench.Platform().SetDown(false);
  CHECK(bench.WaitUntilReady());
  LONGS_EQUAL(200, bench.Send("/once/x").head.status);
}

// Guards against new work for an upstream that is leaving.
TEST(ForwarderPath, ALeavingUpstreamGetsNoNewWork) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  bench.Register(bench.Upstream(0), true);
  bench.Platform().Put("keyed.servers", "foreign", "{\"service\":");
  std::size_t before = 0;
  // Four answers in a row from the other one; each goes to the least loaded.
  CHECK(bench.RunUntil([&] {
    before = bench.Upstream(0).Ran().size();
    for (int i = 0; i < 4; ++i) {
      bench.Send("/once/x");
    }
    return bench.Upstream(0).Ran().size() == before;
  }));
  for (int i = 0; i < 10; ++i) {
    LONGS_EQUAL(200, bench.Send("/once/x").head.status);
  }
  UNSIGNED_LONGS_EQUAL(before, bench.Upstream(0).Ran().size());
}

// Guards against a planned stop that cuts off a request in progress.
TEST(ForwarderPath, AStopFinishesWhatRuns) {
  Bench bench;
  CHECK(bench.WaitUntilReady());
  bench.SetBehaviour([](const auto&) { return MakeReply(Reply::Kind::kHang); });
  const auto running = bench.Start("/once/x", "key", "1500");
  CHECK(bench.RunUntil([&] { return bench.Ran() == 1; }));
  bool stopped = false;
  bench.Daemon().Stop([&] { stopped = true; });
  CHECK_FALSE(bench.Daemon().Ready());
  CHECK(bench.RunUntil([&] { return stopped; }));
  CHECK(running->ended);
  LONGS_EQUAL(504, running->head.status);
}
