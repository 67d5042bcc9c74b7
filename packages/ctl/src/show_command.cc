#include <iostream>

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"

namespace jasminehatch::ctl {

using nlohmann::json;

int ShowCommand(Arguments arguments) {
  if (!arguments.empty()) {
    return kExitUsage;
  }
  if (FLAGS_log.empty()) {
    return ReportMissingFlag("log");
  }
  SyncClient client;
  const config::ConfigFold fold = ConfigClient(client, FLAGS_log).ReadAll();
  if (FLAGS_json) {
    json entries = json::array();
    for (const auto& [id, fields] : fold.Entries()) {
      entries.push_back(
          {{"kind", id.kind}, {"name", id.name}, {"fields", fields}});
    }
    std::cout << json{{"version", fold.CurrentVersion()},
                      {"entries", std::move(entries)}}
                     .dump()
              << '\n';
    return kExitOk;
  }
  std::cout << "; version " << fold.CurrentVersion() << '\n';
  for (const auto& [id, fields] : fold.Entries()) {
    std::cout << "\n[" << id.kind << (id.name.empty() ? "" : " ") << id.name
              << "]\n";
    for (const auto& [key, value] : fields) {
      std::cout << key << " = " << value << '\n';
    }
  }
  return kExitOk;
}

}  // namespace jasminehatch::ctl
