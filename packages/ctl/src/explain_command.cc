#include <fstream>
#include <iostream>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/request_trace.h"

namespace jasminehatch::ctl {
namespace {

void PrintText(const RequestTrace& trace) {
  const std::int64_t start =
      trace.Lines().empty() ? 0 : trace.Lines().front().time_ms;
  for (const RequestTrace::Line& line : trace.Lines()) {
    std::cout << '+' << line.time_ms - start << " ms  " << line.source << "  "
              << line.fields.value("event", "");
    for (const auto& [name, value] : line.fields.items()) {
      if (name != "time_ms" && name != "event" && name != "request") {
        std::cout << "  " << name << '='
                  << (value.is_string() ? value.get<std::string>()
                                        : value.dump());
      }
    }
    std::cout << '\n';
  }
  for (const std::string& gap : trace.Gaps()) {
    std::cout << "gap: " << gap << '\n';
  }
}

void PrintJson(const std::string& request, const RequestTrace& trace) {
  nlohmann::json lines = nlohmann::json::array();
  for (const RequestTrace::Line& line : trace.Lines()) {
    lines.push_back({{"time_ms", line.time_ms},
                     {"source", line.source},
                     {"fields", line.fields}});
  }
  std::cout << nlohmann::json{{"request", request},
                              {"found", trace.HasRequest()},
                              {"lines", std::move(lines)},
                              {"gaps", trace.Gaps()},
                              {"skipped_lines", trace.SkippedLines()}}
                   .dump()
            << '\n';
}

}  // namespace

int ExplainCommand(Arguments arguments) {
  if (arguments.empty()) {
    return kExitUsage;
  }
  RequestTrace trace(arguments[0]);
  if (arguments.size() == 1) {
    trace.Read(std::cin, "standard input");
  }
  for (const std::string& file : arguments.subspan(1)) {
    std::ifstream log(file);
    if (!log) {
      std::cerr << "cannot read " << file << '\n';
      return kExitUsage;
    }
    trace.Read(log, file);
  }
  trace.Finish();
  if (FLAGS_json) {
    PrintJson(arguments[0], trace);
  } else {
    PrintText(trace);
  }
  return trace.HasRequest() ? kExitOk : kExitUnknown;
}

}  // namespace jasminehatch::ctl
