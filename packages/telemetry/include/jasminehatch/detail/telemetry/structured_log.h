#ifndef JASMINEHATCH_DETAIL_TELEMETRY_STRUCTURED_LOG_H_
#define JASMINEHATCH_DETAIL_TELEMETRY_STRUCTURED_LOG_H_

#include <initializer_list>
#include <string_view>

namespace jasminehatch::telemetry {

/// @brief One field of a log line. Prompts, responses and keys must not be
/// logged.
struct LogField {
  std::string_view name;
  std::string_view value;
};

/// Initialises glog to log to standard error.
void InitLogging(const char* program);

/// @brief Writes `event=<name> field="value" ...` through glog at level INFO.
void LogInfo(std::string_view event, std::initializer_list<LogField> fields);

/// @brief Writes `event=<name> field="value" ...` through glog at level
/// WARNING.
void LogWarning(std::string_view event, std::initializer_list<LogField> fields);

}  // namespace jasminehatch::telemetry

#endif  // JASMINEHATCH_DETAIL_TELEMETRY_STRUCTURED_LOG_H_
