// A planned stop of the forwarding daemon, seen by callers that keep using
// their connections.

#include <jasminehatch/daemon.h>
#include <jasminehatch/emulator.h>
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
#include <vector>

#include "forwarder_fixture.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using daemon::test::ForwarderFixture;
using emulator::UpstreamEmulator;
using UpstreamResponse = UpstreamEmulator::Response;

namespace {

/// @brief A caller's connection that sends a request piece by piece.
class PiecewiseCaller {
 public:
  PiecewiseCaller(asio::io_context& loop, const std::string& address)
      : m_socket(loop) {
    const auto ip_port = net::ParseIpPort(address);
    m_socket.connect({asio::ip::make_address(ip_port->ip), ip_port->port});
    Read();
  }

  void Write(std::string_view bytes) {
    asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()));
  }

  /// Sends the head of a request and a part of its body.
  /// @param deadline remaining time of the caller, in milliseconds
  void Begin(const std::string& path,
             const std::string& id,
             const std::string& deadline) {
    Write("POST " + path +
          " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key\r\n"
          "X-Request-Id: " +
          id + "\r\nX-Deadline-Ms: " + deadline +
          "\r\nContent-Length: 8\r\n\r\nque");
  }
  void Finish() { Write("stion"); }

  const std::string& Received() const { return m_received; }
  bool Contains(std::string_view text) const {
    return m_received.find(text) != std::string::npos;
  }
  bool IsClosed() const { return m_closed; }

 private:
  void Read() {
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [this](const asio::error_code& error, std::size_t length) {
          m_received.append(m_buffer.data(), length);
          m_closed = error != asio::error_code();
          if (!m_closed) {
            Read();
          }
        });
  }

  asio::ip::tcp::socket m_socket;
  std::array<char, 4096> m_buffer{};
  std::string m_received;
  bool m_closed = false;
};

/// The behaviour of upstreams that never respond.
UpstreamResponse Hang(const net::HttpRequest& /*request*/) {
  UpstreamResponse response;
  response.kind = UpstreamResponse::Kind::kHang;
  return response;
}

/// @return whether the daemon accepts a connection
bool Accepts(asio::io_context& loop, const std::string& address) {
  const auto ip_port = net::ParseIpPort(address);
  asio::ip::tcp::socket socket(loop);
  asio::error_code error;
  socket.connect({asio::ip::make_address(ip_port->ip), ip_port->port}, error);
  return !error;
}

}  // namespace

TEST_GROUP_BASE(ForwarderStop, jasminehatch::testing::LeakDetectorOff){};

// Guards against a planned stop that aborts a request in progress.
TEST(ForwarderStop, FinishesRequestsInProgress) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour(&Hang);
  const auto running = fixture.Start("/once/x", "key", "1500");
  CHECK(fixture.RunUntil([&] { return fixture.RunCount() == 1; }));
  bool stopped = false;
  fixture.Daemon().Stop([&] { stopped = true; });
  CHECK_FALSE(fixture.Daemon().IsReady());
  CHECK(fixture.RunUntil([&] { return stopped; }));
  CHECK(running->ended);
  LONGS_EQUAL(504, running->head.status);
}

// Guards against a request whose body arrives late in the grace period: it was
// passed on and cut without a response when the process ended.
TEST(ForwarderStop, LateRequestsAreRefusedBeforeTheyArePassedOn) {
  ForwarderFixture fixture;
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour(&Hang);
  // Keeps the daemon from ending early; its own upstream never responds.
  const auto running = fixture.Start("/once/x", "key", "60000");
  CHECK(fixture.RunUntil([&] { return fixture.RunCount() == 1; }));
  std::vector<std::unique_ptr<PiecewiseCaller>> callers;
  for (const char* path : {"/once/x", "/again/x", "/stream/x"}) {
    callers.push_back(
        std::make_unique<PiecewiseCaller>(fixture.Loop(), fixture.Address()));
    callers.back()->Begin(path, path, "60000");
  }
  bool stopped = false;
  fixture.Daemon().Stop([&] { stopped = true; });
  CHECK(fixture.RunUntil(
      [&] { return !Accepts(fixture.Loop(), fixture.Address()); }));
  for (const auto& caller : callers) {
    caller->Finish();
  }
  CHECK(fixture.RunUntil([&] { return stopped; }));
  CHECK(running->ended);
  for (const auto& caller : callers) {
    CHECK(caller->IsClosed());
    STRCMP_CONTAINS("HTTP/1.1 503", caller->Received().c_str());
    STRCMP_CONTAINS("\"shutting_down\"", caller->Received().c_str());
    STRCMP_CONTAINS("\"not_run\"", caller->Received().c_str());
    STRCMP_CONTAINS("Retry-After:", caller->Received().c_str());
  }
  UNSIGNED_LONGS_EQUAL(1, fixture.RunCount());
}

// Guards against a connection that closes without a response because the
// upstream hangs until the process ends (soak seeds 222 and 228).
TEST(ForwarderStop, RequestsThatHangGetAResponseBeforeTheEnd) {
  // Shorter than the time limit of the route.
  ForwarderFixture fixture(std::chrono::milliseconds(2500));
  CHECK(fixture.WaitUntilReady());
  fixture.SetBehaviour(&Hang);
  bool stopped = false;
  fixture.Daemon().Stop([&] { stopped = true; });
  const auto late = fixture.Start("/once/x", "key", "60000");
  CHECK(fixture.RunUntil([&] { return fixture.RunCount() == 1; }));
  CHECK(fixture.RunUntil([&] { return stopped; }));
  CHECK(late->ended);
  LONGS_EQUAL(504, late->head.status);
  CHECK(late->body.find("\"may_have_run\"") != std::string::npos);
}
