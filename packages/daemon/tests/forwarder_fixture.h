#ifndef JASMINEHATCH_DAEMON_TESTS_FORWARDER_FIXTURE_H_
#define JASMINEHATCH_DAEMON_TESTS_FORWARDER_FIXTURE_H_

#include <jasminehatch/codec.h>
#include <jasminehatch/daemon.h>
#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "caller_response.h"
#include "jasminehatch/detail/testing/run_until.h"

namespace jasminehatch::daemon::test {

/// @return a configuration with routes of each kind to the service `desk`, on
/// host `h.example`: `/once/`, `/again/` (idempotent) and `/stream/`
/// (resumable); the last two allow two attempts
std::string ForwarderConfiguration(int version, const std::string& key);

/// @brief A forwarding daemon, the platform's store and two upstreams on one
/// loop.
class ForwarderFixture {
 public:
  /// @param stop_grace time that a stopping daemon has
  explicit ForwarderFixture(
      std::chrono::milliseconds stop_grace = std::chrono::seconds(4));
  ~ForwarderFixture();
  ForwarderFixture(const ForwarderFixture&) = delete;
  ForwarderFixture& operator=(const ForwarderFixture&) = delete;

  void Register(const emulator::UpstreamEmulator& upstream, bool draining);

  /// Runs the loop until the condition holds.
  /// @return whether it held within the time limit
  template <typename Condition>
  bool RunUntil(Condition condition) {
    return jasminehatch::testing::RunUntil(m_loop, condition);
  }

  bool WaitUntilReady() {
    return RunUntil([this] { return m_daemon->IsReady(); });
  }

  /// @param deadline remaining time of the caller, in milliseconds
  std::shared_ptr<CallerResponse> Start(const std::string& path,
                                        const std::string& key = "key",
                                        const std::string& deadline = "2000");

  /// Sets headers that callers send in addition.
  void SetCallerHeaders(net::HttpHeaders headers) {
    m_caller_headers = std::move(headers);
  }

  /// Starts a request and waits until it ends.
  CallerResponse Send(const std::string& path,
                      const std::string& key = "key",
                      const std::string& deadline = "2000");

  void SetBehaviour(const emulator::UpstreamEmulator::Behaviour& behaviour);

  /// Ends the daemon without a stop and starts another one.
  void ReplaceDaemon(const std::string& name);

  /// As `ReplaceDaemon`, with a daemon that exchanges gossip.
  void ReplaceDaemonByPeer(const std::string& name);

  /// Starts a further daemon that exchanges gossip; it gets all later calls.
  void AddPeer(const std::string& name);

  /// Replaces both upstreams by the one at this address, and waits until the
  /// daemon knows.
  void UseOnly(const std::string& address);

  /// @return how many requests the upstreams began to run
  std::size_t RunCount() const;

  void CancelCall() { m_client.Cancel(m_call); }

  asio::io_context& Loop() { return m_loop; }
  /// @return where callers reach the daemon
  const std::string& Address() const { return m_settings.address; }
  /// @return where operators reach the daemon
  const std::string& MetricsAddress() const {
    return m_settings.metrics_address;
  }
  emulator::PlatformEmulator& Platform() { return m_platform; }
  emulator::UpstreamEmulator& Upstream(std::size_t i) {
    return *m_upstreams.at(i);
  }
  Forwarder& Daemon() { return *m_daemon; }

 private:
  asio::io_context m_loop;
  emulator::LoopbackHost m_host;
  net::BootClock m_clock;
  int m_log_descriptor;
  emulator::PlatformEmulator m_platform;
  std::vector<std::unique_ptr<emulator::UpstreamEmulator>> m_upstreams;
  net::StreamClient m_client;
  codec::ForwarderSettings m_settings;
  std::vector<std::unique_ptr<Forwarder>> m_peers;
  std::unique_ptr<Forwarder> m_daemon;
  net::HttpHeaders m_caller_headers;
  std::uint64_t m_call = 0;
  int m_next_request_id = 1;
};

}  // namespace jasminehatch::daemon::test

#endif  // JASMINEHATCH_DAEMON_TESTS_FORWARDER_FIXTURE_H_
