#ifndef JASMINEHATCH_DAEMON_TESTS_FLEET_H_
#define JASMINEHATCH_DAEMON_TESTS_FLEET_H_

#include <jasminehatch/codec.h>
#include <jasminehatch/daemon.h>
#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>
#include <jasminehatch/telemetry.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Must come last because it defines `new` as a macro.
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

namespace jasminehatch::daemon::test {

/// Bearer key of the workspace `fountain`.
inline constexpr std::string_view kKey = "fleet-key";

/// @brief The content of a streamed response.
struct StreamedResponse {
  std::string text;
  std::string error_code;  ///< Code of an error event.
  bool ended = false;      ///< The end mark arrived.
};

/// @return the joined content of a stream's events
StreamedResponse ReadStream(std::string_view body, bool chat);

/// @return the `error` object of a refusal; checks its fields
nlohmann::json ErrorOf(const net::HttpResult& result);

/// @return an idempotency key with the current time
std::string NewKey(std::string_view name);

/// @brief Fixture with two engines, a booking service, the log and daemons on
/// one loop.
class Fleet {
 public:
  /// A call in progress; empty until it ends.
  using Pending = std::shared_ptr<std::optional<net::HttpResult>>;

  /// @param configure changes the settings of the daemons before they start
  explicit Fleet(
      std::size_t daemon_count = 1,
      const std::function<void(codec::DaemonSettings&)>& configure = {},
      std::chrono::microseconds token_interval =
          std::chrono::microseconds(500));

  /// Runs the loop until the condition holds; fails the test after a minute.
  void RunUntil(const std::function<bool()>& condition);

  Pending Start(net::HttpCall call, net::HttpClient::CallId* id = nullptr);
  net::HttpResult Wait(const Pending& pending);
  net::HttpResult Call(net::HttpCall call) { return Wait(Start(call)); }

  /// @return a call to a daemon with the workspace's key
  net::HttpCall Request(std::string method,
                        const std::string& path,
                        std::string body = "",
                        std::size_t daemon = 0) const;
  net::HttpCall Chat(const std::string& text,
                     bool stream,
                     std::uint32_t tokens = 16,
                     std::size_t daemon = 0) const;
  net::HttpCall Booking(const std::string& key, std::size_t daemon = 0) const;

  /// @return the only correct response to `Chat`
  static std::string ExpectedText(const std::string& text,
                                  std::uint32_t tokens = 16);

  /// Publishes the configuration on the log.
  void Publish();
  /// Publishes it with other engines than those of this object.
  void Publish(std::span<const std::string> engine_urls);
  void AwaitReady();

  std::uint64_t StartedRuns() const;
  std::uint64_t CancelledRuns() const;

  asio::io_context loop{1};
  net::SystemClock clock;
  emulator::LogEmulator log;
  std::vector<std::unique_ptr<emulator::EngineEmulator>> engines;
  emulator::ServiceEmulator service;
  std::vector<std::unique_ptr<Daemon>> daemons;
  net::HttpClient client;
};

using FleetTest = jasminehatch::testing::LeakDetectorOff;

}  // namespace jasminehatch::daemon::test

#endif  // JASMINEHATCH_DAEMON_TESTS_FLEET_H_
