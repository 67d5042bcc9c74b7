#ifndef JASMINEHATCH_DETAIL_CTL_COMMAND_H_
#define JASMINEHATCH_DETAIL_CTL_COMMAND_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminehatch::ctl {

/// @brief Exit codes of `jasminehatchctl`.
enum ExitCode {
  kExitOk = 0,
  kExitFailed = 1,   ///< The command ran with a negative result, such as a
                     ///< rejected change.
  kExitUsage = 2,    ///< Invalid command line or file.
  kExitUnknown = 3,  ///< The outcome could not be determined.
};

/// @brief One subcommand.
struct Command {
  std::string_view name;
  std::string_view usage;
  std::string_view help;
  int (*run)(std::span<const std::string> arguments);
};

/// @return the table of all subcommands
std::span<const Command> Commands();

/// @brief Runs the subcommand that the first argument names.
/// @return an ExitCode
int RunCommand(std::span<const std::string> arguments);

}  // namespace jasminehatch::ctl

#endif  // JASMINEHATCH_DETAIL_CTL_COMMAND_H_
