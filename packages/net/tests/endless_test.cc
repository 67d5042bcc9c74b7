// Bytes that are no message and come without end, until the receiver closes the
// connection: each read has a bound on its size and its time.

#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jasminehatch/detail/testing/run_until.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::net;
using namespace std::chrono_literals;
using asio::ip::tcp;
using jasminehatch::testing::RunUntil;

namespace {

/// Memory that a call may use beyond the largest accepted message, in bytes.
constexpr std::size_t kAllowedMemory = 24UL << 20U;

std::size_t ResidentMemory() {
  std::size_t total = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Sends endless requests to a server and checks that it closes the connection.
void CheckEndlessRequests(asio::io_context& loop, std::uint16_t port) {
  for (const emulator::EndlessBytes& bytes : emulator::EndlessRequests()) {
    const std::size_t memory = ResidentMemory();
    const auto socket = std::make_shared<tcp::socket>(loop);
    socket->connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
    const auto writer =
        std::make_shared<emulator::EndlessWriter>(socket, bytes, bytes.start);
    writer->Start();
    CHECK_TRUE_TEXT(RunUntil(loop, [&] { return writer->IsClosed(); }),
                    bytes.name);
    CHECK_TRUE_TEXT(ResidentMemory() < memory + kAllowedMemory, bytes.name);
  }
}

}  // namespace

TEST_GROUP_BASE(Endless, jasminehatch::testing::LeakDetectorOff){};

// Guards against an attempt at an upstream that never ends, or that uses more
// and more memory.
TEST(Endless, ResponsesToStreamClientEnd) {
  for (const emulator::EndlessBytes& bytes : emulator::EndlessResponses()) {
    asio::io_context loop;
    emulator::EndlessServer server(loop, bytes);
    StreamClient client(loop, {});
    StreamCall call;
    call.address = server.Address();
    call.method = "GET";
    call.target = "/";
    call.total_timeout = 400ms;
    std::optional<StreamEnd::Kind> ended;
    StreamClient::Callbacks callbacks;
    callbacks.on_end = [&](const StreamEnd& end) { ended = end.kind; };
    const std::size_t memory = ResidentMemory();
    client.Start(std::move(call), std::move(callbacks));
    CHECK_TRUE_TEXT(RunUntil(loop, [&] { return ended.has_value(); }),
                    bytes.name);
    CHECK_TRUE_TEXT(*ended != StreamEnd::Kind::kComplete &&
                        *ended != StreamEnd::Kind::kNotSent,
                    bytes.name);
    CHECK_TRUE_TEXT(RunUntil(loop, [&] { return server.AllClosed(); }),
                    bytes.name);
    CHECK_TRUE_TEXT(ResidentMemory() < memory + kAllowedMemory, bytes.name);
  }
}

// Guards against a head or a series of informational responses that ends only
// with the time limit of the call.
TEST(Endless, HeadsToStreamClientEndBySize) {
  for (const emulator::EndlessBytes& bytes : emulator::EndlessResponses()) {
    const std::string_view name = bytes.name;
    if (name.starts_with("single bytes") || name == "body" ||
        name == "chunks") {
      continue;
    }
    asio::io_context loop;
    emulator::EndlessServer server(loop, bytes);
    StreamClient client(loop, {});
    StreamCall call;
    call.address = server.Address();
    call.method = "GET";
    call.target = "/";
    std::optional<StreamEnd::Kind> ended;
    StreamClient::Callbacks callbacks;
    callbacks.on_end = [&](const StreamEnd& end) { ended = end.kind; };
    client.Start(std::move(call), std::move(callbacks));
    CHECK_TRUE_TEXT(RunUntil(loop, [&] { return ended.has_value(); }),
                    bytes.name);
    CHECK_TRUE_TEXT(*ended == StreamEnd::Kind::kMalformed, bytes.name);
  }
}

// Guards against a call to the store, an engine, the log or a peer that uses
// memory without bound.
TEST(Endless, ResponsesToHttpClientEnd) {
  for (const emulator::EndlessBytes& bytes : emulator::EndlessResponses()) {
    asio::io_context loop;
    emulator::EndlessServer server(loop, bytes);
    HttpClient client(loop);
    HttpCall call;
    call.url = "http://" + server.Address() + "/";
    call.total_timeout = 2s;
    call.max_body_bytes = 1UL << 20U;
    std::optional<HttpResult> result;
    const std::size_t memory = ResidentMemory();
    client.Start(std::move(call),
                 [&](HttpResult done) { result = std::move(done); });
    CHECK_TRUE_TEXT(RunUntil(loop, [&] { return result.has_value(); }),
                    bytes.name);
    CHECK_TRUE_TEXT(result->kind == HttpResult::Kind::kBroken ||
                        result->kind == HttpResult::Kind::kTimedOut,
                    bytes.name);
    CHECK_TRUE_TEXT(result->body.size() <= (1UL << 20U), bytes.name);
    CHECK_TRUE_TEXT(RunUntil(loop, [&] { return server.AllClosed(); }),
                    bytes.name);
    CHECK_TRUE_TEXT(ResidentMemory() < memory + kAllowedMemory, bytes.name);
  }
}

// Guards against a caller of the forwarding daemon that holds a connection and
// memory without end.
TEST(Endless, RequestsToStreamServerEnd) {
  asio::io_context loop;
  StreamServer server(loop, "127.0.0.1", 0,
                      [](const std::shared_ptr<ServerExchange>& exchange) {
                        exchange->Send(200, {}, "");
                      });
  CallerLimits limits;
  limits.header_timeout = 300ms;
  limits.idle_timeout = 600ms;
  server.SetLimits(limits);
  CheckEndlessRequests(loop, server.Port());
}

// Guards against a caller of the product's own interface, or a peer, that does
// so.
TEST(Endless, RequestsToHttpServerEnd) {
  asio::io_context loop;
  HttpServer::Options options;
  options.read_timeout = 600ms;
  options.body_limit = 1UL << 20U;
  HttpServer server(
      loop, options,
      [](const HttpRequest&, const std::shared_ptr<ResponseWriter>& writer) {
        writer->Send(200, {}, "");
      });
  CheckEndlessRequests(loop, server.Port());
}
