#include "jasminehatch/detail/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

namespace jasminehatch::soak {
namespace {

using emulator::UpstreamEmulator;
using std::chrono::milliseconds;

constexpr char kService[] = "desk";

constexpr milliseconds kDeadline{2500};

/// A request that has no end this long after its deadline is overdue.
constexpr milliseconds kOverdueAfter{2000};

/// Time from a start of a daemon, or the end of a pause, in which it may miss
/// deadlines and close connections.
constexpr milliseconds kDisturbedTime{4000};

constexpr std::chrono::seconds kStopGrace{5};

constexpr milliseconds kMonitorInterval{100};

/// Mean rate of configurations in which only the key of the version changes;
/// most are the newest for longer than the apply limit.
constexpr double kVersionsPerSecond = 0.2;

/// Interval between the copies of the store.
constexpr milliseconds kCopyInterval{50};
/// Age of the oldest copy that a fault may need, with a margin.
constexpr milliseconds kCopyRetention{7000};

constexpr std::size_t kStreamEvents = 5;

/// Status of a request whose key the configuration in force does not have.
constexpr int kUnknownKeyStatus = 401;

/// Share of the requests that an upstream fails or rejects without an injected
/// fault.
constexpr double kBaseFailureShare = 0.01;

std::string WorkspaceOf(const std::string& key) {
  return "workspace-" + key;
}

/// @return a key that only one version of the configuration has
std::string VersionKey(std::uint64_t version) {
  return "version-" + std::to_string(version);
}

std::string EventText(std::size_t number) {
  return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

}  // namespace

SoakRun::SoakRun(const Options& options)
    : m_options(options), m_random(options.seed), m_checker({}) {}

SoakRun::~SoakRun() = default;

bool SoakRun::Run() {
  m_started_at = Now();
  for (const char* key : {"key-a", "key-b"}) {
    m_keys.emplace_back(key);
  }
  WriteConfiguration();
  m_upstreams.resize(m_options.upstreams);
  for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
    StartUpstream(i);
  }
  m_platform.KeepCopies(kCopyInterval, kCopyRetention);
  m_daemons.resize(m_options.daemons);
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    Daemon& daemon = m_daemons[i];
    daemon.name = "entry-" + std::to_string(i);
    daemon.address = m_host.NewTcpAddress(m_loop);
    daemon.ready_address = m_host.NewTcpAddress(m_loop);
    daemon.peer_address = m_host.NewUdpAddress(m_loop);
    daemon.settings_file = m_options.work_dir + "/" + daemon.name + ".ini";
    daemon.store_link =
        std::make_unique<LoopbackProxy>(m_loop, m_platform.Address());
    daemon.gossip_link = std::make_unique<DatagramProxy>(
        m_loop, daemon.peer_address, m_options.seed);
    StartDaemon(i);
  }
  Monitor();
  After(std::chrono::seconds(2), [this] {
    SendNext();
    PublishNext();
    InjectNextFault();
  });
  After(std::chrono::seconds(2) + m_options.fault_time,
        [this] { EndFaults(); });
  while (!m_done || !m_open.empty()) {
    m_loop.run_one();
  }
  m_checker.OnRecovered(m_sample_served, m_sample_sent);
  m_checker.Finish();
  return Report();
}

void SoakRun::WriteConfiguration() {
  static const emulator::PlatformRoute kRoutes[] = {
      {"once", "non_idempotent", 2, false},
      {"again", "idempotent", 3, false},
      {"stream", "streaming", 2, true}};
  std::vector<emulator::PlatformWorkspace> workspaces;
  std::map<std::string, std::string> workspace_by_key;
  const auto add = [&](const std::string& key) {
    workspaces.push_back({WorkspaceOf(key), key});
    workspace_by_key.emplace(key, WorkspaceOf(key));
  };
  ++m_version;
  std::for_each(m_keys.begin(), m_keys.end(), add);
  add(VersionKey(m_version));
  m_configuration =
      emulator::PlatformConfiguration(m_version, kService, kRoutes, workspaces);
  m_checker.OnConfiguration(m_version, workspace_by_key);
  PutConfiguration();
}

void SoakRun::PublishNext() {
  WriteConfiguration();
  const double seconds =
      std::exponential_distribution<double>(kVersionsPerSecond)(m_random);
  m_publish_timer.expires_after(std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(seconds)));
  m_publish_timer.async_wait(
      [this](const asio::error_code&) { PublishNext(); });
}

void SoakRun::PutConfiguration() {
  if (m_store_away) {
    return;
  }
  Log("the operator writes version " + std::to_string(m_version));
  m_platform.PutConfiguration(m_configuration);
  m_checker.OnAcknowledged(m_version, Now());
}

void SoakRun::StartUpstream(std::size_t index) {
  Upstream& upstream = m_upstreams[index];
  upstream.server = std::make_unique<UpstreamEmulator>(
      m_loop, "upstream-" + std::to_string(index));
  upstream.server->SetBehaviour([this, index](const auto& request) {
    return ChooseResponse(index, request);
  });
  upstream.link =
      std::make_unique<LoopbackProxy>(m_loop, upstream.server->Address());
  PutUpstream(upstream);
}

void SoakRun::PutUpstream(const Upstream& upstream) {
  if (m_store_away) {
    return;
  }
  const std::string& id = upstream.server->Id();
  const bool draining = upstream.state == UpstreamState::kDraining;
  m_platform.PutUpstream(
      id, upstream.state == UpstreamState::kRemoved
              ? ""
              : upstream.server->Entry(kService, draining,
                                       upstream.link->Address()));
  if (upstream.state != UpstreamState::kReady) {
    m_checker.OnUpstreamLeaving(id, Now());
  }
}

void SoakRun::Announce(std::size_t index, UpstreamState state) {
  Upstream& upstream = m_upstreams[index];
  upstream.state = state;
  if (state == UpstreamState::kReady) {
    m_checker.OnUpstreamReturned(upstream.server->Id());
  }
  PutUpstream(upstream);
}

UpstreamEmulator::Response SoakRun::ChooseResponse(
    std::size_t upstream,
    const net::HttpRequest& request) {
  using Response = UpstreamEmulator::Response;
  const emulator::ForwardedHeaders headers =
      emulator::ParseForwardedHeaders(request.headers);
  const std::string& id = headers.request;
  m_checker.OnArrived(id, Now());
  std::string process;
  const auto open = m_open.find(id);
  if (open != m_open.end()) {
    const Daemon& daemon = m_daemons[open->second.daemon];
    process = ProcessOf(daemon);
    // Faults of the link to the upstream may have held the request back.
    const MonotonicTime link_fault_until =
        m_upstreams[upstream].link_fault_until;
    auto undisturbed_since = UndisturbedSince(daemon);
    if (undisturbed_since && link_fault_until > *undisturbed_since) {
      undisturbed_since = link_fault_until;
    }
    if (undisturbed_since && *undisturbed_since > Now()) {
      undisturbed_since.reset();
    }
    m_checker.OnForwarded(id, m_upstreams[upstream].server->Id(),
                          undisturbed_since, Now());
  }
  Response response;
  if (Chance(m_upstreams[upstream].failure_share + kBaseFailureShare)) {
    constexpr Response::Kind kKinds[] = {
        Response::Kind::kNotRun, Response::Kind::kBreak, Response::Kind::kHang,
        Response::Kind::kRespond};
    response.kind = kKinds[Draw(std::size(kKinds))];
    response.status = 500;
  }
  if (response.kind == Response::Kind::kNotRun) {
    return response;
  }
  m_checker.OnRan(id, "signature-of-" + m_upstreams[upstream].server->Id(),
                  headers.workspace, headers.authorization, process);
  response.body = "answer to " + id;
  if (response.kind == Response::Kind::kRespond && response.status == 200 &&
      request.path.starts_with("/stream/")) {
    const std::string& after = headers.last_event_id;
    response.kind = Response::Kind::kStream;
    const std::size_t last_event = after.empty() ? 0 : std::stoul(after);
    const bool truncated =
        Chance(m_upstreams[upstream].failure_share + kBaseFailureShare);
    for (std::size_t i = last_event + 1;
         i <= kStreamEvents - (truncated ? 2 : 0); ++i) {
      response.events.push_back(EventText(i));
    }
    response.truncated = truncated;
  }
  return response;
}

void SoakRun::WriteSettings(const Daemon& daemon) {
  std::ofstream(daemon.settings_file)
      << "[forwarder]\nname = " << daemon.name
      << "\nzone = a\naddress = " << daemon.address
      << "\nready_address = " << daemon.ready_address
      << "\npeer_address = " << daemon.peer_address
      << "\nadvertised_peer_address = " << daemon.gossip_link->Address()
      << "\nstore_address = " << daemon.store_link->Address()
      << "\nstop_grace = " << kStopGrace.count()
      << "s\nrevoke_limit = 2500ms\ndrain_limit = 2000ms\n"
         "retry_ratio = 0.2\nretry_slack = 50\nretry_window = 10s\n";
}

const std::string& SoakRun::BinDirFor(std::size_t index) const {
  const bool other =
      (m_options.seed + index + m_daemons[index].starts) % 2 == 1;
  return other && !m_options.other_bin_dir.empty() ? m_options.other_bin_dir
                                                   : m_options.bin_dir;
}

void SoakRun::StartDaemon(std::size_t index) {
  Daemon& daemon = m_daemons[index];
  WriteSettings(daemon);
  daemon.process = testing::Process::Start(
      {BinDirFor(index) + "/jasminehatchd", "--settings", daemon.settings_file},
      m_options.work_dir + "/" + daemon.name + ".log");
  ++daemon.starts;
  daemon.disturbed_at = Now();
  daemon.stopping = false;
  daemon.paused = false;
}

void SoakRun::SendNext() {
  if (m_done) {
    return;
  }
  Send();
  const double seconds = std::exponential_distribution<double>(
      m_options.requests_per_second)(m_random);
  m_send_timer.expires_after(std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(seconds)));
  m_send_timer.async_wait([this](const asio::error_code&) { SendNext(); });
}

void SoakRun::Send() {
  constexpr const char* kPaths[] = {"/once/x", "/again/x", "/stream/x"};
  constexpr RequestKind kKinds[] = {
      RequestKind::kOnce, RequestKind::kIdempotent, RequestKind::kStream};
  const std::size_t kind = Draw(std::size(kPaths));
  const std::string id = "request-" + std::to_string(m_next_request++);
  const std::string key = DrawKey();
  OpenRequest open;
  open.daemon = Draw(m_daemons.size());
  open.kind = kKinds[kind];
  open.sent_at = Now();
  open.overdue_at = open.sent_at + kDeadline + kOverdueAfter;
  open.sample = m_sampling &&
                (key == VersionKey(m_version) ||
                 std::find(m_keys.begin(), m_keys.end(), key) != m_keys.end());
  m_sample_sent += open.sample ? 1 : 0;
  net::StreamCall call;
  call.address = m_daemons[open.daemon].address;
  call.method = "POST";
  call.target = kPaths[kind];
  call.body = "body of " + id;
  call.headers = emulator::CallerHeaders(id, key, kDeadline);
  m_checker.OnSent(id, open.kind, key, ProcessOf(m_daemons[open.daemon]),
                   open.sent_at);
  m_open.emplace(id, std::move(open));
  net::StreamClient::Callbacks callbacks;
  callbacks.on_head = [this, id](const net::StreamHead& head) {
    const auto found = m_open.find(id);
    if (found != m_open.end()) {
      found->second.view.status = head.status;
      found->second.view.signature = emulator::SignatureOf(head.headers);
    }
  };
  callbacks.on_data = [this, id](std::string_view data) {
    const auto found = m_open.find(id);
    if (found != m_open.end()) {
      found->second.view.body += data;
    }
  };
  callbacks.on_end = [this, id](const net::StreamEnd& end) { OnEnd(id, end); };
  m_client.Start(std::move(call), std::move(callbacks));
}

/// Callers keep using keys for a while after they were revoked.
std::string SoakRun::DrawKey() {
  const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
  if (draw < 0.1 && m_next_key > 0) {
    return "key-" + std::to_string(Draw(m_next_key));
  }
  if (draw < 0.2) {
    const std::uint64_t oldest = m_version > 3 ? m_version - 3 : 1;
    return VersionKey(oldest + Draw(m_version - oldest + 1));
  }
  if (draw < 0.4) {
    return VersionKey(m_version);
  }
  return m_keys[Draw(m_keys.size())];
}

std::string SoakRun::ProcessOf(const Daemon& daemon) const {
  return daemon.name + " start " + std::to_string(daemon.starts);
}

std::optional<MonotonicTime> SoakRun::UndisturbedSince(
    const Daemon& daemon) const {
  const MonotonicTime since = std::max(
      {daemon.disturbed_at, daemon.store_link_fault_until, m_store_back_at});
  const bool disturbed =
      !daemon.process || daemon.paused || m_store_faults > 0 || since > Now();
  return disturbed ? std::nullopt : std::optional(since);
}

void SoakRun::SuspendStore() {
  ++m_store_faults;
  m_platform.SetDown(true);
}

void SoakRun::ResumeStore() {
  --m_store_faults;
  m_platform.SetDown(m_store_faults > 0);
  m_store_back_at = Now();
}

bool SoakRun::WasDisturbed(const OpenRequest& open) const {
  const Daemon& daemon = m_daemons[open.daemon];
  return daemon.paused || !daemon.process ||
         daemon.disturbed_at + kDisturbedTime > open.sent_at;
}

void SoakRun::OnEnd(const std::string& id, const net::StreamEnd& end) {
  const auto node = m_open.extract(id);
  if (node.empty()) {
    return;
  }
  OpenRequest open = node.mapped();
  open.view.complete = end.kind == net::StreamEnd::Kind::kComplete;
  if (end.kind == net::StreamEnd::Kind::kNotSent) {
    // While faults last, a load balancer would have chosen another daemon; a
    // request of the sample counts as not served.
    return;
  }
  if (open.view.status == 0) {
    m_checker.OnNoResponse(id, WasDisturbed(open),
                           m_daemons[open.daemon].stopping);
    return;
  }
  m_sample_served +=
      open.sample && open.view.status == 200 && open.view.complete ? 1 : 0;
  if (open.view.status == kUnknownKeyStatus) {
    const Daemon& daemon = m_daemons[open.daemon];
    m_checker.OnKeyRefused(id, ProcessOf(daemon), UndisturbedSince(daemon));
  }
  m_checker.OnResponse(id, open.view);
}

void SoakRun::Monitor() {
  const MonotonicTime now = Now();
  for (auto entry = m_open.begin(); entry != m_open.end();) {
    if (entry->second.overdue_at > now) {
      ++entry;
      continue;
    }
    m_checker.OnOverdue(entry->first, WasDisturbed(entry->second));
    entry = m_open.erase(entry);
  }
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    Daemon& daemon = m_daemons[i];
    if (daemon.process && daemon.process->HasExited()) {
      if (!daemon.stopping) {
        m_checker.OnExit(daemon.name);
      }
      StartDaemon(i);
    }
    if (daemon.process) {
      CheckMemory(daemon);
    }
  }
  m_monitor_timer.expires_after(kMonitorInterval);
  m_monitor_timer.async_wait([this](const asio::error_code&) { Monitor(); });
}

void SoakRun::CheckMemory(const Daemon& daemon) {
  std::ifstream status("/proc/" + std::to_string(daemon.process->Id()) +
                       "/status");
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      std::uint64_t kib = 0;
      status >> kib;
      m_checker.OnMemory(daemon.name, kib, m_options.memory_limit_kib);
      return;
    }
  }
}

void SoakRun::After(milliseconds delay, std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
  timer->async_wait([timer, action = std::move(action)](
                        const asio::error_code&) { action(); });
}

void SoakRun::Log(const std::string& text) {
  std::cout << (Now() - m_started_at) / milliseconds(1) << " ms  " << text
            << '\n';
}

bool SoakRun::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

std::size_t SoakRun::Draw(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

milliseconds SoakRun::DrawTime(int min_ms, int max_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(m_random));
}

MonotonicTime SoakRun::Now() const {
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

bool SoakRun::Report() {
  for (const auto& [what, count] : m_checker.Counts()) {
    std::cout << "  " << what << ": " << count << '\n';
  }
  for (const std::string& violation : m_checker.Violations()) {
    std::cout << "VIOLATION " << violation << '\n';
  }
  return m_checker.Violations().empty();
}

}  // namespace jasminehatch::soak
