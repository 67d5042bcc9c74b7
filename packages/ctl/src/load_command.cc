#include "jasminehatch/detail/ctl/load_command.h"

#include <gflags/gflags.h>

#include <chrono>
#include <cmath>
#include <iostream>
#include <string_view>

#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/load_run.h"

DECLARE_string(daemons);
DECLARE_bool(json);
DEFINE_string(key, "", "load: bearer key of the workspace");
DEFINE_string(model, "assistant", "load: model of the prompts");
DEFINE_string(service, "", "load: plain service of the bookings");
DEFINE_double(rate, 10, "load: arrivals per second");
DEFINE_double(seconds, 10, "load: seconds in which requests arrive");
DEFINE_double(standard_share, 0.3, "load: share of prompts of class standard");
DEFINE_double(batch_share, 0.1, "load: share of prompts of class batch");
DEFINE_double(booking_share, 0, "load: share of arrivals that are bookings");
DEFINE_double(return_share, 0.5, "load: share of contexts that return");
DEFINE_double(return_gap, 2, "load: seconds until a context returns");
DEFINE_uint32(context_bytes, 16'000, "load: size of a context");
DEFINE_uint32(tokens, 64, "load: tokens of a response");
DEFINE_uint64(load_seed, 1, "load: seed of the classes and returns");

namespace jasminehatch::ctl {
namespace {

std::chrono::milliseconds FromSeconds(double seconds) {
  return std::chrono::milliseconds(std::llround(seconds * 1000));
}

}  // namespace

int LoadCommand(std::span<const std::string> arguments) {
  if (!arguments.empty()) {
    return kExitUsage;
  }
  LoadOptions options;
  std::string_view rest = FLAGS_daemons;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(','), rest.size());
    options.daemons.emplace_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  if (options.daemons.empty() || FLAGS_key.empty()) {
    std::cerr << "--daemons and --key are required\n";
    return kExitUsage;
  }
  if (!(FLAGS_rate > 0) || !(FLAGS_seconds > 0) || FLAGS_tokens == 0) {
    std::cerr << "--rate, --seconds and --tokens must be above 0\n";
    return kExitUsage;
  }
  options.key = FLAGS_key;
  options.model = FLAGS_model;
  options.service = FLAGS_service;
  options.rate = FLAGS_rate;
  options.duration = FromSeconds(FLAGS_seconds);
  options.standard_share = FLAGS_standard_share;
  options.batch_share = FLAGS_batch_share;
  options.booking_share = FLAGS_booking_share;
  options.return_share = FLAGS_return_share;
  options.return_gap = FromSeconds(FLAGS_return_gap);
  options.context_bytes = FLAGS_context_bytes;
  options.tokens = FLAGS_tokens;
  options.seed = FLAGS_load_seed;
  LoadReport report = LoadRun(std::move(options), std::cerr).Run();
  std::cout << (FLAGS_json ? report.Json() + "\n" : report.Table());
  return report.IsClean() ? kExitOk : kExitFailed;
}

}  // namespace jasminehatch::ctl
