#ifndef JASMINEHATCH_FORWARDER_DEPENDENCY_LOG_H_
#define JASMINEHATCH_FORWARDER_DEPENDENCY_LOG_H_

#include <string_view>

namespace jasminehatch::telemetry {
class DecisionLog;
}

namespace jasminehatch::daemon {

/// Logs an event of the state that this daemon reads from the platform's store.
/// @param dependency what was read, such as a topic or the key of a record
void LogDependency(telemetry::DecisionLog& log,
                   std::string_view event,
                   std::string_view dependency,
                   std::string_view detail);

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_FORWARDER_DEPENDENCY_LOG_H_
