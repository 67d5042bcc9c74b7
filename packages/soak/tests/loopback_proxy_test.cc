#include "jasminehatch/detail/soak/loopback_proxy.h"

#include <jasminehatch/net.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::soak;
using namespace std::chrono_literals;

namespace {

/// @brief A server behind a proxy, and one client.
class Fixture {
 public:
  Fixture()
      : m_server(m_loop,
                 {},
                 [](const net::HttpRequest&,
                    const std::shared_ptr<net::ResponseWriter>& writer) {
                   writer->Send(200, {}, "ok");
                 }),
        m_client(m_loop, {}),
        proxy(m_loop, "127.0.0.1:" + std::to_string(m_server.Port())) {}

  /// @return how a call ended, or nothing when it has not ended after `wait`
  std::optional<net::StreamEnd::Kind> Call(std::chrono::milliseconds wait) {
    const auto ended = std::make_shared<std::optional<net::StreamEnd::Kind>>();
    net::StreamCall call;
    call.address = proxy.Address();
    call.method = "GET";
    call.target = "/";
    net::StreamClient::Callbacks callbacks;
    callbacks.on_end = [ended](const net::StreamEnd& end) {
      *ended = end.kind;
    };
    m_client.Start(std::move(call), std::move(callbacks));
    Wait(wait, *ended);
    return *ended;
  }

  void Wait(std::chrono::milliseconds time,
            const std::optional<net::StreamEnd::Kind>& until = {}) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (!until && std::chrono::steady_clock::now() < end) {
      m_loop.restart();
      m_loop.run_for(5ms);
    }
  }

 private:
  asio::io_context m_loop;
  net::HttpServer m_server;
  net::StreamClient m_client;

 public:
  LoopbackProxy proxy;
};

}  // namespace

TEST_GROUP_BASE(LoopbackProxy, jasminehatch::testing::LeakDetectorOff){};

// Guards against soak runs whose link faults have no effect.
TEST(LoopbackProxy, FaultsTakeEffect) {
  Fixture fixture;
  CHECK(fixture.Call(10s) == net::StreamEnd::Kind::kComplete);
  fixture.proxy.SetFault(LinkFault::kReset);
  CHECK(fixture.Call(10s) == net::StreamEnd::Kind::kBroken);
  for (const LinkFault fault :
       {LinkFault::kSilent, LinkFault::kCutToServer, LinkFault::kCutToClient}) {
    fixture.proxy.SetFault(fault);
    CHECK_FALSE(fixture.Call(300ms).has_value());
  }
  fixture.proxy.SetFault(LinkFault::kDelay);
  CHECK_FALSE(fixture.Call(100ms).has_value());
  fixture.proxy.SetFault(LinkFault::kNone);
  CHECK(fixture.Call(10s) == net::StreamEnd::Kind::kComplete);
}
