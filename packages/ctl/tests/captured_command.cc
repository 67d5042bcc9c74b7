#include "captured_command.h"

#include <iostream>
#include <sstream>

#include "jasminehatch/detail/ctl/command.h"

namespace jasminehatch::ctl::test {

CommandResult Run(const std::vector<std::string>& arguments) {
  std::ostringstream output;
  std::streambuf* const before = std::cout.rdbuf(output.rdbuf());
  std::streambuf* const errors_before = std::cerr.rdbuf(output.rdbuf());
  const int exit = RunCommand(arguments);
  std::cout.rdbuf(before);
  std::cerr.rdbuf(errors_before);
  return {exit, output.str()};
}

}  // namespace jasminehatch::ctl::test
