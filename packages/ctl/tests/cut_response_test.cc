// Commands whose daemon does not complete its response.

#include <jasminehatch/ctl.h>
#include <jasminehatch/emulator.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <string>
#include <thread>

#include "captured_command.h"
#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

DECLARE_string(key);

using namespace jasminehatch;
using namespace jasminehatch::ctl;
using emulator::ScriptedServer;

namespace {

/// A daemon that resets each connection after a response without a length. It
/// runs in a thread of its own, since the commands block.
class ResettingDaemon {
 public:
  explicit ResettingDaemon(const std::string& body)
      : m_server(m_loop,
                 [body](const ScriptedServer::Request&) {
                   return ScriptedServer::Reply{
                       "HTTP/1.1 200 OK\r\n\r\n" + body,
                       ScriptedServer::After::kReset};
                 }),
        m_work(m_loop.get_executor()) {
    FLAGS_daemons = "http://" + m_server.Address();
    FLAGS_key = "key";
    m_thread = std::thread([this] { m_loop.run(); });
  }
  ~ResettingDaemon() {
    m_loop.stop();
    m_thread.join();
    FLAGS_daemons.clear();
    FLAGS_key.clear();
  }
  ResettingDaemon(const ResettingDaemon&) = delete;
  ResettingDaemon& operator=(const ResettingDaemon&) = delete;

 private:
  asio::io_context m_loop{1};
  ScriptedServer m_server;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

}  // namespace

TEST_GROUP_BASE(CutResponse, jasminehatch::testing::LeakDetectorOff){};

// Guards against a status that is taken for the whole one although its
// connection was reset.
TEST(CutResponse, AResetStatusIsNoStatus) {
  const ResettingDaemon daemon(R"({"name":"entry-1","ready":true})");
  SyncClient client;
  std::string error;
  CHECK_FALSE(FetchStatus(client, FLAGS_daemons, error).has_value());
  CHECK_FALSE(error.empty());
}

// Guards against the stage of a booking, or a refusal, that is taken for the
// whole response although its connection was reset.
TEST(CutResponse, AResetBookingIsUnknown) {
  for (const std::string body :
       {R"({"stage":"responded"})", R"({"error":{"message":"refused"}})"}) {
    const ResettingDaemon daemon(body);
    const auto result = test::Run({"booking", "desk/key"});
    LONGS_EQUAL(kExitUnknown, result.exit);
    CHECK_EQUAL(std::string::npos, result.output.find("responded"));
  }
}
