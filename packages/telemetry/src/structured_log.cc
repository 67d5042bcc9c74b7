#include "jasminehatch/detail/telemetry/structured_log.h"

#include <glog/logging.h>

#include <string>

namespace jasminehatch::telemetry {
namespace {

std::string Format(std::string_view event,
                   std::initializer_list<LogField> fields) {
  std::string line = "event=" + std::string(event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.name;
    line += "=\"";
    for (const char c : field.value) {
      // Quotes, backslashes and control characters would break the format.
      if (c == '"' || c == '\\') {
        line += '\\';
        line += c;
      } else if (static_cast<unsigned char>(c) < 0x20U) {
        line += '?';
      } else {
        line += c;
      }
    }
    line += '"';
  }
  return line;
}

}  // namespace

void InitLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

void LogInfo(std::string_view event, std::initializer_list<LogField> fields) {
  LOG(INFO) << Format(event, fields);
}

void LogWarning(std::string_view event,
                std::initializer_list<LogField> fields) {
  LOG(WARNING) << Format(event, fields);
}

}  // namespace jasminehatch::telemetry
