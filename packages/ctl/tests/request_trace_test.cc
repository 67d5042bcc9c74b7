#include "jasminehatch/detail/ctl/request_trace.h"

#include <sstream>
#include <string>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using jasminehatch::ctl::RequestTrace;

namespace {

std::string Line(int time_ms,
                 const std::string& event,
                 const std::string& more = "") {
  return R"({"time_ms":)" + std::to_string(time_ms) + R"(,"event":")" + event +
         "\"" + more + "}\n";
}

const std::string kOwn = R"(,"request":"r1","upstream":"u1")";

RequestTrace Read(const std::string& first, const std::string& second = "") {
  RequestTrace trace("r1");
  std::istringstream log(first);
  trace.Read(log, "one.log");
  std::istringstream other(second);
  trace.Read(other, "two.log");
  trace.Finish();
  return trace;
}

}  // namespace

TEST_GROUP_BASE(RequestTrace, jasminehatch::testing::LeakDetectorOff){};

// Guards against lines in the order of the files instead of their times.
TEST(RequestTrace, SortsLinesOfSeveralDaemonsByTime) {
  const auto trace = Read(
      Line(30, "answered", kOwn) + Line(5, "placed", ",\"request\":\"r2\""),
      Line(10, "placed", kOwn));
  UNSIGNED_LONGS_EQUAL(2, trace.Lines().size());
  STRCMP_EQUAL("two.log", trace.Lines()[0].source.c_str());
  STRCMP_EQUAL("one.log", trace.Lines()[1].source.c_str());
  CHECK(trace.Gaps().empty());
}

// Guards against a request that seems fully explained although lines are
// missing.
TEST(RequestTrace, ReportsGaps) {
  UNSIGNED_LONGS_EQUAL(1, Read(Line(10, "placed", kOwn)).Gaps().size());
  UNSIGNED_LONGS_EQUAL(1, Read(Line(10, "answered", kOwn)).Gaps().size());
  UNSIGNED_LONGS_EQUAL(
      1, Read(Line(10, "placed", ",\"request\":\"r2\"")).Gaps().size());
  const auto omitting =
      Read(Line(10, "placed", kOwn) + Line(20, "answered", kOwn) +
           Line(25, "placed", ",\"request\":\"r3\",\"lines_left_out\":7"));
  UNSIGNED_LONGS_EQUAL(1, omitting.Gaps().size());
  CHECK(omitting.Gaps()[0].find("7 lines") != std::string::npos);
}

// Guards against a refusal whose cause, a lost dependency, is not shown.
TEST(RequestTrace, IncludesDependencyEventsOfTheSameDaemon) {
  const std::string lost = R"(,"dependency":"registry")";
  const auto trace =
      Read(Line(5, "dependency_lost", lost) + Line(10, "refused", kOwn),
           Line(6, "dependency_lost", lost));
  UNSIGNED_LONGS_EQUAL(2, trace.Lines().size());
  STRCMP_EQUAL("one.log", trace.Lines()[0].source.c_str());
}

// Guards against failing on names that a log collector puts before each line,
// and on invalid lines.
TEST(RequestTrace, AcceptsPrefixesAndSkipsInvalidLines) {
  const auto trace = Read("  1.25 edge-1 " + Line(10, "refused", kOwn) +
                          "{\"time_ms\":1,\"ev\nplain text\n");
  STRCMP_EQUAL("edge-1", trace.Lines().at(0).source.c_str());
  UNSIGNED_LONGS_EQUAL(2, trace.SkippedLines());
}
