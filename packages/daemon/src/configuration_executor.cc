#include "jasminehatch/detail/daemon/configuration_executor.h"

#include <set>
#include <string>
#include <utility>
#include <variant>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/daemon/event_sink.h"
#include "jasminehatch/detail/daemon/log_client.h"
#include "jasminehatch/detail/daemon/peer_link.h"
#include "jasminehatch/detail/json/config_record.h"
#include "jasminehatch/detail/json/log_record.h"
#include "jasminehatch/detail/reducer/state.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {

void ConfigurationExecutor::OnPage(const codec::LogPage& page,
                                   std::uint64_t from,
                                   bool end_reached) {
  config::LogRead event{codec::DecodeConfigPage(page, from), end_reached,
                        m_context.clock.WallNow()};
  for (const config::Record& record : event.page.records) {
    if (std::holds_alternative<std::monostate>(record.body)) {
      telemetry::LogWarning("config_record_skipped",
                            {{"offset", std::to_string(record.offset)}});
    }
  }
  m_context.sink.Post(config::Event{std::move(event)});
}

void ConfigurationExecutor::Execute(const config::Effect& effect) {
  std::visit([this](const auto& body) { Apply(body); }, effect);
}

void ConfigurationExecutor::Apply(const config::ApplyConfiguration& effect) {
  const std::set<std::string> evacuated_before =
      m_configuration.evacuated_zones;
  try {
    m_configuration = codec::Configuration::FromEntries(
        m_context.state.config.reader.Fold().Entries());
  } catch (const SettingsError& error) {
    // `jasminehatchctl publish` validates a change before it appends it, so
    // only records of another writer can fail here.
    telemetry::LogWarning("config_refused",
                          {{"version", std::to_string(effect.version)},
                           {"detail", error.what()}});
    m_context.sink.Post(
        config::Event{config::ApplyEnded{effect.version, false, error.what()}});
    return;
  }
  telemetry::LogInfo("config_in_force",
                     {{"version", std::to_string(effect.version)}});
  ReportEvacuations(evacuated_before, m_configuration.evacuated_zones);
  m_context.sink.Post(serving::Event{serving::UpstreamsConfigured{
      m_configuration.upstreams, m_configuration.residency}});
  m_context.sink.Post(
      config::Event{config::ApplyEnded{effect.version, true, ""}});
}

void ConfigurationExecutor::ReportEvacuations(
    const std::set<std::string>& before,
    const std::set<std::string>& now) {
  for (const std::string& zone : now) {
    if (!before.contains(zone)) {
      m_context.metrics.Count(Counter::kZoneEvacuated);
      telemetry::LogInfo("zone_evacuated", {{"zone", zone}});
    }
  }
  for (const std::string& zone : before) {
    if (!now.contains(zone)) {
      m_context.metrics.Count(Counter::kZoneEvacuationEnded);
      telemetry::LogInfo("zone_evacuation_ended", {{"zone", zone}});
    }
  }
}

void ConfigurationExecutor::Apply(const config::FetchFromPeer& effect) {
  telemetry::LogInfo(
      "config_read_from_peer",
      {{"peer", effect.peer}, {"from", std::to_string(effect.from)}});
  m_context.peers.FetchRecords(effect.peer, effect.from);
}

void ConfigurationExecutor::Apply(const config::AppendPart& effect) {
  m_context.appender.Append(
      kConfigStream, codec::EncodeSnapshotPart(effect.part),
      [this, covers = effect.part.covers, part = effect.part.part](
          booking::AppendResult result, std::uint64_t /*offset*/) {
        m_context.sink.Post(config::Event{config::PartAppended{
            covers, part, result == booking::AppendResult::kAppended}});
      });
}

void ConfigurationExecutor::Apply(const config::StaleChanged& effect) {
  telemetry::LogInfo(
      effect.stale ? "config_stale" : "config_fresh",
      {{"offset", std::to_string(m_context.state.config.Offset())}});
}

void ConfigurationExecutor::Apply(const CountEvent& effect) {
  m_context.metrics.Count(effect.counter);
}

}  // namespace jasminehatch::daemon
