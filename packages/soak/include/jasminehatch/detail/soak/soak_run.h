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
    /// Of the build that half of all starts of daemons use; empty for none.
    std::string other_bin_dir;
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
  /// What an upstream announces of itself.
  enum class UpstreamState { kReady, kDraining, kRemoved };
  struct Daemon {
    std::string name;
    std::string address;
    std::string ready_address;
    std::string peer_address;
    std::string settings_file;
    std::unique_ptr<LoopbackProxy> store_link;
    std::unique_ptr<DatagramProxy> gossip_link;
    std::unique_ptr<testing::Process> process;
    std::uint64_t starts = 0;
    MonotonicTime disturbed_at{};  ///< Last kill, pause, resume or start.
    /// End of the last fault of the link to the store.
    MonotonicTime store_link_fault_until{};
    bool paused = false;
    bool stopping = false;
  };
  struct Upstream {
    std::unique_ptr<emulator::UpstreamEmulator> server;
    std::unique_ptr<LoopbackProxy> link;
    double failure_share = 0;
    UpstreamState state = UpstreamState::kReady;
    /// End of the last fault of the link to it.
    MonotonicTime link_fault_until{};
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
  /// @return the folder of the build for the next start of a daemon. Each
  /// daemon changes its build at each start, and half begin with either.
  const std::string& BinDirFor(std::size_t index) const;
  void WriteSettings(const Daemon& daemon);
  /// Publishes the keys that are in force.
  void WriteConfiguration();
  /// Publishes a configuration from time to time, also after all faults.
  void PublishNext();
  /// Writes the newest configuration, unless the store is away.
  void PutConfiguration();
  /// Writes the registry entry of an upstream, unless the store is away.
  void PutUpstream(const Upstream& upstream);
  void Announce(std::size_t index, UpstreamState state);
  emulator::UpstreamEmulator::Response ChooseResponse(
      std::size_t upstream,
      const net::HttpRequest& request);

  void SendNext();
  void Send();
  std::string DrawKey();
  void OnEnd(const std::string& id, const net::StreamEnd& end);
  void Monitor();
  bool WasDisturbed(const OpenRequest& open) const;
  /// @return a name for the process of a daemon, which no later one has
  std::string ProcessOf(const Daemon& daemon) const;
  /// @return since when nothing has been injected that keeps a daemon from the
  /// store; nothing during a fault
  std::optional<MonotonicTime> UndisturbedSince(const Daemon& daemon) const;
  /// Rejects all calls of the store until a matching `ResumeStore`.
  void SuspendStore();
  void ResumeStore();
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
  void RestoreStore();
  void ReturnFromOlderCopy(std::chrono::milliseconds age);
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
  asio::steady_timer m_publish_timer{m_loop};
  asio::steady_timer m_monitor_timer{m_loop};
  std::vector<std::string> m_keys;  ///< Keys in force.
  std::uint64_t m_next_key = 0;
  std::uint64_t m_next_request = 0;
  std::uint64_t m_version = 0;
  std::string m_configuration;     ///< The newest one.
  std::size_t m_store_faults = 0;  ///< Faults for which the store is down.
  /// During a drill: the store takes no writes.
  bool m_store_away = false;
  MonotonicTime m_store_back_at{};  ///< End of its last fault.
  MonotonicTime m_started_at{};
  std::size_t m_sample_sent = 0;
  std::size_t m_sample_served = 0;
  bool m_faults_over = false;
  bool m_sampling = false;
  bool m_done = false;
};

}  // namespace jasminehatch::soak

#endif  // JASMINEHATCH_DETAIL_SOAK_SOAK_RUN_H_
