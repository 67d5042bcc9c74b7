#ifndef JASMINEHATCH_DETAIL_DAEMON_CONFIGURATION_EXECUTOR_H_
#define JASMINEHATCH_DETAIL_DAEMON_CONFIGURATION_EXECUTOR_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "jasminehatch/detail/config/effect.h"
#include "jasminehatch/detail/configuration/configuration.h"

namespace jasminehatch {
class Clock;
struct State;
}  // namespace jasminehatch

namespace jasminehatch::codec {
struct LogPage;
}

namespace jasminehatch::telemetry {
class Metrics;
}

namespace jasminehatch::daemon {

class EventSink;
class LogAppender;
class PeerLink;

/// Log stream that holds the configuration changes.
inline constexpr std::string_view kConfigStream = "config";

/// @brief Executes the effects of the configuration reducer and holds the typed
/// configuration in force.
class ConfigurationExecutor {
 public:
  /// @brief Components that the executor uses; all outlive it.
  struct Context {
    const Clock& clock;
    const State& state;
    EventSink& sink;
    LogAppender& appender;
    PeerLink& peers;
    telemetry::Metrics& metrics;
  };

  explicit ConfigurationExecutor(const Context& context) : m_context(context) {}

  /// Passes a page of the configuration stream to the reducer.
  /// @param from offset that was requested
  /// @param end_reached whether no later record existed
  void OnPage(const codec::LogPage& page, std::uint64_t from, bool end_reached);

  void Execute(const config::Effect& effect);

  /// @return the configuration in force
  const codec::Configuration& Current() const { return m_configuration; }

 private:
  void Apply(const config::ApplyConfiguration& effect);
  void Apply(const config::FetchFromPeer& effect);
  void Apply(const config::AppendPart& effect);
  /// No action: the reducer forwards this effect to the membership reducer.
  void Apply(const config::SurveyPeers& /*effect*/) {}
  void Apply(const config::StaleChanged& effect);
  void Apply(const CountEvent& effect);
  /// Counts and logs the zones whose evacuation began or ended.
  void ReportEvacuations(const std::set<std::string>& before,
                         const std::set<std::string>& now);

  Context m_context;
  codec::Configuration m_configuration;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_CONFIGURATION_EXECUTOR_H_
