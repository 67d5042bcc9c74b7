#include <iostream>

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"

namespace jasminehatch::ctl {
namespace {

using nlohmann::json;

void PrintFields(char sign,
                 const config::Fields& fields,
                 const config::Fields& other) {
  for (const auto& [key, value] : fields) {
    const auto same = other.find(key);
    if (same == other.end() || same->second != value) {
      std::cout << sign << ' ' << key << " = " << value << '\n';
    }
  }
}

}  // namespace

int DiffCommand(Arguments arguments) {
  if (arguments.size() != 1) {
    return kExitUsage;
  }
  if (FLAGS_log.empty()) {
    return ReportMissingFlag("log");
  }
  auto wanted = LoadConfigurationFile(arguments[0]);
  SyncClient client;
  const config::ConfigFold fold = ConfigClient(client, FLAGS_log).ReadAll();
  KeepZones(fold.Entries(), wanted);
  const auto updates = DiffEntries(fold.Entries(), wanted);
  if (FLAGS_json) {
    json changes = json::array();
    for (const auto& update : updates) {
      changes.push_back(
          {{"kind", update.id.kind},
           {"name", update.id.name},
           {"fields", update.fields ? json(*update.fields) : json(nullptr)}});
    }
    std::cout << json{{"version", fold.CurrentVersion()},
                      {"changes", std::move(changes)}}
                     .dump()
              << '\n';
  } else {
    for (const auto& update : updates) {
      const auto old = fold.Entries().find(update.id);
      const config::Fields before =
          old == fold.Entries().end() ? config::Fields{} : old->second;
      const config::Fields after = update.fields.value_or(config::Fields{});
      std::cout << '[' << update.id.kind << (update.id.name.empty() ? "" : " ")
                << update.id.name << "]\n";
      PrintFields('-', before, after);
      PrintFields('+', after, before);
    }
  }
  return updates.empty() ? kExitOk : kExitFailed;
}

}  // namespace jasminehatch::ctl
