// The limit on the memory that callers of the server for forwarded requests
// take together.

#include <jasminehatch/core.h>
#include <jasminehatch/net.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jasminehatch/detail/testing/heap_bytes.h"
#include "jasminehatch/detail/testing/leak_detector_off.h"
#include "jasminehatch/detail/testing/run_until.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::net;
using asio::ip::tcp;
using shedding::CallerRefusal;

namespace {

constexpr std::size_t kLimit = 1UL << 20U;
constexpr std::size_t kBody = 300'000;
const std::string kHead = "POST / HTTP/1.1\r\nHost: h\r\n";

std::string BodyHead(std::size_t length) {
  return kHead + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

/// @brief A server that responds with the size of the body, unless it holds its
/// requests, and its callers.
class Fixture {
 public:
  class Caller {
   public:
    Caller(Fixture& fixture, const std::string& bytes)
        : m_fixture(fixture), m_socket(fixture.m_loop, tcp::v4()) {
      m_socket.connect(
          {asio::ip::make_address("127.0.0.1"), fixture.m_server.Port()});
      m_socket.non_blocking(true);
      Send(bytes);
    }

    void Send(const std::string& bytes) {
      std::size_t sent = 0;
      CHECK(m_fixture.RunUntil([&] {
        asio::error_code error;
        sent += m_socket.write_some(
            asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
        return sent == bytes.size() || (error && !IsWaiting(error));
      }));
    }

    /// @return all that was received until the condition on it holds or the
    /// connection ends
    template <typename Condition>
    const std::string& Receive(Condition condition) {
      std::array<char, 65536> buffer{};
      CHECK(m_fixture.RunUntil([&] {
        asio::error_code error;
        const std::size_t length =
            m_socket.read_some(asio::buffer(buffer), error);
        m_received.append(buffer.data(), length);
        m_closed = error && !IsWaiting(error);
        return m_closed || condition(m_received);
      }));
      return m_received;
    }
    int Status() {
      const std::string& text =
          Receive([](const std::string& t) { return t.size() >= 12; });
      return text.size() < 12 ? 0 : std::stoi(text.substr(9, 3));
    }
    bool WaitForClose() {
      Receive([](const std::string&) { return false; });
      return m_closed;
    }

   private:
    static bool IsWaiting(const asio::error_code& error) {
      return error == asio::error::would_block ||
             error == asio::error::try_again;
    }
    Fixture& m_fixture;
    tcp::socket m_socket;
    std::string m_received;
    bool m_closed = false;
  };

  Fixture() {
    m_server.SetMemoryLimits({kLimit, 50});
    m_server.SetRefusalCallback(
        [this](CallerRefusal reason) { ++m_refusals[reason]; });
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    return jasminehatch::testing::RunUntil(m_loop, condition);
  }

  StreamServer& Server() { return m_server; }
  int Refusals(CallerRefusal reason) { return m_refusals[reason]; }
  void HoldRequests() { m_holds = true; }
  void DropHeld() { m_held.clear(); }
  void SendHeld(const std::string& body) {
    m_held.front()->Send(200, {}, body);
  }
  ServerExchange& FirstHeld() { return *m_held.front(); }
  std::size_t Held() const { return m_held.size(); }

 private:
  asio::io_context m_loop;
  std::map<CallerRefusal, int> m_refusals;
  std::vector<std::shared_ptr<ServerExchange>> m_held;
  bool m_holds = false;
  StreamServer m_server{
      m_loop, "127.0.0.1", 0, [this](const std::shared_ptr<ServerExchange>& e) {
        if (m_holds) {
          m_held.push_back(e);
        } else {
          e->Send(200, {}, std::to_string(e->Request().body.size()));
        }
      }};
};

}  // namespace

TEST_GROUP_BASE(CallerMemory, jasminehatch::testing::LeakDetectorOff){};

// Guards against a body that is read although it does not fit, and against
// ordinary requests that are refused because of large ones.
TEST(CallerMemory, ABodyThatDoesNotFitIsRefusedByItsLength) {
  Fixture fixture;
  fixture.HoldRequests();
  const std::string request = BodyHead(kBody) + std::string(kBody, 'a');
  Fixture::Caller first(fixture, request);
  Fixture::Caller second(fixture, request);
  CHECK(fixture.RunUntil([&] { return fixture.Held() == 2; }));
  Fixture::Caller third(fixture, BodyHead(kBody));
  LONGS_EQUAL(503, third.Status());
  CHECK(third.WaitForClose());
  LONGS_EQUAL(1, fixture.Refusals(CallerRefusal::kNoMemory));
  Fixture::Caller ordinary(fixture, BodyHead(5) + "hello");
  CHECK(fixture.RunUntil([&] { return fixture.Held() == 3; }));
}

// Guards against chunked bodies that together exceed the limit, and against a
// limit that stays used up after its bodies are gone.
TEST(CallerMemory, ChunkedBodiesStayWithinTheLimit) {
  Fixture fixture;
  {
    std::vector<std::unique_ptr<Fixture::Caller>> callers;
    for (int i = 0; i < 8; ++i) {
      callers.push_back(std::make_unique<Fixture::Caller>(
          fixture, kHead + "Transfer-Encoding: chunked\r\n\r\n40000\r\n" +
                       std::string(0x3ffff, 'a')));
      CHECK(fixture.Server().MemoryBytes() <= kLimit);
    }
    CHECK(fixture.RunUntil([&] {
      return fixture.Refusals(CallerRefusal::kNoMemory) +
                 fixture.Refusals(CallerRefusal::kShed) >=
             5;
    }));
    Fixture::Caller ordinary(fixture, BodyHead(5) + "hello");
    LONGS_EQUAL(200, ordinary.Status());
  }
  CHECK(fixture.RunUntil(
      [&] { return fixture.Server().OpenConnections() == 0; }));
  UNSIGNED_LONGS_EQUAL(0, fixture.Server().MemoryBytes());
  Fixture::Caller large(fixture, BodyHead(kBody) + std::string(kBody, 'a'));
  LONGS_EQUAL(200, large.Status());
}

// Guards against a stalled body that keeps others out, and against a refusal
// that does not say that the request has not run.
TEST(CallerMemory, AStalledBodyMakesRoomForANewOne) {
  Fixture fixture;
  Fixture::Caller stalled(fixture, BodyHead(2 * kBody) + "a");
  // The time without progress starts when the server has read the head.
  CHECK(fixture.RunUntil(
      [&] { return fixture.Server().MemoryBytes() >= 2 * kBody; }));
  LONGS_EQUAL(0, fixture.Refusals(CallerRefusal::kShed));
  const auto since = std::chrono::steady_clock::now();
  CHECK(fixture.RunUntil([&] {
    return std::chrono::steady_clock::now() - since > shedding::kStallTime;
  }));
  Fixture::Caller next(fixture, BodyHead(kBody) + std::string(kBody, 'a'));
  LONGS_EQUAL(200, next.Status());
  LONGS_EQUAL(503, stalled.Status());
  LONGS_EQUAL(1, fixture.Refusals(CallerRefusal::kShed));
}

// Guards against a body whose length is far beyond the limit and that is read
// before it is rejected, or after that without a limit.
TEST(CallerMemory, ABodyBeyondTheLimitIsRejectedAtOnce) {
  for (const char* framing :
       {"Content-Length: 1000000000000\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n40000000\r\n"}) {
    Fixture fixture;
    Fixture::Caller caller(fixture, kHead + framing);
    LONGS_EQUAL(413, caller.Status());
    // More than the server discards and the kernel buffers.
    caller.Send(std::string(64UL << 20U, 'a'));
    CHECK(caller.WaitForClose());
    LONGS_EQUAL(1, fixture.Refusals(CallerRefusal::kBodyTooLarge));
  }
}

// Guards against a body without progress that is kept, and against a slow body
// that is ended although it takes longer than the idle time as a whole.
TEST(CallerMemory, OnlyBodiesWithoutProgressTimeOut) {
  Fixture fixture;
  CallerLimits limits;
  limits.idle_timeout = std::chrono::seconds(2);
  fixture.Server().SetLimits(limits);
  constexpr std::size_t kPieces = 8;
  Fixture::Caller stalled(fixture, BodyHead(kBody) + "a");
  Fixture::Caller slow(fixture, BodyHead(kPieces * shedding::kProgressBytes));
  auto next = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kPieces; ++i) {
    slow.Send(std::string(shedding::kProgressBytes, 'a'));
    next += std::chrono::milliseconds(400);
    CHECK(fixture.RunUntil(
        [&] { return std::chrono::steady_clock::now() >= next; }));
  }
  LONGS_EQUAL(200, slow.Status());
  LONGS_EQUAL(408, stalled.Status());
  LONGS_EQUAL(1, fixture.Refusals(CallerRefusal::kBodyTimeout));
}

// Guards against requests in progress that are not counted, or that are counted
// after they were destroyed.
TEST(CallerMemory, RequestsInProgressCountUntilTheyAreDestroyed) {
  Fixture fixture;
  fixture.HoldRequests();
  {
    Fixture::Caller caller(fixture, BodyHead(kBody) + std::string(kBody, 'a'));
    CHECK(fixture.RunUntil([&] { return fixture.Held() == 1; }));
  }
  CHECK(fixture.RunUntil(
      [&] { return fixture.Server().OpenConnections() == 0; }));
  CHECK(fixture.Server().MemoryBytes() >= kBody);
  fixture.DropHeld();
  UNSIGNED_LONGS_EQUAL(0, fixture.Server().MemoryBytes());
}

// Guards against a caller that does not read its response and holds it for
// ever.
TEST(CallerMemory, AnUnreadResponseTimesOut) {
  Fixture fixture;
  fixture.HoldRequests();
  CallerLimits limits;
  limits.idle_timeout = std::chrono::milliseconds(500);
  fixture.Server().SetLimits(limits);
  Fixture::Caller caller(fixture, BodyHead(1) + "a");
  CHECK(fixture.RunUntil([&] { return fixture.Held() == 1; }));
  fixture.Server().SetMemoryLimits({64UL << 20U, 50});
  // More than the kernel's buffers take.
  fixture.SendHeld(std::string(12UL << 20U, 'a'));
  CHECK(fixture.RunUntil(
      [&] { return fixture.Refusals(CallerRefusal::kResponseTimeout) == 1; }));
}

// Guards against connections without end.
TEST(CallerMemory, ConnectionsAreLimited) {
  Fixture fixture;
  fixture.Server().SetMemoryLimits({kLimit, 5});
  std::vector<std::unique_ptr<Fixture::Caller>> callers;
  callers.reserve(5);
  for (int i = 0; i < 5; ++i) {
    callers.push_back(std::make_unique<Fixture::Caller>(fixture, "POST "));
  }
  CHECK(fixture.RunUntil(
      [&] { return fixture.Server().OpenConnections() == 5; }));
  Fixture::Caller refused(fixture, "");
  CHECK(refused.WaitForClose());
  LONGS_EQUAL(1, fixture.Refusals(CallerRefusal::kConnectionLimit));
}

// Guards against a response without a request: a connection whose response does
// not fit into the limit is closed after it.
TEST(CallerMemory, AResponseThatDoesNotFitIsNotFollowedByARefusal) {
  Fixture fixture;
  fixture.HoldRequests();
  Fixture::Caller caller(fixture, BodyHead(1) + "a");
  CHECK(fixture.RunUntil([&] { return fixture.Held() == 1; }));
  fixture.Server().SetMemoryLimits({1, 50});
  fixture.SendHeld("done");
  CHECK(caller.WaitForClose());
  const std::string& received =
      caller.Receive([](const std::string&) { return true; });
  CHECK(received.starts_with("HTTP/1.1 200"));
  CHECK(received.ends_with("done"));
  LONGS_EQUAL(1, fixture.Refusals(CallerRefusal::kNoMemory));
}

// Guards against a dropped connection that asks for the memory of its unread
// response again, and so drops the request that it made room for.
TEST(CallerMemory, ADroppedUnreadResponseFreesItsMemory) {
  constexpr std::size_t kResponse = 12UL << 20U;
  constexpr std::size_t kNextBody = 2UL << 20U;
  Fixture fixture;
  fixture.HoldRequests();
  fixture.Server().SetMemoryLimits({kResponse + (1UL << 20U), 50});
  Fixture::Caller unread(fixture, BodyHead(1) + "a");
  CHECK(fixture.RunUntil([&] { return fixture.Held() == 1; }));
  // More than the kernel's buffers take.
  fixture.SendHeld(std::string(kResponse, 'a'));
  fixture.DropHeld();
  unread.Send("POST ");
  // The kernel may take further parts of the response for a moment.
  const auto wait = shedding::kStallTime + std::chrono::seconds(1);
  const auto since = std::chrono::steady_clock::now();
  CHECK(fixture.RunUntil(
      [&] { return std::chrono::steady_clock::now() - since > wait; }));
  Fixture::Caller next(fixture,
                       BodyHead(kNextBody) + std::string(kNextBody, 'a'));
  CHECK(fixture.RunUntil([&] { return fixture.Held() == 1; }));
  fixture.SendHeld("done");
  LONGS_EQUAL(200, next.Status());
  LONGS_EQUAL(1, fixture.Refusals(CallerRefusal::kShed));
  LONGS_EQUAL(0, fixture.Refusals(CallerRefusal::kResponseMemory));
}

// Guards against a refusal that announces a body and lacks it, because the
// request before it on the connection was HEAD.
TEST(CallerMemory, ARefusalAfterAHeadRequestHasItsBody) {
  Fixture fixture;
  Fixture::Caller caller(fixture, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
  LONGS_EQUAL(200, caller.Status());
  caller.Send(BodyHead(1'000'000'000));
  CHECK(caller.WaitForClose());
  const std::string& received =
      caller.Receive([](const std::string&) { return true; });
  CHECK(received.find("HTTP/1.1 413") != std::string::npos);
  CHECK(received.ends_with("body_too_large\n"));
}

// Guards against memory that is counted as free while a closed connection still
// holds it.
TEST(CallerMemory, AClosedConnectionFreesItsUnsentResponse) {
  constexpr std::size_t kPart = 8UL << 20U;
  Fixture fixture;
  fixture.HoldRequests();
  fixture.Server().SetMemoryLimits({4 * kPart, 50});
  Fixture::Caller caller(fixture, BodyHead(1) + "a");
  CHECK(fixture.RunUntil([&] { return fixture.Held() == 1; }));
  const std::string part(kPart, 'a');
  fixture.FirstHeld().BeginStream(200, {});
  fixture.FirstHeld().Write(part);
  CHECK(fixture.FirstHeld().UnsentBytes() >= kPart);
  const std::size_t before = jasminehatch::testing::HeapBytes();
  fixture.FirstHeld().Abort();
  // What the kernel is writing is kept until the write ends.
  CHECK(jasminehatch::testing::HeapBytes() + kPart <= before);
}
