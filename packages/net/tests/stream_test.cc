#include <jasminehatch/net.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/testing/run_until.h"

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch::net;
using asio::ip::tcp;
using jasminehatch::testing::RunUntil;

namespace {

/// @brief An upstream that sends given bytes on a connection once it has
/// received a request or a given number of bytes.
class RawUpstream {
 public:
  /// @brief What happens to a connection after the response.
  enum class AfterResponse { kKeep, kClose, kReset };

  RawUpstream(asio::io_context& loop, std::string response, AfterResponse after)
      : m_acceptor(loop, tcp::endpoint(tcp::v4(), 0)),
        m_response(std::move(response)),
        m_after(after) {
    Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  /// Sets the number of received bytes after which it responds; 0 for the end
  /// of the head.
  void RespondAfter(std::size_t bytes) { m_respond_after = bytes; }

  /// Resets each connection at its second request, as an upstream does that has
  /// dropped the idle connection.
  void DropIdleConnections() { m_drops_idle = true; }

  std::size_t Connections() const { return m_sockets.size(); }
  std::size_t Requests() const { return m_requests; }

 private:
  void Accept() {
    m_acceptor.async_accept(
        [this](const asio::error_code& error, tcp::socket socket) {
          if (error) {
            return;
          }
          m_sockets.push_back(std::make_shared<tcp::socket>(std::move(socket)));
          Read(m_sockets.back(), std::make_shared<std::string>());
          Accept();
        });
  }

  void Read(const std::shared_ptr<tcp::socket>& socket,
            const std::shared_ptr<std::string>& received) {
    auto buffer = std::make_shared<std::vector<char>>(65536);
    socket->async_read_some(
        asio::buffer(*buffer),
        [this, socket, received, buffer](const asio::error_code& error,
                                         std::size_t length) {
          if (error) {
            return;
          }
          received->append(buffer->data(), length);
          const bool complete =
              m_respond_after > 0
                  ? received->size() >= m_respond_after
                  : received->find("\r\n\r\n") != std::string::npos;
          if (complete && m_drops_idle && m_responded.contains(socket.get())) {
            asio::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
          } else if (complete) {
            received->clear();
            m_responded.insert(socket.get());
            Respond(*socket);
          }
          if (socket->is_open()) {
            Read(socket, received);
          }
        });
  }

  void Respond(tcp::socket& socket) {
    ++m_requests;
    asio::error_code ignored;
    asio::write(socket, asio::buffer(m_response), ignored);
    if (m_after == AfterResponse::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (m_after != AfterResponse::kKeep) {
      socket.close(ignored);
    }
  }

  tcp::acceptor m_acceptor;
  std::string m_response;
  AfterResponse m_after;
  std::size_t m_respond_after = 0;
  std::size_t m_requests = 0;
  std::vector<std::shared_ptr<tcp::socket>> m_sockets;
  bool m_drops_idle = false;
  std::set<const tcp::socket*> m_responded;
};

/// @brief Result of a call of StreamClient.
struct Outcome {
  bool ended = false;
  StreamHead head;
  std::string body;
  StreamEnd end;
};

std::shared_ptr<Outcome> Call(StreamClient& client,
                              const std::string& address,
                              const std::string& body = "") {
  auto outcome = std::make_shared<Outcome>();
  StreamCall call;
  call.address = address;
  call.method = body.empty() ? "GET" : "POST";
  call.target = "/x";
  call.headers = {{"Host", "h"}};
  call.body = body;
  StreamClient::Callbacks callbacks;
  callbacks.on_head = [outcome](StreamHead head) {
    outcome->head = std::move(head);
  };
  callbacks.on_data = [outcome](std::string_view data) {
    outcome->body += data;
  };
  callbacks.on_end = [outcome](const StreamEnd& end) {
    outcome->end = end;
    outcome->ended = true;
  };
  client.Start(std::move(call), std::move(callbacks));
  return outcome;
}

Outcome CallOnce(const std::string& response,
                 RawUpstream::AfterResponse after) {
  asio::io_context loop;
  RawUpstream upstream(loop, response, after);
  StreamClient client(loop, {});
  const auto outcome = Call(client, upstream.Address());
  CHECK(RunUntil(loop, [&] { return outcome->ended; }));
  return *outcome;
}

/// Sends bytes to a server and returns the bytes that it sent until it closed
/// the connection, or until they contain `until`.
std::string Exchange(const std::string& request,
                     const StreamServer::Handler& handler,
                     const std::string& until = "") {
  asio::io_context loop;
  StreamServer server(loop, "127.0.0.1", 0, handler);
  tcp::socket socket(loop);
  socket.connect(
      tcp::endpoint(asio::ip::address_v4::loopback(), server.Port()));
  asio::async_write(socket, asio::buffer(request),
                    [](const asio::error_code&, std::size_t) {});
  std::string response;
  bool closed = false;
  std::vector<char> buffer(4096);
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer),
                           [&](const asio::error_code& error, std::size_t n) {
                             if (error) {
                               closed = true;
                               return;
                             }
                             response.append(buffer.data(), n);
                             read();
                           });
  };
  read();
  CHECK(RunUntil(loop, [&] {
    return closed || (!until.empty() && response.find(until) != response.npos);
  }));
  return response;
}

const StreamServer::Handler kEcho =
    [](const std::shared_ptr<ServerExchange>& exchange) {
      const HttpRequest& request = exchange->Request();
      exchange->Send(200, {{"Connection-Test", "1"}},
                     request.method + " " + request.path + " " + request.body);
    };

}  // namespace

TEST_GROUP_BASE(Stream, jasminehatch::testing::LeakDetectorOff){};

// Guards against a truncated response that is treated as complete.
TEST(Stream, ATruncatedResponseIsBroken) {
  using AfterResponse = RawUpstream::AfterResponse;
  const auto with_length =
      CallOnce("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
               AfterResponse::kClose);
  CHECK(with_length.end.kind == StreamEnd::Kind::kBroken);
  const auto chunked = CallOnce(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      AfterResponse::kClose);
  CHECK(chunked.end.kind == StreamEnd::Kind::kBroken);
  const auto head =
      CallOnce("HTTP/1.1 200 OK\r\nContent-", AfterResponse::kClose);
  CHECK(head.end.kind == StreamEnd::Kind::kBroken);
  CHECK_FALSE(head.end.head_received);
  CHECK(head.end.closed_by_peer);
}

// Guards against a response without a length that is treated as complete after
// a reset of the connection, and against the rejection of one that ended with
// an orderly close.
TEST(Stream, OnlyAnOrderlyCloseCompletesAnUnframedResponse) {
  const std::string response = "HTTP/1.1 200 OK\r\n\r\nabc";
  const auto closed = CallOnce(response, RawUpstream::AfterResponse::kClose);
  CHECK(closed.end.kind == StreamEnd::Kind::kComplete);
  STRCMP_EQUAL("abc", closed.body.c_str());
  const auto reset = CallOnce(response, RawUpstream::AfterResponse::kReset);
  CHECK(reset.end.kind == StreamEnd::Kind::kBroken);
  CHECK(reset.end.closed_by_peer);
}

// Guards against bytes that are not HTTP and are taken for a response.
TEST(Stream, NonHttpBytesAreMalformed) {
  const auto outcome =
      CallOnce("no protocol at all\r\n\r\n", RawUpstream::AfterResponse::kKeep);
  CHECK(outcome.end.kind == StreamEnd::Kind::kMalformed);
}

// Guards against an unsolicited second response that is taken for the response
// to the next request.
TEST(Stream, ExtraBytesEndTheConnection) {
  asio::io_context loop;
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
  RawUpstream upstream(loop, response + response,
                       RawUpstream::AfterResponse::kKeep);
  StreamClient client(loop, {});
  for (int i = 0; i < 3; ++i) {
    const auto outcome = Call(client, upstream.Address());
    CHECK(RunUntil(loop, [&] { return outcome->ended; }));
    CHECK(outcome->end.kind == StreamEnd::Kind::kComplete);
    STRCMP_EQUAL("a", outcome->body.c_str());
  }
  UNSIGNED_LONGS_EQUAL(3, upstream.Connections());
}

// Guards against a new connection for each request.
TEST(Stream, ReusesAConnectionWithoutExtraBytes) {
  asio::io_context loop;
  RawUpstream upstream(loop, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
                       RawUpstream::AfterResponse::kKeep);
  StreamClient client(loop, {});
  for (int i = 0; i < 3; ++i) {
    const auto outcome = Call(client, upstream.Address());
    CHECK(RunUntil(loop, [&] { return outcome->ended; }));
  }
  UNSIGNED_LONGS_EQUAL(1, upstream.Connections());
}

// Guards against a request that is resent when its connection breaks: it may
// have run.
TEST(Stream, NeverSendsARequestTwice) {
  asio::io_context loop;
  RawUpstream upstream(loop, "", RawUpstream::AfterResponse::kReset);
  StreamClient client(loop, {});
  const auto outcome = Call(client, upstream.Address(), "booking");
  CHECK(RunUntil(loop, [&] { return outcome->ended; }));
  CHECK(outcome->end.kind == StreamEnd::Kind::kBroken);
  loop.restart();
  loop.run_for(std::chrono::milliseconds(100));
  UNSIGNED_LONGS_EQUAL(1, upstream.Requests());
}

// Guards against requests that fail, one after another, on connections which an
// upstream drops without notice while they are idle.
TEST(Stream, DetectsThatIdleConnectionsAreDropped) {
  asio::io_context loop;
  RawUpstream upstream(loop, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
                       RawUpstream::AfterResponse::kKeep);
  upstream.DropIdleConnections();
  StreamClient client(loop, {});
  const auto call = [&] {
    const auto outcome = Call(client, upstream.Address(), "booking");
    CHECK(RunUntil(loop, [&] { return outcome->ended; }));
    loop.restart();
    loop.run_for(std::chrono::milliseconds(200));
    return outcome->end.kind;
  };
  CHECK(call() == StreamEnd::Kind::kComplete);
  CHECK(call() == StreamEnd::Kind::kBroken);
  for (int i = 0; i < 3; ++i) {
    CHECK(call() == StreamEnd::Kind::kComplete);
  }
}

// Guards against a further request on a connection on which the upstream still
// expects the rest of a long body.
TEST(Stream, AnEarlyResponseEndsTheConnection) {
  asio::io_context loop;
  RawUpstream upstream(loop,
                       "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n",
                       RawUpstream::AfterResponse::kKeep);
  upstream.RespondAfter(1);
  StreamClient client(loop, {});
  const std::string body(32UL << 20U, 'b');
  const auto first = Call(client, upstream.Address(), body);
  CHECK(RunUntil(loop, [&] { return first->ended; }));
  LONGS_EQUAL(413, first->head.status);
  const auto second = Call(client, upstream.Address());
  CHECK(RunUntil(loop, [&] { return second->ended; }));
  UNSIGNED_LONGS_EQUAL(2, upstream.Connections());
}

// Guards against a request whose connection could not be opened and that counts
// as possibly run.
TEST(Stream, ARefusedConnectionIsNotSent) {
  asio::io_context loop;
  std::string address;
  {
    RawUpstream gone(loop, "", RawUpstream::AfterResponse::kClose);
    address = gone.Address();
  }
  StreamClient client(loop, {});
  const auto outcome = Call(client, address);
  const auto invalid = Call(client, "nowhere");
  CHECK(RunUntil(loop, [&] { return outcome->ended && invalid->ended; }));
  CHECK(outcome->end.kind == StreamEnd::Kind::kNotSent);
  CHECK(outcome->end.connect_error == StreamEnd::ConnectError::kRefused);
  CHECK(invalid->end.kind == StreamEnd::Kind::kNotSent);
  CHECK(invalid->end.connect_error == StreamEnd::ConnectError::kNone);
}

// Guards against a host that does not answer and is taken for one that refuses
// connections.
TEST(Stream, AConnectThatIsNotAnsweredTimesOut) {
  asio::io_context loop;
  tcp::acceptor full(loop);
  const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
  full.open(any.protocol());
  full.bind(any);
  full.listen(0);
  // Further connects to a full queue get no answer.
  std::deque<tcp::socket> waiting;
  for (int i = 0; i < 4; ++i) {
    waiting.emplace_back(loop).async_connect(full.local_endpoint(),
                                             [](const asio::error_code&) {});
  }
  StreamClient client(loop, {});
  const auto outcome =
      Call(client, "127.0.0.1:" + std::to_string(full.local_endpoint().port()));
  CHECK(RunUntil(loop, [&] { return outcome->ended; }));
  CHECK(outcome->end.kind == StreamEnd::Kind::kNotSent);
  CHECK(outcome->end.connect_error == StreamEnd::ConnectError::kTimedOut);
}

// Guards against request smuggling by ambiguous framing.
TEST(Stream, RejectsAmbiguousFraming) {
  const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
  std::size_t handled = 0;
  const StreamServer::Handler count =
      [&](const std::shared_ptr<ServerExchange>& exchange) {
        ++handled;
        exchange->Send(200, {}, "");
      };
  for (const std::string& framing : {
           std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
           std::string("Content-Length: 5\r\nContent-Length: 6\r\n"),
           std::string("Transfer-Encoding: xchunked\r\n"),
           std::string("Content-Length : 5\r\n"),
           std::string("Content-Length: +5\r\n"),
           std::string("Host: other\r\n"),
           std::string("X-A: b\x01\r\n"),
       }) {
    const std::string response =
        Exchange(start + framing + "\r\n0\r\n\r\n" + hidden, count);
    CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 400"), framing.c_str());
    CHECK_TRUE_TEXT(response.find("Connection: close") != response.npos,
                    framing.c_str());
  }
  UNSIGNED_LONGS_EQUAL(0, handled);
}

// Guards against limits that are not enforced, and a wrong status for them.
TEST(Stream, EnforcesTheLimitsOfHeadAndBody) {
  const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string long_head = Exchange(
      start + "X-Long: " + std::string(40'000, 'a') + "\r\n\r\n", kEcho);
  CHECK(long_head.starts_with("HTTP/1.1 431"));
  const std::size_t size = (4UL << 20U) + 1;
  const std::string long_body =
      Exchange(start + "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
                   std::string(size, 'b'),
               kEcho);
  CHECK(long_body.starts_with("HTTP/1.1 413"));
}

// Guards against a chunked body or a pipelined request that is not read.
TEST(Stream, TakesChunkedBodiesAndPipelinedRequests) {
  const std::string response = Exchange(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
      "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      kEcho);
  CHECK(response.find("POST /a abc") != response.npos);
  CHECK(response.find("GET /b ") != response.npos);
}

// Guards against an aborted stream that looks complete.
TEST(Stream, AnAbortedStreamHasNoEnd) {
  const std::string response =
      Exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
               [](const std::shared_ptr<ServerExchange>& exchange) {
                 exchange->BeginStream(200, {});
                 exchange->Write("data: 1\n\n");
                 exchange->Abort();
               });
  CHECK(response.find("0\r\n\r\n") == response.npos);
}

// Guards against a caller's close that is noticed only when the response is
// written.
TEST(Stream, DetectsThatTheCallerDisconnected) {
  asio::io_context loop;
  std::shared_ptr<ServerExchange> held;
  bool left = false;
  StreamServer server(loop, "127.0.0.1", 0,
                      [&](std::shared_ptr<ServerExchange> exchange) {
                        held = std::move(exchange);
                        held->SetClosedCallback([&] { left = true; });
                      });
  tcp::socket socket(loop);
  socket.connect(
      tcp::endpoint(asio::ip::address_v4::loopback(), server.Port()));
  asio::write(socket,
              asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  CHECK(RunUntil(loop, [&] { return held != nullptr; }));
  CHECK_FALSE(left);
  socket.close();
  CHECK(RunUntil(loop, [&] { return left; }));
  held->Send(200, {}, "late");
}
