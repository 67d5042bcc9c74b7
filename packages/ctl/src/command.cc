#include "jasminehatch/detail/ctl/command.h"

#include <algorithm>
#include <array>
#include <iostream>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/load_command.h"

namespace jasminehatch::ctl {
namespace {

constexpr std::array kCommands{
    Command{
        "check", "check FILE",
        "Checks a configuration file, or the settings of a forwarding daemon.",
        &CheckCommand},
    Command{"diff", "diff FILE --log URL",
            "Prints what publishing FILE would change; exit code 1 when "
            "anything would.",
            &DiffCommand},
    Command{"publish",
            "publish FILE --log URL [--author NAME] [--wait --daemons URL,URL "
            "[--wait_seconds N]]",
            "Publishes the difference between the configuration in force and "
            "FILE. With --wait, names the daemons that have not confirmed the "
            "version; exit code 3 when there are any.",
            &PublishCommand},
    Command{"drain", "drain UPSTREAM --log URL [--author NAME]",
            "Publishes a change that marks the upstream as leaving; publishing "
            "a file without the mark takes it back.",
            &DrainCommand},
    Command{"evacuate",
            "evacuate begin|end ZONE --log URL [--author NAME] | evacuate "
            "state --log URL",
            "Begins or ends the evacuation of an availability zone, whose "
            "upstreams then get no new requests, or prints the evacuated "
            "zones. Publishing a file does not end an evacuation.",
            &EvacuateCommand},
    Command{"show", "show --log URL",
            "Prints the configuration in force as INI.", &ShowCommand},
    Command{"booking", "booking KEY --daemons URL,URL --key WORKSPACE_KEY",
            "Prints the stage of a booking; exit code 3 when it is unknown.",
            &BookingCommand},
    Command{"status", "status --daemons URL,URL",
            "Prints the state, the upstreams and the peers of each daemon.",
            &StatusCommand},
    Command{"where",
            "where --daemon URL --host HOST --path PATH [--key_file FILE|-] "
            "[--prompt_model MODEL --parts ID:TOKENS,... --output_tokens N] "
            "[--request_id ID] [--time_left_ms N]",
            "Prints to which upstream a forwarding daemon would send a request "
            "now, and why, without sending it. URL is that of the daemon's "
            "metrics. Exit code 1 when it would refuse the request, 3 when the "
            "daemon does not answer.",
            &WhereCommand},
    Command{"explain", "explain REQUEST_ID [LOG...]",
            "Prints the daemons' log lines about a request in order of time, "
            "and the gaps between them; reads standard input without LOG. Exit "
            "code 3 when no log has a line about the request.",
            &ExplainCommand},
    Command{"load", "load --daemons URL,URL --key KEY [--rate N] [--seconds N]",
            "Sends prompts and bookings at a set rate and prints latencies.",
            &LoadCommand},
};

void PrintUsage(std::ostream& stream) {
  stream << "usage: jasminehatchctl COMMAND [ARGUMENTS] [--json]\n\n";
  for (const Command& command : kCommands) {
    stream << "  " << command.usage << "\n      " << command.help << '\n';
  }
  stream << "\nexit codes: 0 done, 1 refused or failed, 2 wrong usage or file, "
            "3 outcome unknown\n";
}

}  // namespace

std::span<const Command> Commands() {
  return kCommands;
}

int RunCommand(std::span<const std::string> arguments) {
  if (arguments.size() == 2 && arguments[0] == "help") {
    for (const Command& command : kCommands) {
      if (command.name == arguments[1]) {
        std::cout << "usage: jasminehatchctl " << command.usage
                  << " [--json]\n\n"
                  << command.help << '\n';
        return kExitOk;
      }
    }
  }
  if (arguments.empty() || arguments[0] == "help") {
    PrintUsage(arguments.empty() ? std::cerr : std::cout);
    return arguments.empty() ? kExitUsage : kExitOk;
  }
  const auto command = std::find_if(
      kCommands.begin(), kCommands.end(),
      [&](const Command& candidate) { return candidate.name == arguments[0]; });
  if (command == kCommands.end()) {
    std::cerr << "unknown command '" << arguments[0] << "'\n";
    PrintUsage(std::cerr);
    return kExitUsage;
  }
  try {
    const int exit = command->run(arguments.subspan(1));
    if (exit == kExitUsage) {
      std::cerr << "usage: jasminehatchctl " << command->usage << '\n';
    }
    return exit;
  } catch (const SettingsError& error) {
    std::cerr << error.what() << '\n';
    return kExitUsage;
  } catch (const Exception& error) {
    std::cerr << error.what() << '\n';
    return kExitFailed;
  }
}

}  // namespace jasminehatch::ctl
