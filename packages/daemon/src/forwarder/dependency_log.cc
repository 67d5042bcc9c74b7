#include "dependency_log.h"

#include <array>

#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {

using telemetry::DecisionLog;
using telemetry::DecisionLogField;

void LogDependency(DecisionLog& log,
                   std::string_view event,
                   std::string_view dependency,
                   std::string_view detail) {
  const std::array fields{DecisionLogField{"dependency", dependency},
                          DecisionLogField{"detail", detail}};
  log.Write(DecisionLog::Level::kState, event, fields);
}

}  // namespace jasminehatch::daemon
