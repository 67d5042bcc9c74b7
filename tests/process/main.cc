// Sends requests to daemons and emulators that run as processes while faults
// are injected, and checks every response.

#include <gflags/gflags.h>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include "mixed_fault_run.h"

DEFINE_string(bin_dir,
              "build/bin",
              "folder that contains jasminehatchd and jasminehatch_emulator");
DEFINE_uint64(requests,
              1200,
              "number of requests to send, not counting retries");
DEFINE_double(rate, 100, "requests per second");
DEFINE_uint64(seed, 20261204, "random seed for requests and faults");
DEFINE_bool(keep, false, "keep the folder with the logs");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::string folder =
      std::filesystem::temp_directory_path() / "mixed_fault_run.XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    std::cerr << "cannot create a folder\n";
    return 1;
  }
  bool ok = false;
  try {
    jasminehatch::test::MixedFaultRun run(
        {FLAGS_bin_dir, folder, FLAGS_requests, FLAGS_rate, FLAGS_seed});
    ok = run.Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  if (FLAGS_keep) {
    std::cout << "logs: " << folder << '\n';
  } else {
    std::filesystem::remove_all(folder);
  }
  return ok ? 0 : 1;
}
