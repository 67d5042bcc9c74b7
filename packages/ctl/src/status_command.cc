#include <iostream>

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"

namespace jasminehatch::ctl {
namespace {

using nlohmann::json;

std::string YesNo(const json& object, const char* key) {
  return object.value(key, false) ? "yes" : "no";
}

void Print(const json& daemon) {
  std::cout << daemon.value("name", "?")
            << " zone=" << daemon.value("zone", "?")
            << " ready=" << YesNo(daemon, "ready")
            << " config_version=" << daemon.value("config_version", 0)
            << " stale=" << YesNo(daemon, "config_stale")
            << " in_progress=" << daemon.value("in_progress", 0) << '\n';
  for (const json& upstream : daemon.value("upstreams", json::array())) {
    if (upstream.value("configured", false)) {
      std::cout << "  upstream " << upstream.value("name", "?")
                << " model=" << upstream.value("model", "?")
                << " reachable=" << YesNo(upstream, "reachable")
                << " leaving=" << YesNo(upstream, "leaving")
                << " evacuated=" << YesNo(upstream, "evacuated")
                << " in_flight=" << upstream.value("in_flight", 0) << '\n';
    }
  }
  for (const json& peer : daemon.value("peers", json::array())) {
    std::cout << "  peer " << peer.value("name", "?") << " "
              << peer.value("status", "?") << '\n';
  }
}

}  // namespace

int StatusCommand(Arguments arguments) {
  if (!arguments.empty()) {
    return kExitUsage;
  }
  if (FLAGS_daemons.empty()) {
    return ReportMissingFlag("daemons");
  }
  SyncClient client;
  int exit = kExitOk;
  json all = json::array();
  for (const std::string& url : DaemonUrls()) {
    std::string error;
    if (auto status = FetchStatus(client, url, error)) {
      if (!FLAGS_json) {
        Print(*status);
      }
      all.push_back(std::move(*status));
      continue;
    }
    exit = kExitFailed;
    if (!FLAGS_json) {
      std::cout << url << ": unreachable (" << error << ")\n";
    }
    all.push_back({{"url", url}, {"reachable", false}, {"error", error}});
  }
  if (FLAGS_json) {
    std::cout << all.dump() << '\n';
  }
  return exit;
}

}  // namespace jasminehatch::ctl
