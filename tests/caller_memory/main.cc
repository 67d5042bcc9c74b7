// Starts a daemon, makes misbehaving clients take its memory, and checks that
// it lives, stays within its memory and descriptors, and still answers. It
// checks no times and no share of the requests that are served.

#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/address_v4.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <span>
#include <sstream>
#include <string>
#include <vector>

#include "caller_crowd.h"
#include "jasminehatch/detail/testing/process.h"

DEFINE_string(bin_dir, "build/bin", "folder that contains jasminehatchd");
DEFINE_uint64(clients, 24, "clients of each crowd");
DEFINE_uint64(memory_mb,
              64,
              "bound of the daemon's memory, and its setting `memory`");
DEFINE_bool(set_memory, true, "write the setting `memory`");
DEFINE_string(kind, "", "only this kind of clients, or `mixed`");

namespace jasminehatch::test {
namespace {

/// Far above the time that any step takes; one that reaches it hangs.
constexpr std::chrono::seconds kTimeout{120};

/// Descriptors of a daemon apart from those of its clients.
constexpr std::size_t kOwnDescriptors = 64;

constexpr std::size_t kLargestBody = 4UL << 20U;

constexpr char kConfiguration[] =
    R"({"version":1,"routes":[{"name":"once","host":"h.example",)"
    R"("pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":20000,)"
    R"("sloMs":150,"priority":2,"service":"desk","attempts":1}],)"
    R"("services":[{"name":"desk","maxConns":50}],)"
    R"("tenants":[{"name":"t1","apiKeys":["key"]}]})";

/// @brief One daemon with its store and its upstream.
class MemoryRun {
 public:
  explicit MemoryRun(const std::string& folder) {
    m_platform.Put("keyed.op", "config", kConfiguration);
    m_platform.PutUpstream("u1", m_upstream.Entry("desk"));
    const std::string file = folder + "/forwarder.ini";
    std::ofstream(file) << "[forwarder]\nname = e1\nzone = a\naddress = "
                        << m_address << "\nready_address = " << m_ready_address
                        << "\nstore_address = " << m_platform.Address() << '\n'
                        << (FLAGS_set_memory
                                ? "memory = " +
                                      std::to_string(FLAGS_memory_mb) + "MB\n"
                                : std::string());
    m_daemon = testing::Process::Start(
        {FLAGS_bin_dir + "/jasminehatchd", "--settings", file},
        folder + "/daemon.log");
  }

  bool Run(std::string_view name, std::span<const CrowdKind> kinds) {
    Check(RunUntil(
              [this] { return Call("GET", m_ready_address, "/", "") == 200; }),
          "the daemon becomes ready");
    Check(Call("POST", m_address, "/once/x", std::string(kLargestBody, 'a')) ==
              200,
          "the largest body is served under normal load");
    {
      const CallerCrowd crowd(m_loop, m_address, "/once/crowd", kinds,
                              FLAGS_clients);
      Check(RunUntil([&] {
              return m_daemon->HasExited() ||
                     (crowd.IsSettled() && HasReadAll());
            }),
            "all clients have sent what they send or are refused");
      Check(!m_daemon->HasExited(), "the daemon lives");
      Check(CountDescriptors() <= FLAGS_clients + kOwnDescriptors,
            "the daemon's descriptors stay within the bound");
      Check(Call("POST", m_address, "/once/x", "question") == 200,
            "an ordinary request is answered");
      const std::uint64_t peak = PeakBytes();
      Check(peak > 0 && peak < FLAGS_memory_mb * 1'000'000,
            "the daemon's memory stays within the bound");
      std::cout << name << ": peak " << peak / 1'000'000 << " MB, "
                << crowd.Closed() << " of " << FLAGS_clients << " closed"
                << std::endl;
    }
    return m_ok;
  }

 private:
  void Check(bool condition, std::string_view rule) {
    if (!condition) {
      std::cout << "VIOLATION: not true that " << rule << std::endl;
      m_ok = false;
    }
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      m_loop.restart();
      m_loop.run_for(std::chrono::milliseconds(5));
    }
    return true;
  }

  /// @return the status of the response; 0 if there is none
  int Call(const std::string& method,
           const std::string& address,
           const std::string& target,
           std::string body) {
    net::StreamCall call;
    call.address = address;
    call.method = method;
    call.target = target;
    call.body = std::move(body);
    call.fresh_connection = true;
    call.total_timeout = kTimeout / 2;
    call.headers = {{"Host", "h.example"},
                    {"X-Request-Id", "r" + std::to_string(++m_calls)},
                    {"X-Deadline-Ms", "20000"},
                    {"Authorization", "Token key"}};
    int status = 0;
    bool ended = false;
    net::StreamClient::Callbacks callbacks;
    callbacks.on_head = [&](const net::StreamHead& head) {
      status = head.status;
    };
    callbacks.on_end = [&](const net::StreamEnd& /*end*/) { ended = true; };
    const auto id = m_client.Start(std::move(call), std::move(callbacks));
    RunUntil([&] { return ended; });
    m_client.Cancel(id);
    return status;
  }

  std::string ProcFolder() const {
    return "/proc/" + std::to_string(m_daemon->Id());
  }

  /// @return whether no received bytes wait in the kernel for the daemon
  bool HasReadAll() const {
    const auto address = net::ParseIpPort(m_address).value();
    std::array<char, 16> expected{};
    std::snprintf(expected.data(), expected.size(), "%08X:%04X",
                  htonl(asio::ip::make_address_v4(address.ip).to_uint()),
                  static_cast<unsigned>(address.port));
    std::ifstream table("/proc/net/tcp");
    // Columns: number, local and remote address, state, tx_queue:rx_queue.
    std::string line;
    while (std::getline(table, line)) {
      std::istringstream columns(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      std::string queues;
      columns >> number >> local >> remote >> state >> queues;
      if (local == expected.data() && !queues.ends_with(":00000000")) {
        return false;
      }
    }
    return true;
  }

  std::size_t CountDescriptors() const {
    std::error_code ignored;
    return static_cast<std::size_t>(std::distance(
        std::filesystem::directory_iterator(ProcFolder() + "/fd", ignored),
        std::filesystem::directory_iterator()));
  }

  /// @return the largest resident memory of the daemon so far, in bytes; 0 if
  /// it has exited
  std::uint64_t PeakBytes() const {
    std::ifstream status(ProcFolder() + "/status");
    for (std::string word; status >> word;) {
      std::uint64_t kib = 0;
      if (word == "VmHWM:" && status >> kib) {
        return kib * 1024;
      }
    }
    return 0;
  }

  asio::io_context m_loop{1};
  emulator::LoopbackHost m_host;
  emulator::PlatformEmulator m_platform{m_loop};
  emulator::UpstreamEmulator m_upstream{m_loop, "u1"};
  net::StreamClient m_client{m_loop, {}};
  std::string m_address = m_host.NewTcpAddress(m_loop);
  std::string m_ready_address = m_host.NewTcpAddress(m_loop);
  std::unique_ptr<testing::Process> m_daemon;
  int m_calls = 0;
  bool m_ok = true;
};

bool RunAll(const std::string& folder) {
  const std::vector<CrowdKind> kinds = CrowdKinds();
  bool ok = true;
  for (const CrowdKind& kind : kinds) {
    if (FLAGS_kind.empty() || FLAGS_kind == kind.name) {
      ok = MemoryRun(folder).Run(kind.name, {&kind, 1}) && ok;
    }
  }
  if (FLAGS_kind.empty() || FLAGS_kind == "mixed") {
    ok = MemoryRun(folder).Run("mixed", kinds) && ok;
  }
  return ok;
}

}  // namespace
}  // namespace jasminehatch::test

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
    ok = jasminehatch::test::RunAll(folder);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  std::filesystem::remove_all(folder);
  return ok ? 0 : 1;
}
