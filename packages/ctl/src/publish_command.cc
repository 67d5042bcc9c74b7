#include <chrono>
#include <iostream>
#include <thread>

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"

DEFINE_bool(wait, false, "publish: wait until all --daemons use the version");
DEFINE_int32(wait_seconds, 15, "publish: longest wait");

namespace jasminehatch::ctl {
namespace {

constexpr std::chrono::milliseconds kPollInterval{100};

/// Waits until each daemon reports the version.
/// @return the daemons that have not confirmed it
std::vector<std::string> AwaitVersion(SyncClient& client,
                                      config::Version version) {
  std::vector<std::string> waiting = DaemonUrls();
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::seconds(FLAGS_wait_seconds);
  while (true) {
    std::erase_if(waiting, [&](const std::string& url) {
      std::string error;
      const auto status = FetchStatus(client, url, error);
      return status &&
             status->value("config_version", config::Version{0}) >= version;
    });
    if (waiting.empty() || std::chrono::steady_clock::now() >= end) {
      return waiting;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace

int PublishCommand(Arguments arguments) {
  if (arguments.size() != 1) {
    return kExitUsage;
  }
  if (FLAGS_log.empty()) {
    return ReportMissingFlag("log");
  }
  if (FLAGS_wait && FLAGS_daemons.empty()) {
    return ReportMissingFlag("daemons");
  }
  SyncClient client;
  ConfigClient config_client(client, FLAGS_log);
  auto wanted = LoadConfigurationFile(arguments[0]);
  KeepZones(config_client.ReadAll().Entries(), wanted);
  config::Version version = 0;
  const auto result =
      config_client.Publish(wanted, NewChangeId(), FLAGS_author, version);
  const bool in_force =
      result == PublishResult::kAccepted || result == PublishResult::kUnchanged;
  if (!FLAGS_wait || !in_force) {
    return ReportPublication(result, version);
  }
  const auto unconfirmed = AwaitVersion(client, version);
  const int exit =
      ReportPublication(result, version, {{"unconfirmed", unconfirmed}});
  if (!FLAGS_json) {
    for (const std::string& url : unconfirmed) {
      std::cout << "not confirmed by " << url << '\n';
    }
  }
  return unconfirmed.empty() ? exit : kExitUnknown;
}

}  // namespace jasminehatch::ctl
