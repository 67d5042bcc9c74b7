#ifndef JASMINEHATCH_DETAIL_CTL_COMMANDS_H_
#define JASMINEHATCH_DETAIL_CTL_COMMANDS_H_

#include <span>
#include <string>

namespace jasminehatch::ctl {

/// Each function runs one subcommand with its arguments and returns an
/// ExitCode.
using Arguments = std::span<const std::string>;

int CheckCommand(Arguments arguments);
int ExplainCommand(Arguments arguments);
int PublishCommand(Arguments arguments);
int ShowCommand(Arguments arguments);
int DiffCommand(Arguments arguments);
int DrainCommand(Arguments arguments);
int EvacuateCommand(Arguments arguments);
int BookingCommand(Arguments arguments);
int StatusCommand(Arguments arguments);
int WhereCommand(Arguments arguments);

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_COMMANDS_H_
