// Signals that reach the daemon's process while it starts.

#include <jasminehatch/emulator.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "jasminehatch/detail/testing/leak_detector_off.h"
#include "jasminehatch/detail/testing/process.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kTimeout{20};

/// @brief A folder with the settings of a daemon whose store does not answer.
class SettingsFolder {
 public:
  SettingsFolder() {
    if (mkdtemp(m_folder.data()) == nullptr) {
      FAIL("cannot create a folder");
    }
    std::ofstream(File()) << "[forwarder]\nname = e1\nzone = a\naddress = "
                          << m_host.NewTcpAddress(m_loop)
                          << "\nready_address = " << m_ready_address
                          << "\nstore_address = 127.0.0.1:1\n";
  }
  ~SettingsFolder() { std::filesystem::remove_all(m_folder); }
  SettingsFolder(const SettingsFolder&) = delete;
  SettingsFolder& operator=(const SettingsFolder&) = delete;

  std::string File() const { return m_folder + "/daemon.ini"; }
  std::string Log() const { return m_folder + "/daemon.log"; }

  /// @return how often the daemons logged an event
  std::size_t LoggedEvents(const std::string& event) const {
    std::ifstream log(Log());
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);) {
      count += line.find("\"" + event + "\"") != std::string::npos ? 1 : 0;
    }
    return count;
  }

 private:
  asio::io_context m_loop;
  emulator::LoopbackHost m_host;
  std::string m_ready_address = m_host.NewTcpAddress(m_loop);
  std::string m_folder =
      std::filesystem::temp_directory_path() / "early_signals.XXXXXX";
};

template <typename Condition>
bool WaitUntil(Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

}  // namespace

TEST_GROUP_BASE(EarlySignals, jasminehatch::testing::LeakDetectorOff){};

// Guards against a daemon that a change of its settings ends while it starts,
// and against a change that is lost.
TEST(EarlySignals, ReloadsDoNotEndAStartingDaemon) {
  SettingsFolder settings;
  std::size_t reloads = 0;
  for (const auto delay : {0ms, 1ms, 2ms, 5ms, 10ms, 20ms}) {
    const auto process = testing::Process::Start(
        {JASMINEHATCH_BIN_DIR "/jasminehatchd", "--settings", settings.File()},
        settings.Log());
    std::this_thread::sleep_for(delay);
    process->Signal(SIGHUP);
    ++reloads;
    CHECK(WaitUntil([&] {
      return settings.LoggedEvents("settings_read_again") == reloads ||
             process->HasExited();
    }));
    CHECK_FALSE(process->HasExited());
    process->Signal(SIGTERM);
    CHECK(WaitUntil([&] { return process->HasExited(); }));
  }
}

// Guards against a stop request that is lost while the daemon starts.
TEST(EarlySignals, AStopRequestAtTheStartEndsTheDaemon) {
  SettingsFolder settings;
  for (const auto delay : {0ms, 5ms, 20ms}) {
    const auto process = testing::Process::Start(
        {JASMINEHATCH_BIN_DIR "/jasminehatchd", "--settings", settings.File()},
        settings.Log());
    std::this_thread::sleep_for(delay);
    process->Signal(SIGTERM);
    CHECK(WaitUntil([&] { return process->HasExited(); }));
  }
}
