// Callers that do not read their responses, seen by the server that forwards
// requests.

#include <jasminehatch/net.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "jasminehatch/detail/testing/heap_bytes.h"
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch::net;
using asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kTimeout{20};

/// Limit that the server documents.
constexpr std::size_t kMaxUnsentBytes = 16UL << 20U;

}  // namespace

TEST_GROUP_BASE(UnsentResponses, jasminehatch::testing::LeakDetectorOff){};

// Guards against callers that exhaust the memory together by not reading their
// responses, and against other callers whose responses are lost for them.
TEST(UnsentResponses, TogetherStayWithinTheLimit) {
  constexpr std::size_t kCallers = 8;
  asio::io_context loop;
  const std::string large(8UL << 20U, 'a');
  StreamServer server(loop, "127.0.0.1", 0,
                      [&](const std::shared_ptr<ServerExchange>& exchange) {
                        exchange->Send(200, {},
                                       exchange->Request().path == "/large"
                                           ? large
                                           : std::string("small"));
                      });
  const auto run_until = [&](auto condition) {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_for(std::chrono::milliseconds(5));
    }
    return condition();
  };
  const auto connect = [&](const std::string& path) {
    auto socket = std::make_unique<tcp::socket>(loop, tcp::v4());
    // The kernel keeps little of what is not read.
    socket->set_option(tcp::socket::receive_buffer_size(4096));
    socket->connect({asio::ip::make_address("127.0.0.1"), server.Port()});
    asio::write(*socket,
                asio::buffer("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"));
    return socket;
  };
  std::vector<std::unique_ptr<tcp::socket>> slow;
  for (std::size_t i = 0; i < kCallers; ++i) {
    slow.push_back(connect("/large"));
  }
  CHECK(run_until([&] { return server.UnsentBytes() > kMaxUnsentBytes; }));
  const auto small = connect("/small");
  CHECK(run_until([&] { return server.UnsentBytes() <= kMaxUnsentBytes; }));
  // As many connections stay open as fit into the limit.
  CHECK(server.OpenConnections() >= 2);
  std::array<char, 1024> buffer{};
  const std::size_t length = small->read_some(asio::buffer(buffer));
  CHECK(std::string(buffer.data(), length).ends_with("small"));
}

// Guards against open connections that keep the memory of responses that their
// callers have read.
TEST(UnsentResponses, ReadOnesTakeNoMemory) {
  constexpr std::size_t kCallers = 8;
  constexpr std::size_t kResponseBytes = 4UL << 20U;
  asio::io_context loop;
  StreamServer server(loop, "127.0.0.1", 0,
                      [&](const std::shared_ptr<ServerExchange>& exchange) {
                        exchange->Send(200, {},
                                       std::string(kResponseBytes, 'a'));
                      });
  const std::size_t heap_before = jasminehatch::testing::HeapBytes();
  std::vector<std::unique_ptr<tcp::socket>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<tcp::socket>(loop, tcp::v4()));
    callers.back()->connect(
        {asio::ip::make_address("127.0.0.1"), server.Port()});
    callers.back()->non_blocking(true);
    asio::write(*callers.back(),
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  std::array<char, 65536> buffer{};
  std::size_t received = 0;
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (received < kCallers * kResponseBytes &&
         std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(1));
    for (const auto& caller : callers) {
      asio::error_code ignored;
      received += caller->read_some(asio::buffer(buffer), ignored);
    }
  }
  loop.restart();
  loop.run_for(std::chrono::milliseconds(5));
  UNSIGNED_LONGS_EQUAL(kCallers, server.OpenConnections());
  CHECK(jasminehatch::testing::HeapBytes() < heap_before + kMaxUnsentBytes);
}
