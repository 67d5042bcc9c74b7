#include <algorithm>
#include <iostream>
#include <map>
#include <string>

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"

namespace jasminehatch::ctl {
namespace {

using nlohmann::json;
using Entries = std::map<config::EntryId, config::Fields>;

/// @return the number of upstreams that the configuration has in the zone
std::size_t CountUpstreams(const Entries& entries, const std::string& zone) {
  return static_cast<std::size_t>(
      std::count_if(entries.begin(), entries.end(), [&](const auto& entry) {
        const auto found = entry.second.find("zone");
        return entry.first.kind == "upstream" && found != entry.second.end() &&
               found->second == zone;
      }));
}

int PrintState(const Entries& entries, config::Version version) {
  json zones = json::array();
  for (const auto& [id, fields] : entries) {
    const auto evacuated = fields.find("evacuated");
    if (id.kind != "zone" || evacuated == fields.end() ||
        evacuated->second != "yes") {
      continue;
    }
    const std::size_t upstreams = CountUpstreams(entries, id.name);
    zones.push_back({{"zone", id.name}, {"upstreams", upstreams}});
    if (!FLAGS_json) {
      std::cout << "zone " << id.name
                << " is evacuated, upstreams: " << upstreams << '\n';
    }
  }
  if (FLAGS_json) {
    std::cout << json{{"version", version}, {"evacuated", zones}}.dump()
              << '\n';
  } else if (zones.empty()) {
    std::cout << "no zone is evacuated\n";
  }
  return kExitOk;
}

}  // namespace

int EvacuateCommand(Arguments arguments) {
  const bool state = arguments.size() == 1 && arguments[0] == "state";
  const bool change = arguments.size() == 2 &&
                      (arguments[0] == "begin" || arguments[0] == "end");
  if (!state && !change) {
    return kExitUsage;
  }
  if (FLAGS_log.empty()) {
    return ReportMissingFlag("log");
  }
  SyncClient client;
  ConfigClient config_client(client, FLAGS_log);
  const config::ConfigFold fold = config_client.ReadAll();
  Entries wanted = fold.Entries();
  if (state) {
    return PrintState(wanted, fold.CurrentVersion());
  }
  const std::string& zone = arguments[1];
  if (arguments[0] == "end") {
    // The zone may have a region, which stays.
    const auto entry = wanted.find({"zone", zone});
    if (entry != wanted.end()) {
      entry->second.erase("evacuated");
      if (entry->second.empty()) {
        wanted.erase(entry);
      }
    }
  } else if (CountUpstreams(wanted, zone) == 0) {
    // The name is probably misspelt, and nothing would be evacuated.
    std::cerr << "no upstream is in the zone '" << zone << "'\n";
    return kExitFailed;
  } else {
    wanted[{"zone", zone}]["evacuated"] = "yes";
  }
  config::Version version = 0;
  const auto result =
      config_client.Publish(wanted, NewChangeId(), FLAGS_author, version);
  return ReportPublication(result, version, {{"zone", zone}});
}

}  // namespace jasminehatch::ctl
