// Starts a daemon, makes misbehaving clients take its memory, and checks that
// it lives, stays within its memory and descriptors, and still answers. It
// checks no times and no share of the requests that are served.

#include <gflags/gflags.h>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "caller_crowd.h"
#include "memory_run.h"

DEFINE_string(bin_dir, "build/bin", "folder that contains jasminehatchd");
DEFINE_bool(gateway, false, "test the gateway instead of the forwarder");
DEFINE_uint64(clients, 24, "clients of each crowd");
DEFINE_uint64(memory_mb,
              64,
              "bound of the daemon's memory, and its setting `memory`");
DEFINE_bool(set_memory, true, "write the setting `memory`");
DEFINE_string(kind, "", "only this kind of clients, or `mixed`");

namespace {

using namespace jasminehatch::test;

bool RunAll(const std::string& folder) {
  const MemoryRun::Options options{FLAGS_bin_dir, folder,
                                   FLAGS_gateway, FLAGS_set_memory,
                                   FLAGS_clients, FLAGS_memory_mb * 1'000'000};
  const std::vector<CrowdKind> kinds = CrowdKinds();
  bool ok = true;
  for (const CrowdKind& kind : kinds) {
    if (FLAGS_kind.empty() || FLAGS_kind == kind.name) {
      ok = MemoryRun(options).Run(kind.name, {&kind, 1}) && ok;
    }
  }
  if (FLAGS_kind.empty() || FLAGS_kind == "mixed") {
    ok = MemoryRun(options).Run("mixed", kinds) && ok;
  }
  return ok;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::string folder =
      std::filesystem::temp_directory_path() / "caller_memory.XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    std::cerr << "cannot create a folder\n";
    return 1;
  }
  bool ok = false;
  try {
    ok = RunAll(folder);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  std::filesystem::remove_all(folder);
  return ok ? 0 : 1;
}
