#ifndef JASMINEHATCH_CTL_TESTS_CAPTURED_COMMAND_H_
#define JASMINEHATCH_CTL_TESTS_CAPTURED_COMMAND_H_

#include <string>
#include <vector>

namespace jasminehatch::ctl::test {

/// @brief What a command did.
struct CommandResult {
  int exit = 0;
  std::string output;  ///< With the errors.
};

/// Runs `jasminehatchctl` with the given arguments.
CommandResult Run(const std::vector<std::string>& arguments);

}  // namespace jasminehatch::ctl::test

#endif  // JASMINEHATCH_CTL_TESTS_CAPTURED_COMMAND_H_
