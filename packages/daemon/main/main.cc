// The daemon that runs on every entry VM. If the settings file has the section
// `forwarder`, it runs as `Forwarder`, which reads the configuration and the
// registry from the platform's store; otherwise as `Daemon`, which reads the
// configuration, including the upstreams, from the log service.

#include <gflags/gflags.h>
#include <jasminehatch/codec.h>
#include <jasminehatch/daemon.h>
#include <jasminehatch/net.h>
#include <jasminehatch/platform.h>
#include <jasminehatch/telemetry.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <iostream>
#include <string>

DEFINE_string(settings, "", "INI file with the settings of this daemon");
DEFINE_bool(check, false, "check the settings file and exit");
DEFINE_bool(document_settings,
            false,
            "print the table of all settings and exit");

namespace {

using namespace jasminehatch;

constexpr int kExitUsage = 2;

constexpr std::array kHandledSignals{SIGTERM, SIGINT, SIGHUP};

/// @return an incarnation greater than those of all earlier processes with this
/// name, unless the wall clock is set back by more than the time between two
/// starts
std::uint64_t NewIncarnation(const Clock& clock) {
  return static_cast<std::uint64_t>(clock.WallNow().time_since_epoch() /
                                    std::chrono::microseconds(1));
}

int RunForwarder(const std::string& file, const codec::IniDocument& document) {
  asio::io_context loop(1);
  const net::BootClock clock;
  daemon::Forwarder forwarder(loop, codec::ForwarderSettings::Read(document),
                              clock, NewIncarnation(clock), STDOUT_FILENO);
  const net::SignalReceiver signals(loop, kHandledSignals, [&](int number) {
    if (number != SIGHUP) {
      forwarder.Stop([&] { loop.stop(); });
      return;
    }
    try {
      forwarder.Reload(
          codec::ForwarderSettings::Read(codec::IniDocument::Load(file)));
    } catch (const SettingsError& error) {
      telemetry::LogWarning("settings_not_acceptable",
                            {{"detail", error.what()}});
    }
  });
  loop.run();
  return 0;
}

int RunDaemon(const codec::IniDocument& document) {
  asio::io_context loop(1);
  const net::SystemClock clock;
  daemon::Daemon daemon(loop, codec::DaemonSettings::Read(document), clock,
                        NewIncarnation(clock));
  std::cout << "listening on " << daemon.Port() << std::endl;
  const net::SignalReceiver signals(loop, kHandledSignals, [&](int number) {
    if (number == SIGHUP) {
      telemetry::LogWarning("settings_not_read_again",
                            {{"detail", "changes need a restart"}});
      return;
    }
    daemon.Stop([&] { loop.stop(); });
  });
  loop.run();
  return 0;
}

int Run() {
  if (FLAGS_document_settings) {
    std::cout << codec::DaemonSettings::Documentation() << '\n'
              << codec::ForwarderSettings::Documentation();
    return 0;
  }
  const std::string file =
      FLAGS_settings.empty() ? platform::SettingsLocation() : FLAGS_settings;
  if (file.empty()) {
    std::cerr << "no settings file: use --settings FILE\n";
    return kExitUsage;
  }
  const auto document = codec::IniDocument::Load(file);
  const bool is_forwarder =
      codec::ForwarderSettings::HasForwarderSection(document);
  if (FLAGS_check) {
    if (is_forwarder) {
      codec::ForwarderSettings::Read(document);
    } else {
      codec::DaemonSettings::Read(document);
    }
    std::cout << file << ": ok\n";
    return 0;
  }
  return is_forwarder ? RunForwarder(file, document) : RunDaemon(document);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    net::BlockSignals(kHandledSignals);
    net::ReturnLargeBuffers();
    gflags::SetUsageMessage(
        "forwards prompts and bookings to upstreams; "
        "usage: jasminehatchd [--settings FILE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    telemetry::InitLogging(argv[0]);
    return Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
