#include "jasminehatch/detail/daemon/daemon.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/daemon/booking_executor.h"
#include "jasminehatch/detail/daemon/caller_table.h"
#include "jasminehatch/detail/daemon/configuration_executor.h"
#include "jasminehatch/detail/daemon/gateway.h"
#include "jasminehatch/detail/daemon/log_client.h"
#include "jasminehatch/detail/daemon/peer_link.h"
#include "jasminehatch/detail/daemon/reducer_host.h"
#include "jasminehatch/detail/daemon/serving_executor.h"
#include "jasminehatch/detail/daemon/upstream_monitor.h"
#include "jasminehatch/detail/daemon/vm_list_poller.h"
#include "jasminehatch/detail/http/http_client.h"
#include "jasminehatch/detail/http/http_server.h"
#include "jasminehatch/detail/http/response_writer.h"
#include "jasminehatch/detail/json/log_record.h"
#include "jasminehatch/detail/process/system_memory.h"
#include "jasminehatch/detail/settings/daemon_settings.h"
#include "jasminehatch/detail/shedding/refusal_summary.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

/// Interval of the check whether a stopping daemon has finished its work.
constexpr std::chrono::milliseconds kStopCheckInterval{10};

/// @return this daemon, and those of all zones
serving::FleetConfigured DescribeFleet(const codec::DaemonSettings& settings) {
  serving::FleetConfigured fleet{settings.name, settings.zone, {}};
  for (const codec::PeerSettings& peer : settings.peers) {
    fleet.others.push_back({peer.name, peer.zone});
  }
  return fleet;
}

const net::HttpHeaders kJsonHeaders{{"Content-Type", "application/json"}};

}  // namespace

class Daemon::Impl {
 public:
  Impl(asio::io_context& loop,
       const codec::DaemonSettings& settings,
       const Clock& clock,
       std::uint64_t incarnation)
      : m_settings(settings),
        m_incarnation(incarnation),
        m_stop_timer(loop),
        m_client(loop),
        m_callers(m_metrics),
        m_host(loop, clock),
        m_appender(m_client, settings.log_url, settings.log_timeout),
        m_peers(
            {m_settings, m_host.CurrentState(), m_host, m_client, m_metrics},
            [this](const std::vector<booking::LogEntry>& entries) {
              m_appender.Append(kBookingStream,
                                codec::EncodeBookingEntries(entries),
                                [](booking::AppendResult /*result*/,
                                   std::uint64_t /*offset*/) {});
            }),
        m_configuration({clock, m_host.CurrentState(), m_host, m_appender,
                         m_peers, m_metrics}),
        m_serving({loop, clock, m_settings, m_host.CurrentState(), m_host,
                   m_callers, m_client, m_metrics}),
        m_booking({clock, m_settings, m_host.CurrentState(), m_host, m_callers,
                   m_client, m_appender, m_metrics}),
        m_gateway({clock, m_settings, m_host, m_callers, m_metrics,
                   [this]() -> const codec::Configuration& {
                     return m_configuration.Current();
                   },
                   incarnation}),
        m_monitor(loop,
                  m_host.CurrentState(),
                  m_host,
                  m_client,
                  settings.load_interval),
        m_config_follower(loop,
                          m_client,
                          settings.log_url,
                          std::string(kConfigStream),
                          [this](const codec::LogPage& page) {
                            m_configuration.OnPage(
                                page, m_config_follower.RequestedOffset(),
                                m_config_follower.IsCaughtUp());
                          }),
        m_booking_follower(loop,
                           m_client,
                           settings.log_url,
                           std::string(kBookingStream),
                           [this](const codec::LogPage& page) {
                             m_bookings_caught_up =
                                 m_bookings_caught_up ||
                                 m_booking_follower.IsCaughtUp();
                             m_booking.OnPage(page);
                           }),
        m_vm_list(loop,
                  m_host,
                  m_client,
                  settings.vm_list_url,
                  settings.vm_list_interval),
        m_server(loop,
                 {.address = settings.address,
                  .port = settings.port,
                  .body_limit = settings.body_limit,
                  .read_timeout = settings.read_timeout,
                  .memory = shedding::Options::For(
                      settings.memory != 0 ? settings.memory
                                           : net::SystemMemoryBytes(),
                      net::DescriptorLimit()),
                  .on_refusal =
                      [this, &clock](shedding::CallerRefusal reason) {
                        m_metrics.CountCallerRefusal(reason);
                        m_refusals.Count(reason);
                        LogCallerRefusals(clock.Now());
                      }},
                 [this](net::HttpRequest request,
                        std::shared_ptr<net::ResponseWriter> writer) {
                   OnRequest(std::move(request), std::move(writer));
                 }) {
    State& state = m_host.MutableState();
    state.serving.options = settings.serving;
    state.booking.options = settings.booking;
    state.booking.daemon = settings.name;
    state.booking.incarnation = incarnation;
    m_host.SetExecutor([this](const Effect& effect) { Execute(effect); });
    m_serving.SetResyncCallback(
        [this](UpstreamId upstream) { m_monitor.FetchCacheListing(upstream); });
    state.config.options = settings.config;
    state.membership.options = settings.membership;
    std::random_device random;
    m_host.Post(serving::Event{DescribeFleet(settings)});
    m_host.Post(
        config::Event{config::Started{random(), !m_peers.PeerNames().empty()}});
    m_host.Post(membership::Event{membership::Started{
        settings.name, incarnation, random(), m_peers.PeerNames()}});
    m_config_follower.Start();
    m_vm_list.Start();
    m_booking_follower.Start();
    m_monitor.Start();
    telemetry::LogInfo("daemon_started",
                       {{"name", settings.name},
                        {"zone", settings.zone},
                        {"port", std::to_string(m_server.Port())}});
  }

  std::uint16_t Port() const { return m_server.Port(); }

  bool IsReady() const {
    // If the log has been unreachable since the start, the daemon serves
    // prompts with a peer's configuration; the booking reducer refuses
    // bookings.
    const config::State& state = m_host.CurrentState().config;
    return !m_stopping && state.ready &&
           (m_bookings_caught_up || !state.log_end_reached);
  }

  void Stop(std::function<void()> on_stopped) {
    const bool first = !std::exchange(m_stopping, true);
    if (first) {
      m_on_stopped = std::move(on_stopped);
      telemetry::LogInfo("stop_requested",
                         {{"in_progress", std::to_string(m_callers.Size())}});
    }
    Schedule(first ? m_settings.stop_delay : std::chrono::milliseconds(0),
             &Impl::RefuseNewRequests);
  }

  const telemetry::Metrics& CurrentMetrics() const { return m_metrics; }

 private:
  void Schedule(std::chrono::milliseconds delay, void (Impl::*next)()) {
    m_stop_timer.expires_after(delay);
    m_stop_timer.async_wait([this, next](const asio::error_code& error) {
      if (!error) {
        (this->*next)();
      }
    });
  }

  void RefuseNewRequests() {
    m_host.Post(ShutdownRequested{});
    FinishWhenIdle();
  }

  void FinishWhenIdle() {
    const booking::State& bookings = m_host.CurrentState().booking;
    const bool idle = m_callers.Size() == 0 && bookings.claims.empty() &&
                      bookings.batch.empty() && bookings.appends.empty() &&
                      m_host.CurrentState().membership.probing.empty() &&
                      m_server.UnfinishedResponses() == 0;
    if (!idle) {
      Schedule(kStopCheckInterval, &Impl::FinishWhenIdle);
      return;
    }
    telemetry::LogInfo("stopped", {});
    m_server.Close();
    m_on_stopped();
  }

  void Execute(const Effect& effect) {
    if (const auto* serving_effect = std::get_if<serving::Effect>(&effect)) {
      m_serving.Execute(*serving_effect);
    } else if (const auto* booking_effect =
                   std::get_if<booking::Effect>(&effect)) {
      m_booking.Execute(*booking_effect);
    } else if (const auto* config_effect =
                   std::get_if<config::Effect>(&effect)) {
      m_configuration.Execute(*config_effect);
      m_config_follower.SkipTo(m_host.CurrentState().config.reader.Next());
    } else {
      m_peers.Execute(std::get<membership::Effect>(effect));
    }
  }

  /// Logs how many callers were refused, at most once a second for each reason.
  void LogCallerRefusals(MonotonicTime now) {
    while (const auto line = m_refusals.TakeLine(now)) {
      telemetry::LogWarning("callers_refused",
                            {{"reason", ToString(line->reason)},
                             {"count", std::to_string(line->count)}});
    }
  }

  void OnRequest(net::HttpRequest request,
                 std::shared_ptr<net::ResponseWriter> writer) {
    if (request.path == "/livez") {
      writer->Send(200, kJsonHeaders, R"({"live":true})");
    } else if (request.path == "/readyz") {
      writer->Send(IsReady() ? 200 : 503, kJsonHeaders, ReadyDocument().dump());
    } else if (request.path == "/metrics") {
      m_metrics.SetCallerMemory(m_server.MemoryBytes());
      writer->Send(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                   m_metrics.Render() + ConfigMetrics());
    } else if (request.path == "/rpc") {
      writer->Send(200, kJsonHeaders, m_peers.Handle(request.body));
    } else if (request.path == "/status") {
      writer->Send(200, kJsonHeaders, StatusDocument().dump());
    } else {
      m_gateway.OnRequest(std::move(request), std::move(writer));
    }
  }

  std::string ConfigMetrics() const {
    const config::State& state = m_host.CurrentState().config;
    return "jasminehatch_config_stale " + std::to_string(state.stale ? 1 : 0) +
           "\njasminehatch_config_version " + std::to_string(state.applied) +
           "\njasminehatch_config_offset " + std::to_string(state.Offset()) +
           "\n";
  }

  nlohmann::json ReadyDocument() const {
    const config::State& state = m_host.CurrentState().config;
    return {{"ready", IsReady()},
            {"stopping", m_stopping},
            {"config_version", state.applied},
            {"config_offset", state.Offset()},
            {"config_stale", state.stale},
            {"config_refused", state.invalid_version.value_or(0)},
            {"bookings_caught_up", m_bookings_caught_up}};
  }

  nlohmann::json StatusDocument() const {
    nlohmann::json document = ReadyDocument();
    document["name"] = m_settings.name;
    document["zone"] = m_settings.zone;
    document["incarnation"] = m_incarnation;
    document["in_progress"] = m_callers.Size();
    document["config_refused_detail"] =
        m_host.CurrentState().config.invalid_detail;
    document["peers"] = nlohmann::json::array();
    for (const auto& [name, peer] : m_host.CurrentState().membership.peers) {
      document["peers"].push_back(
          {{"name", name},
           {"status", membership::ToString(peer.status)},
           {"incarnation", peer.incarnation}});
    }
    document["upstreams"] = nlohmann::json::array();
    for (const serving::UpstreamView& view :
         m_host.CurrentState().serving.upstreams) {
      document["upstreams"].push_back({{"name", view.spec.name},
                                       {"model", view.spec.model},
                                       {"configured", view.configured},
                                       {"leaving", view.leaving},
                                       {"evacuated", view.spec.evacuated},
                                       {"reachable", view.reachable},
                                       {"in_flight", view.in_flight}});
    }
    return document;
  }

  codec::DaemonSettings m_settings;
  std::uint64_t m_incarnation;
  telemetry::Metrics m_metrics;
  shedding::RefusalSummary m_refusals;
  asio::steady_timer m_stop_timer;
  net::HttpClient m_client;
  CallerTable m_callers;
  ReducerHost m_host;
  LogAppender m_appender;
  PeerLink m_peers;
  ConfigurationExecutor m_configuration;
  ServingExecutor m_serving;
  BookingExecutor m_booking;
  Gateway m_gateway;
  UpstreamMonitor m_monitor;
  LogFollower m_config_follower;
  LogFollower m_booking_follower;
  VmListPoller m_vm_list;
  net::HttpServer m_server;
  std::function<void()> m_on_stopped;
  bool m_stopping = false;
  bool m_bookings_caught_up = false;
};

Daemon::Daemon(asio::io_context& loop,
               const codec::DaemonSettings& settings,
               const Clock& clock,
               std::uint64_t incarnation)
    : m_impl(std::make_unique<Impl>(loop, settings, clock, incarnation)) {}

Daemon::~Daemon() = default;

std::uint16_t Daemon::Port() const {
  return m_impl->Port();
}

bool Daemon::IsReady() const {
  return m_impl->IsReady();
}

void Daemon::Stop(std::function<void()> on_stopped) {
  m_impl->Stop(std::move(on_stopped));
}

const telemetry::Metrics& Daemon::CurrentMetrics() const {
  return m_impl->CurrentMetrics();
}

}  // namespace jasminehatch::daemon
