#include <jasminehatch/codec.h>

#include <iostream>
#include <string>

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"

namespace jasminehatch::ctl {

namespace {

void PrintChecked(const std::string& file,
                  const std::string& what,
                  const nlohmann::json& details) {
  if (!FLAGS_json) {
    std::cout << file << ": ok, " << what << '\n';
    return;
  }
  nlohmann::json output{{"file", file}, {"ok", true}};
  if (details.is_object()) {
    output.update(details);
  }
  std::cout << output.dump() << '\n';
}

}  // namespace

int CheckCommand(Arguments arguments) {
  if (arguments.size() != 1) {
    return kExitUsage;
  }
  const auto document = codec::IniDocument::Load(arguments[0]);
  if (codec::ForwarderSettings::HasForwarderSection(document)) {
    codec::ForwarderSettings::Read(document);
    PrintChecked(arguments[0], "settings of a forwarding daemon", {});
    return kExitOk;
  }
  const auto entries = LoadConfigurationFile(arguments[0]);
  PrintChecked(arguments[0], std::to_string(entries.size()) + " entries",
               {{"entries", entries.size()}});
  return kExitOk;
}

}  // namespace jasminehatch::ctl
