// Runs daemons as processes under faults that are drawn from a seed, and checks
// what callers and upstreams see.

#include <gflags/gflags.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "jasminehatch/detail/soak/soak_run.h"

DEFINE_string(bin_dir, "build/bin", "folder of the programs");
DEFINE_string(other_bin_dir,
              "",
              "folder of the daemon of another build, which half of all starts "
              "use, as during an upgrade; empty for none");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of seeds, one after another");
DEFINE_string(seed_file, "", "file with one seed a line; # starts a comment");
DEFINE_int32(seconds, 15, "seconds of faults in each run");
DEFINE_uint64(daemons, 4, "daemons");
DEFINE_uint64(upstreams, 4, "upstreams");
DEFINE_double(rate, 80, "requests per second");
DEFINE_bool(keep, false, "keep the folder with the logs of runs that pass");

namespace {

std::vector<std::uint64_t> Seeds() {
  std::vector<std::uint64_t> seeds;
  if (!FLAGS_seed_file.empty()) {
    std::ifstream file(FLAGS_seed_file);
    if (!file) {
      throw std::runtime_error("cannot read " + FLAGS_seed_file);
    }
    for (std::string line; std::getline(file, line);) {
      if (!line.empty() && line.front() != '#') {
        seeds.push_back(std::stoull(line));
      }
    }
    return seeds;
  }
  for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
    seeds.push_back(FLAGS_seed + i);
  }
  return seeds;
}

bool RunSeed(std::uint64_t seed) {
  std::string folder =
      std::filesystem::temp_directory_path() / "jasminehatch_soak.XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder");
  }
  std::cout << "seed " << seed << '\n';
  jasminehatch::soak::SoakRun::Options options;
  options.bin_dir = FLAGS_bin_dir;
  options.other_bin_dir = FLAGS_other_bin_dir;
  options.work_dir = folder;
  options.seed = seed;
  options.fault_time = std::chrono::seconds(FLAGS_seconds);
  options.daemons = FLAGS_daemons;
  options.upstreams = FLAGS_upstreams;
  options.requests_per_second = FLAGS_rate;
  const bool ok = jasminehatch::soak::SoakRun(options).Run();
  if (ok && !FLAGS_keep) {
    std::filesystem::remove_all(folder);
  } else {
    std::cout << "logs of seed " << seed << ": " << folder << '\n';
  }
  std::cout << "seed " << seed << (ok ? " passed" : " FAILED") << std::endl;
  return ok;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("soak run of the forwarding daemons");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::size_t passed = 0;
  std::size_t failed = 0;
  try {
    for (const std::uint64_t seed : Seeds()) {
      ++(RunSeed(seed) ? passed : failed);
    }
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  std::cout << passed << " passed, " << failed << " failed\n";
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
