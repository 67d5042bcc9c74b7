#ifndef JASMINEHATCH_DETAIL_SOAK_SOAK_RUN_H_
#define JASMINEHATCH_DETAIL_SOAK_SOAK_RUN_H_

#include <jasminehatch/emulator.h>
#include <jasminehatch/net.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "jasminehatch/detail/soak/datagram_proxy.h"
#include "jasminehatch/detail/soak/guarantee_checker.h"
#include "jasminehatch/detail/soak/loopback_proxy.h"
#include "jasminehatch/detail/testing/process.h"

namespace jasminehatch::soak {

/// @brief One soak run: daemons as processes, emulators of the platform's store
/// and of upstreams behind proxies, callers, and faults drawn from a seed.
class SoakRun {
 public:
  struct Options {
    std::string bin_dir;
    std::string work_dir;  ///< Holds settings and logs of the daemons.
    std::uint64_t seed = 1;
    std::chrono::seconds fault_time{15};
    std::size_t daemons = 4;
    std::size_t upstreams = 4;
    double requests_per_second = 80;
    /// Memory limit of a daemon: the memory of the smallest VM.
    std::uint64_t memory_limit_kib = std::uint64_t{88} * 1024;
  };

  explicit SoakRun(const Options& options);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  /// @return whether no guarantee was violated
  bool Run();

 private:
  struct Daemon {
    std::string name;
    std::string address;
    std::string ready_address;
    std::string peer_address;
    std::string settings_file;
    std::unique_ptr<LoopbackProxy> store_link;
    std::unique_ptr<DatagramProxy> gossip_link;
    std::unique_ptr<testing::Process> process;
    MonotonicTime disturbed_at{};  ///< Last kill, pause, resume or start.
    bool paused = false;
    bool stopping = false;
  };
  struct Upstream {
    std::unique_ptr<emulator::UpstreamEmulator> server;
    std::unique_ptr<LoopbackProxy> link;
    double failure_share = 0;
    bool registered = true;
  };
  struct OpenRequest {
    std::size_t daemon = 0;
    RequestKind kind = RequestKind::kOnce;
    MonotonicTime sent_at{};
    MonotonicTime overdue_at{};
    CallerView view;
    bool sample = false;  ///< Sent after all faults had ended.
  };
  using Fault = void (SoakRun::*)();

  /// @return the faults that a run draws from
  static std::span<const Fault> Faults();

  void StartUpstream(std::size_t index);
  void StartDaemon(std::size_t index);
  void WriteSettings(const Daemon& daemon);
  void WriteConfiguration();
  void Register(const Upstream& upstream, bool draining);
  emulator::UpstreamEmulator::Response ChooseResponse(
      std::size_t upstream,
      const net::HttpRequest& request);

  void SendNext();
  void Send();
  void OnEnd(const std::string& id, const net::StreamEnd& end);
  void Monitor();
  bool WasDisturbed(const OpenRequest& open) const;
  void CheckMemory(const Daemon& daemon);

  void InjectNextFault();
  void KillDaemon();
  void StopDaemon();
  void PauseDaemon();
  void ReloadDaemon();
  void InjectStoreLinkFault();
  void InjectUpstreamLinkFault();
  void InjectGossipLinkFault();
  void StopStore();
  void CompactStore();
  void FailUpstream();
  void DrainUpstream();
  void ReplaceKey();
  void EndFaults();

  void After(std::chrono::milliseconds delay, std::function<void()> action);
  void Log(const std::string& text);
  bool Chance(double share);
  std::size_t Draw(std::size_t count);
  std::chrono::milliseconds DrawTime(int min_ms, int max_ms);
  MonotonicTime Now() const;
  bool Report();

  Options m_options;
  std::mt19937_64 m_random;
  asio::io_context m_loop{1};
  emulator::LoopbackHost m_host;
  emulator::PlatformEmulator m_platform{m_loop};
  net::StreamClient m_client{m_loop, {}};
  std::vector<Daemon> m_daemons;
  std::vector<Upstream> m_upstreams;
  std::map<std::string, OpenRequest> m_open;
  GuaranteeChecker m_checker;
  asio::steady_timer m_send_timer{m_loop};
  asio::steady_timer m_fault_timer{m_loop};
  asio::steady_timer m_monitor_timer{m_loop};
  std::vector<std::string> m_keys;  ///< Keys in force.
  std::uint64_t m_next_key = 0;
  std::uint64_t m_next_request = 0;
  std::uint64_t m_version = 0;
  MonotonicTime m_started_at{};
  std::size_t m_sample_sent = 0;
  std::size_t m_sample_served = 0;
  bool m_faults_over = false;
  bool m_sampling = false;
  bool m_done = false;
};

}  // namespace jasminehatch::soak

#endif  // JASMINEHATCH_DETAIL_SOAK_SOAK_RUN_H_
