// Requests that arrive while a StreamServer stops.

#include <jasminehatch/net.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "jasminehatch/detail/testing/run_until.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch::net;
using asio::ip::tcp;

namespace {

constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// @brief A server that counts its requests, and its loop.
class StopFixture {
 public:
  explicit StopFixture(const std::string& body = "done")
      : m_server(m_loop,
                 "127.0.0.1",
                 0,
                 [this, body](const std::shared_ptr<ServerExchange>& exchange) {
                   ++m_handled;
                   exchange->Send(200, {}, body);
                 }) {}

  template <typename Condition>
  bool RunUntil(Condition condition) {
    return jasminehatch::testing::RunHandlersUntil(m_loop, condition);
  }

  /// Runs single handlers until the server has accepted a connection.
  void AcceptOne() {
    const std::size_t before = m_server.OpenConnections();
    while (m_server.OpenConnections() == before) {
      m_loop.restart();
      m_loop.poll_one();
    }
  }

  asio::io_context& Loop() { return m_loop; }
  StreamServer& Server() { return m_server; }
  std::size_t Handled() const { return m_handled; }

 private:
  asio::io_context m_loop;
  std::size_t m_handled = 0;
  StreamServer m_server;
};

/// @brief A caller's connection.
class Caller {
 public:
  explicit Caller(StopFixture& fixture) : m_socket(fixture.Loop()) {
    m_socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(),
                                   fixture.Server().Port()));
  }

  /// Sends without running the server's loop.
  void Send(std::string_view bytes) {
    asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()));
  }

  void StartReading() {
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [this](const asio::error_code& error, std::size_t length) {
          m_received.append(m_buffer.data(), length);
          m_closed = static_cast<bool>(error);
          if (!error) {
            StartReading();
          }
        });
  }

  /// @return whether the response to the last request arrived
  bool IsAnswered() const { return m_received.ends_with("done"); }
  const std::string& Received() const { return m_received; }
  /// @return the number of responses that began
  std::size_t Responses() const {
    constexpr std::string_view kStart = "HTTP/1.1 200";
    std::size_t count = 0;
    for (std::size_t at = m_received.find(kStart); at != std::string::npos;
         at = m_received.find(kStart, at + kStart.size())) {
      ++count;
    }
    return count;
  }
  bool IsClosed() const { return m_closed; }
  void ForgetReceived() { m_received.clear(); }

 private:
  tcp::socket m_socket;
  std::array<char, 16384> m_buffer{};
  std::string m_received;
  bool m_closed = false;
};

}  // namespace

TEST_GROUP_BASE(StreamServerStop, jasminehatch::testing::LeakDetectorOff){};

// Guards against a request that is passed on although its connection was closed
// while it was read, so that its caller gets no response (LOST).
TEST(StreamServerStop, ARequestThatWasReadIsAnswered) {
  StopFixture fixture;
  Caller caller(fixture);
  caller.Send(kRequest);
  // The server reads the request as it accepts the connection, and handles it
  // in a later turn of the loop.
  fixture.AcceptOne();
  fixture.Server().StopAccepting();
  caller.StartReading();
  CHECK(fixture.RunUntil([&] { return caller.IsClosed(); }));
  UNSIGNED_LONGS_EQUAL(1, fixture.Handled());
  CHECK(caller.IsAnswered());
  CHECK(caller.Received().find("Connection: close") != std::string::npos);
}

// Guards against a reset of connections that callers have opened and that were
// not accepted yet, with the requests that they carry.
TEST(StreamServerStop, WaitingConnectionsAreServed) {
  StopFixture fixture;
  Caller first(fixture);
  Caller second(fixture);
  first.Send(kRequest);
  second.Send(kRequest);
  fixture.Server().StopAccepting();
  first.StartReading();
  second.StartReading();
  CHECK(
      fixture.RunUntil([&] { return first.IsClosed() && second.IsClosed(); }));
  CHECK(first.IsAnswered());
  CHECK(second.IsAnswered());
}

// Guards against a close of a kept connection on which a request has arrived.
TEST(StreamServerStop, ARequestOnAKeptConnectionIsAnswered) {
  StopFixture fixture;
  Caller caller(fixture);
  caller.Send(kRequest);
  caller.StartReading();
  CHECK(fixture.RunUntil([&] { return caller.IsAnswered(); }));
  caller.ForgetReceived();
  caller.Send(kRequest);
  fixture.Server().StopAccepting();
  CHECK(fixture.Server().BusyConnections() == 1);
  CHECK(fixture.RunUntil([&] { return caller.IsClosed(); }));
  CHECK(caller.IsAnswered());
  UNSIGNED_LONGS_EQUAL(2, fixture.Handled());
}

// Guards against pipelined requests that the server has read and that get no
// response, since the one before them closes the connection.
TEST(StreamServerStop, PipelinedRequestsThatWereReadAreAnswered) {
  constexpr std::size_t kRequests = 3;
  StopFixture fixture;
  Caller caller(fixture);
  for (std::size_t i = 0; i < kRequests; ++i) {
    caller.Send(kRequest);
  }
  fixture.AcceptOne();
  fixture.Server().CloseAfterResponses();
  fixture.Server().StopAccepting();
  caller.StartReading();
  CHECK(fixture.RunUntil([&] { return caller.IsClosed(); }));
  UNSIGNED_LONGS_EQUAL(kRequests, fixture.Handled());
  UNSIGNED_LONGS_EQUAL(kRequests, caller.Responses());
  // Only the last response says that the connection ends.
  const std::size_t close = caller.Received().find("Connection: close");
  CHECK(close != std::string::npos);
  CHECK(caller.Received().find("HTTP/1.1 200", close) == std::string::npos);
}

// Guards against a process that ends while a request is being read: at each
// byte.
TEST(StreamServerStop, APartOfARequestKeepsTheConnectionBusy) {
  for (std::size_t cut = 1; cut < kRequest.size(); ++cut) {
    StopFixture fixture;
    Caller caller(fixture);
    caller.Send(kRequest.substr(0, cut));
    fixture.AcceptOne();
    fixture.Server().StopAccepting();
    caller.StartReading();
    for (int i = 0; i < 10; ++i) {
      fixture.Loop().poll();
    }
    UNSIGNED_LONGS_EQUAL(1, fixture.Server().BusyConnections());
    caller.Send(kRequest.substr(cut));
    CHECK(fixture.RunUntil([&] { return caller.IsClosed(); }));
    CHECK(caller.IsAnswered());
  }
}

// Guards against a process that ends while a response is being written.
TEST(StreamServerStop, AnUnsentResponseKeepsTheConnectionBusy) {
  StopFixture fixture(std::string(16UL << 20U, 'x') + "done");
  Caller caller(fixture);
  caller.Send(kRequest);
  CHECK(fixture.RunUntil([&] { return fixture.Handled() == 1; }));
  fixture.Server().StopAccepting();
  UNSIGNED_LONGS_EQUAL(1, fixture.Server().BusyConnections());
  caller.StartReading();
  CHECK(fixture.RunUntil([&] { return caller.IsAnswered(); }));
  CHECK(fixture.RunUntil(
      [&] { return fixture.Server().BusyConnections() == 0; }));
}

// Guards against idle connections that keep a stopping server busy, and against
// a caller that holds it up with a part of a request.
TEST(StreamServerStop, IdleConnectionsDoNotDelayTheStop) {
  StopFixture fixture;
  Caller idle(fixture);
  Caller kept(fixture);
  Caller stalled(fixture);
  kept.Send(kRequest);
  stalled.Send(kRequest.substr(0, 5));
  idle.StartReading();
  kept.StartReading();
  CHECK(fixture.RunUntil([&] { return kept.IsAnswered(); }));
  fixture.Server().StopAccepting();
  CHECK(fixture.RunUntil([&] { return idle.IsClosed() && kept.IsClosed(); }));
  const auto start = std::chrono::steady_clock::now();
  CHECK(fixture.RunUntil(
      [&] { return fixture.Server().BusyConnections() == 0; }));
  CHECK(std::chrono::steady_clock::now() - start <
        jasminehatch::testing::kRunTimeout / 2);
  UNSIGNED_LONGS_EQUAL(1, fixture.Handled());
}
