#include <fstream>
#include <iostream>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/commands.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/request_story.h"

namespace jasminehatch::ctl {
namespace {

void PrintText(const RequestStory& story) {
  const std::int64_t start =
      story.Lines().empty() ? 0 : story.Lines().front().time_ms;
  for (const RequestStory::Line& line : story.Lines()) {
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
  for (const std::string& gap : story.Gaps()) {
    std::cout << "gap: " << gap << '\n';
  }
}

void PrintJson(const std::string& request, const RequestStory& story) {
  nlohmann::json lines = nlohmann::json::array();
  for (const RequestStory::Line& line : story.Lines()) {
    lines.push_back({{"time_ms", line.time_ms},
                     {"source", line.source},
                     {"fields", line.fields}});
  }
  std::cout << nlohmann::json{{"request", request},
                              {"found", story.Found()},
                              {"lines", std::move(lines)},
                              {"gaps", story.Gaps()},
                              {"skipped_lines", story.SkippedLines()}}
                   .dump()
            << '\n';
}

}  // namespace

int ExplainCommand(Arguments arguments) {
  if (arguments.empty()) {
    return kExitUsage;
  }
  RequestStory story(arguments[0]);
  if (arguments.size() == 1) {
    story.Read(std::cin, "standard input");
  }
  for (const std::string& file : arguments.subspan(1)) {
    std::ifstream log(file);
    if (!log) {
      std::cerr << "cannot read " << file << '\n';
      return kExitUsage;
    }
    story.Read(log, file);
  }
  story.Finish();
  if (FLAGS_json) {
    PrintJson(arguments[0], story);
  } else {
    PrintText(story);
  }
  return story.Found() ? kExitOk : kExitUnknown;
}

}  // namespace jasminehatch::ctl
