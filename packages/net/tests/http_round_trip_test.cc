#include <jasminehatch/core.h>
#include <jasminehatch/net.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/testing/leak_detector_off.h"
#include "jasminehatch/detail/testing/run_until.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch::net;
using jasminehatch::shedding::CallerRefusal;
using jasminehatch::testing::RunUntil;

TEST_GROUP_BASE(HttpRoundTrip, jasminehatch::testing::LeakDetectorOff){};

// Guards against a client that treats a truncated stream as complete.
TEST(HttpRoundTrip, TruncatedStreamIsReportedAsBroken) {
  asio::io_context loop;
  HttpServer server(
      loop, {},
      [](const HttpRequest&, const std::shared_ptr<ResponseWriter>& writer) {
        writer->BeginTruncatedStream(200,
                                     {{"Content-Type", "text/event-stream"}});
        writer->Write("data: 1\n\n");
        writer->End();
      });
  HttpClient client(loop);
  std::string received;
  HttpResult result;
  client.Start(
      {.url = "http://127.0.0.1:" + std::to_string(server.Port()) + "/"},
      [&](HttpResult done) {
        result = std::move(done);
        server.Close();
        loop.stop();
      },
      [&](std::string_view data) { received += data; });
  loop.run();
  CHECK(result.kind == HttpResult::Kind::kBroken);
  STRCMP_EQUAL("data: 1\n\n", received.c_str());
}

// Guards against a refused connection that is reported as possibly run.
TEST(HttpRoundTrip, RefusedConnectionIsReportedAsNotSent) {
  asio::io_context loop;
  std::uint16_t port = 0;
  {
    HttpServer server(
        loop, {},
        [](const HttpRequest&, const std::shared_ptr<ResponseWriter>&) {});
    port = server.Port();
    server.Close();
  }
  HttpClient client(loop);
  HttpResult result;
  client.Start({.method = "POST",
                .url = "http://127.0.0.1:" + std::to_string(port) + "/",
                .body = "x"},
               [&](HttpResult done) {
                 result = std::move(done);
                 loop.stop();
               });
  loop.run();
  CHECK(result.kind == HttpResult::Kind::kNotSent);
}

// Guards against upstream runs that continue after their caller has
// disconnected.
TEST(HttpRoundTrip, ClosedConnectionIsNoticedWhileTheResponseIsPending) {
  asio::io_context loop;
  bool closed = false;
  std::shared_ptr<ResponseWriter> held;
  HttpClient client(loop);
  HttpClient::CallId call = 0;
  HttpServer server(
      loop, {},
      [&](const HttpRequest&, const std::shared_ptr<ResponseWriter>& writer) {
        held = writer;
        writer->SetClosedCallback([&] {
          closed = true;
          loop.stop();
        });
        client.Cancel(call);
      });
  call = client.Start(
      {.url = "http://127.0.0.1:" + std::to_string(server.Port()) + "/"},
      [](const HttpResult&) {});
  loop.run();
  CHECK(closed);
}

// Guards against header injection through line ends in header values.
TEST(HttpRoundTrip, LineEndsInHeaderValuesDoNotPass) {
  asio::io_context loop;
  std::size_t received = 0;
  HttpServer server(loop, {},
                    [&](const HttpRequest& request,
                        const std::shared_ptr<ResponseWriter>& writer) {
                      received = CountHeader(request.headers, "X-Added");
                      writer->Send(200, {{"X-Text", "a\r\nX-Added: 1"}}, "");
                    });
  HttpClient client(loop);
  HttpResult result;
  client.Start({.url = "http://127.0.0.1:" + std::to_string(server.Port()),
                .headers = {{"X-Text", "a\r\nX-Added: 1"}}},
               [&](HttpResult done) {
                 result = std::move(done);
                 loop.stop();
               });
  loop.run();
  LONGS_EQUAL(200, result.status);
  LONGS_EQUAL(0, received);
  LONGS_EQUAL(0, CountHeader(result.headers, "X-Added"));
}

// Guards against calls that are lost when a callback starts them, and against
// callbacks of calls that a callback has cancelled.
TEST(HttpRoundTrip, CallbacksMayStartAndCancelCalls) {
  asio::io_context loop;
  HttpServer server(
      loop, {},
      [](const HttpRequest&, const std::shared_ptr<ResponseWriter>& writer) {
        writer->BeginStream(200, {});
        writer->Write("data");
        writer->End();
      });
  HttpClient client(loop);
  const HttpCall call{.url =
                          "http://127.0.0.1:" + std::to_string(server.Port())};
  HttpClient::CallId first = 0;
  bool first_ended = false;
  bool second_ended = false;
  first = client.Start(
      call, [&](const HttpResult&) { first_ended = true; },
      [&](std::string_view) {
        client.Cancel(first);
        client.Start(call, [&](const HttpResult& result) {
          second_ended = result.status == 200 && result.body == "data";
          loop.stop();
        });
      });
  loop.run_for(std::chrono::seconds(60));
  CHECK_FALSE(first_ended);
  CHECK(second_ended);
}

// Guards against a connection that counts as idle, and is dropped for a new
// one, while the second of its pipelined requests is in progress.
TEST(HttpRoundTrip, AConnectionWithAPipelinedRequestIsNotDropped) {
  asio::io_context loop;
  std::vector<std::shared_ptr<ResponseWriter>> held;
  std::vector<CallerRefusal> refused;
  HttpServer::Options options;
  options.memory.connection_limit = 1;
  options.on_refusal = [&](CallerRefusal reason) { refused.push_back(reason); };
  HttpServer server(
      loop, options,
      [&](const HttpRequest&, const std::shared_ptr<ResponseWriter>& writer) {
        held.push_back(writer);
      });
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                         server.Port());
  asio::ip::tcp::socket caller(loop);
  caller.connect(endpoint);
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::write(caller, asio::buffer(request + request));
  CHECK(RunUntil(loop, [&] { return held.size() == 2; }));
  held[0]->Send(200, {}, "first");
  std::string received;
  const auto receive = [&](const std::string& end) {
    return RunUntil(loop, [&] {
      std::array<char, 1024> buffer{};
      asio::error_code error;
      caller.non_blocking(true);
      received.append(buffer.data(),
                      caller.read_some(asio::buffer(buffer), error));
      return received.ends_with(end) || error == asio::error::eof;
    });
  };
  CHECK(receive("first"));
  asio::ip::tcp::socket other(loop);
  other.connect(endpoint);
  CHECK(RunUntil(loop, [&] { return !refused.empty(); }));
  CHECK(refused == std::vector<CallerRefusal>{CallerRefusal::kConnectionLimit});
  held[1]->Send(200, {}, "second");
  CHECK(receive("second"));
  CHECK(received.ends_with("second"));
  held.clear();
  server.Close();
}
