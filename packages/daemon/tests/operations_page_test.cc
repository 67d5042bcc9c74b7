#include <jasminehatch/telemetry.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;

namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::string Page() {
  return ReadFile(std::filesystem::path(JASMINEHATCH_SOURCE_DIR) /
                  "docs/OPERATIONS.md");
}

/// @return the event names in calls that write a decision to the log
std::set<std::string> EventNames(const std::string& source) {
  static const std::regex kCall(
      R"re((?:m_log\.Write\([^";{]*|\bLog\([^";{]*|LogDependency\(|LogPlacement\([^";{]*)"([a-z_]+)")re");
  std::set<std::string> names;
  for (std::sregex_iterator match(source.begin(), source.end(), kCall), end;
       match != end; ++match) {
    names.insert((*match)[1]);
  }
  return names;
}

}  // namespace

TEST_GROUP_BASE(OperationsPage, jasminehatch::testing::LeakDetectorOff){};

// Guards against log events that the operators' page does not explain.
TEST(OperationsPage, ListsTheLogEvents) {
  const std::string page = Page();
  std::size_t found = 0;
  for (const char* folder :
       {"packages/daemon/src/forwarder", "packages/core/src/forwarding"}) {
    for (const auto& file : std::filesystem::directory_iterator(
             std::filesystem::path(JASMINEHATCH_SOURCE_DIR) / folder)) {
      for (const std::string& name : EventNames(ReadFile(file.path()))) {
        ++found;
        if (page.find("`" + name + "`") == std::string::npos) {
          FAIL((name + " is not in docs/OPERATIONS.md").c_str());
        }
      }
    }
  }
  CHECK(found > 15);
}

// Guards against metrics that the operators' page does not list.
TEST(OperationsPage, ListsTheMetrics) {
  const std::string page = Page();
  std::istringstream lines(telemetry::Metrics().Render());
  std::size_t found = 0;
  constexpr std::string_view kPrefix = "jasminehatch_";
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(kPrefix)) {
      continue;
    }
    std::string name =
        line.substr(kPrefix.size(), line.find_first_of("{ ") - kPrefix.size());
    name = std::regex_replace(name, std::regex("_(bucket|sum|count)$"), "");
    ++found;
    if (page.find(name) == std::string::npos) {
      FAIL((name + " is not in docs/OPERATIONS.md").c_str());
    }
  }
  CHECK(found > 5);
}
