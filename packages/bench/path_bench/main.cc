// Measures what the daemon adds: sends the same load directly to an emulated
// engine and through a daemon, in turn. scripts/path-bench starts the
// processes.

#include <gflags/gflags.h>
#include <jasminehatch/ctl.h>
#include <jasminehatch/emulator.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(engine, "", "base URL of the engine");
DEFINE_string(daemon, "", "base URL of the daemon");
DEFINE_int32(daemon_pid, 0, "process id of the daemon");
DEFINE_string(key, "quickstart-key", "bearer key of the workspace");
DEFINE_double(rate, 150, "requests per second");
DEFINE_uint32(tokens, 64, "tokens of a response");
DEFINE_double(seconds, 5, "seconds of arrivals in each part of a round");
DEFINE_int32(rounds, 3, "rounds of one direct part and one daemon part");
DEFINE_uint32(context_bytes, 400, "size of a prompt");

namespace {

using namespace jasminehatch;
using Samples = std::vector<double>;

/// @return the processor time of the daemon, in seconds
double ProcessorTime() {
  std::ifstream file("/proc/" + std::to_string(FLAGS_daemon_pid) + "/stat");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  // The name in parentheses may contain spaces; utime and stime are the 12th
  // and 13th fields after it.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string ResidentMemory() {
  std::ifstream file("/proc/" + std::to_string(FLAGS_daemon_pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.compare(0, 6, "VmRSS:") == 0) {
      return line.substr(line.find_first_of("0123456789"));
    }
  }
  return "unknown";
}

/// Results of all parts that used one path.
struct PathResults {
  Samples first_token;
  Samples gap;
  double processor_time = 0;
  bool clean = true;
};

void RunPart(const std::string& url, std::uint64_t seed, PathResults& path) {
  ctl::LoadOptions options;
  options.daemons = {url};
  options.key = FLAGS_key;
  options.model = "assistant";
  options.rate = FLAGS_rate;
  options.duration =
      std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_seconds * 1e3));
  options.standard_share = 0;
  options.batch_share = 0;
  options.return_share = 0;
  options.context_bytes = FLAGS_context_bytes;
  options.tokens = FLAGS_tokens;
  options.seed = seed;
  const double before = ProcessorTime();
  std::ostringstream progress;
  const ctl::LoadReport report =
      ctl::LoadRun(options, progress,
                   [](std::string_view messages, std::uint32_t tokens,
                      std::string_view text) {
                     return text ==
                            emulator::ResponseText(messages, "v1", tokens);
                   })
          .Run();
  path.processor_time += ProcessorTime() - before;
  path.clean = path.clean && report.IsClean();
  for (const auto& [name, results] : report.classes) {
    path.clean = path.clean && results.refusals.empty();
    path.first_token.insert(path.first_token.end(),
                            results.first_token_ms.begin(),
                            results.first_token_ms.end());
    path.gap.insert(path.gap.end(), results.token_gap_ms.begin(),
                    results.token_gap_ms.end());
  }
}

void Print(const char* name, Samples& direct, Samples& daemon) {
  std::sort(direct.begin(), direct.end());
  std::sort(daemon.begin(), daemon.end());
  for (const double share : {0.5, 0.99}) {
    const double base = ctl::Percentile(direct, share);
    const double with = ctl::Percentile(daemon, share);
    std::cout << name << (share < 0.9 ? " p50" : " p99") << ": direct " << base
              << " ms, daemon " << with << " ms, added " << with - base
              << " ms\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  PathResults direct;
  PathResults daemon;
  for (int i = 0; i < FLAGS_rounds; ++i) {
    const auto seed = static_cast<std::uint64_t>(i);
    RunPart(FLAGS_engine, seed, direct);
    RunPart(FLAGS_daemon, seed, daemon);
  }
  const auto tokens =
      static_cast<double>(daemon.gap.size() + daemon.first_token.size());
  const double seconds = FLAGS_seconds * FLAGS_rounds;
  std::cout << std::fixed << std::setprecision(3);
  Print("time to first token", direct.first_token, daemon.first_token);
  Print("gap between tokens", direct.gap, daemon.gap);
  std::cout << std::setprecision(0)
            << "streamed through the daemon: " << tokens / seconds
            << " tokens/s, " << tokens << " in all\n"
            << "daemon: " << std::setprecision(1)
            << daemon.processor_time / seconds * 100 << "% of a core, "
            << std::setprecision(0) << tokens / daemon.processor_time
            << " tokens per second of its processor time, resident "
            << ResidentMemory() << "\nall responses correct: "
            << (direct.clean && daemon.clean ? "yes" : "no") << '\n';
  return direct.clean && daemon.clean ? 0 : 1;
}
