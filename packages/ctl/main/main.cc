// The operators' command line.

#include <gflags/gflags.h>
#include <jasminehatch/ctl.h>

#include <algorithm>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv) {
  const std::vector<std::string> raw(argv + 1, argv + argc);
  if (std::find(raw.begin(), raw.end(), "--help") != raw.end()) {
    return jasminehatch::ctl::RunCommand(
        std::vector<std::string>{"help", raw.front()});
  }
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  try {
    return jasminehatch::ctl::RunCommand(arguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return jasminehatch::ctl::kExitFailed;
  }
}
