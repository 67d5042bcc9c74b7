#include <iostream>

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"

namespace jasminehatch::ctl {

int DrainCommand(Arguments arguments) {
  if (arguments.size() != 1) {
    return kExitUsage;
  }
  if (FLAGS_log.empty()) {
    return ReportMissingFlag("log");
  }
  SyncClient client;
  ConfigClient config_client(client, FLAGS_log);
  auto wanted = config_client.ReadAll().Entries();
  const auto upstream = wanted.find({"upstream", arguments[0]});
  if (upstream == wanted.end()) {
    std::cerr << "there is no upstream '" << arguments[0] << "'\n";
    return kExitFailed;
  }
  upstream->second["leaving"] = "yes";
  config::Version version = 0;
  const auto result =
      config_client.Publish(wanted, NewChangeId(), FLAGS_author, version);
  return ReportPublication(result, version, {{"upstream", arguments[0]}});
}

}  // namespace jasminehatch::ctl
