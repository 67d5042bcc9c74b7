// Runs one emulator of an outside system as a process of its own.

#include <gflags/gflags.h>
#include <jasminehatch/emulator.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>

DEFINE_string(role, "", "what to emulate: engine, log, service or vmlist");
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "TCP port; 0 lets the kernel choose");
DEFINE_uint64(seed, 1, "seed of the injected faults");
DEFINE_string(weight_version, "v1", "engine: weight version");
DEFINE_double(prefill_rate, 100'000, "engine: prompt tokens per second");
DEFINE_int32(token_interval_us,
             1000,
             "engine: microseconds between tokens of a response");
DEFINE_int32(slots, 64, "engine: requests that decode at once");
DEFINE_int32(cache_blocks, 1000, "engine: blocks in the prefix cache");
DEFINE_string(crash_text,
              "",
              "engine: a prompt with this text ends the process");

namespace {

using namespace jasminehatch;

int Run() {
  asio::io_context loop(1);
  net::HttpServer::Options server;
  server.address = FLAGS_address;
  server.port = static_cast<std::uint16_t>(FLAGS_port);
  server.body_limit = 64UL << 20U;
  std::unique_ptr<emulator::EngineEmulator> engine;
  std::unique_ptr<emulator::LogEmulator> log;
  std::unique_ptr<emulator::ServiceEmulator> service;
  std::unique_ptr<emulator::VmListEmulator> vm_list;
  std::uint16_t port = 0;
  if (FLAGS_role == "engine") {
    emulator::EngineEmulator::Options options;
    options.server = server;
    options.weight_version = FLAGS_weight_version;
    options.prefill_tokens_per_second = FLAGS_prefill_rate;
    options.token_interval = std::chrono::microseconds(FLAGS_token_interval_us);
    options.slots = static_cast<std::uint32_t>(FLAGS_slots);
    options.cache_blocks = static_cast<std::size_t>(FLAGS_cache_blocks);
    options.incarnation = static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch() /
        std::chrono::microseconds(1));
    options.seed = FLAGS_seed;
    options.crash_text = FLAGS_crash_text;
    engine = std::make_unique<emulator::EngineEmulator>(loop, options,
                                                        [] { std::_Exit(1); });
    port = engine->Port();
  } else if (FLAGS_role == "log") {
    log = std::make_unique<emulator::LogEmulator>(loop, server, FLAGS_seed);
    port = log->Port();
  } else if (FLAGS_role == "service") {
    service =
        std::make_unique<emulator::ServiceEmulator>(loop, server, FLAGS_seed);
    port = service->Port();
  } else if (FLAGS_role == "vmlist") {
    vm_list = std::make_unique<emulator::VmListEmulator>(loop, server);
    port = vm_list->Port();
  } else {
    std::cerr << "--role must be engine, log, service or vmlist\n";
    return 2;
  }
  std::cout << "listening on " << port << std::endl;
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&loop](const asio::error_code& /*error*/,
                             int /*signal*/) { loop.stop(); });
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "emulates an outside system of jasminehatch on loopback");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
