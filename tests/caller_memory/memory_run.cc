#include "memory_run.h"

#include <arpa/inet.h>

#include <array>
#include <asio/ip/address_v4.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <utility>

namespace jasminehatch::test {
namespace {

/// Far above the time that any step takes; one that reaches it hangs.
constexpr std::chrono::seconds kTimeout{120};

/// Descriptors of a daemon apart from those of its clients.
constexpr std::size_t kOwnDescriptors = 64;

constexpr std::size_t kLargestBody = 4UL << 20U;

}  // namespace

MemoryRun::MemoryRun(Options options) : m_options(std::move(options)) {
  const std::string memory =
      m_options.set_memory
          ? "memory = " + std::to_string(m_options.memory_bytes / 1000) + "kB\n"
          : "";
  m_daemon = (m_options.gateway ? StartGateway : StartForwarder)(
      m_loop, m_options.bin_dir, m_options.folder, memory);
}

bool MemoryRun::Run(std::string_view name, std::span<const CrowdKind> kinds) {
  Check(RunUntil([this] { return Call(m_daemon->ReadyCall()) == 200; }),
        "the daemon becomes ready");
  Check(Call(m_daemon->OrdinaryCall(std::string(kLargestBody, 'a'))) == 200,
        "the largest body is served under normal load");
  const CallerCrowd crowd(m_loop, m_daemon->Address(), m_daemon->CrowdTarget(),
                          kinds, m_options.clients);
  Check(RunUntil([&] {
          return m_daemon->Process().HasExited() ||
                 (crowd.IsSettled() && HasReadAll());
        }),
        "all clients have sent what they send or are refused");
  Check(!m_daemon->Process().HasExited(), "the daemon lives");
  Check(CountDescriptors() <= m_options.clients + kOwnDescriptors,
        "the daemon's descriptors stay within the bound");
  Check(Call(m_daemon->OrdinaryCall("question")) == 200,
        "an ordinary request is answered");
  const std::uint64_t peak = PeakBytes();
  Check(peak > 0 && peak < m_options.memory_bytes,
        "the daemon's memory stays within the bound");
  std::cout << name << ": peak " << peak / 1'000'000 << " MB, "
            << crowd.Closed() << " of " << m_options.clients << " closed"
            << std::endl;
  return m_ok;
}

void MemoryRun::Check(bool condition, std::string_view rule) {
  if (!condition) {
    std::cout << "VIOLATION: not true that " << rule << std::endl;
    m_ok = false;
  }
}

template <typename Condition>
bool MemoryRun::RunUntil(Condition condition) {
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

int MemoryRun::Call(net::StreamCall call) {
  call.total_timeout = kTimeout / 2;
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

bool MemoryRun::HasReadAll() {
  const auto address = net::ParseIpPort(m_daemon->Address()).value();
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

std::string MemoryRun::ProcFolder() {
  return "/proc/" + std::to_string(m_daemon->Process().Id());
}

std::size_t MemoryRun::CountDescriptors() {
  std::error_code ignored;
  return static_cast<std::size_t>(std::distance(
      std::filesystem::directory_iterator(ProcFolder() + "/fd", ignored),
      std::filesystem::directory_iterator()));
}

std::uint64_t MemoryRun::PeakBytes() {
  std::ifstream status(ProcFolder() + "/status");
  for (std::string word; status >> word;) {
    std::uint64_t kib = 0;
    if (word == "VmHWM:" && status >> kib) {
      return kib * 1024;
    }
  }
  return 0;
}

}  // namespace jasminehatch::test
