#include <jasminehatch/telemetry.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::telemetry;

namespace {

class FixedClock : public Clock {
 public:
  MonotonicTime Now() const override { return m_now; }
  WallTime WallNow() const override { return WallTime(); }
  void Advance(Duration time) { m_now += time; }

 private:
  MonotonicTime m_now{};
};

std::string ReadAll(int descriptor) {
  std::string text;
  std::array<char, 65536> buffer{};
  ssize_t length = read(descriptor, buffer.data(), buffer.size());
  while (length > 0) {
    text.append(buffer.data(), static_cast<std::size_t>(length));
    length = read(descriptor, buffer.data(), buffer.size());
  }
  return text;
}

}  // namespace

TEST_GROUP_BASE(DecisionLog, jasminehatch::testing::LeakDetectorOff){};

// Guards against a daemon that blocks because nothing reads its log: when the
// pipe is full, lines are dropped.
TEST(DecisionLog, FullPipeDropsLinesWithoutBlocking) {
  std::array<int, 2> pipe_ends{};
  LONGS_EQUAL(0, pipe(pipe_ends.data()));
  const FixedClock clock;
  DecisionLog::Options options;
  options.burst_bytes = 1e9;
  options.pending_limit = 100'000;
  {
    DecisionLog log(pipe_ends[1], clock, options);
    const std::string long_value(1000, 'x');
    const std::array fields{DecisionLogField{"detail", long_value}};
    for (int i = 0; i < 2000; ++i) {
      log.Write(DecisionLog::Level::kState, "test", fields);
    }
    CHECK(log.Dropped() > 0);
    const auto dropped = log.Dropped();
    // The reader resumes: the next line is not dropped.
    std::array<char, 65536> buffer{};
    CHECK(read(pipe_ends[0], buffer.data(), buffer.size()) > 0);
    log.Flush();
    log.Write(DecisionLog::Level::kState, "after", {});
    CHECK(log.Dropped() == dropped);
  }
  close(pipe_ends[1]);
  close(pipe_ends[0]);
}

// Guards against routine lines that use up the budget for the lines that
// explain a failure, and against dropped lines that are not reported.
TEST(DecisionLog, ReservesBudgetForImportantLines) {
  std::array<int, 2> pipe_ends{};
  LONGS_EQUAL(0, pipe(pipe_ends.data()));
  FixedClock clock;
  DecisionLog::Options options;
  options.burst_bytes = 20'000;
  options.bytes_per_second = 1'000;
  {
    DecisionLog log(pipe_ends[1], clock, options);
    for (int i = 0; i < 1000; ++i) {
      log.Write(DecisionLog::Level::kRoutine, "routine", {});
    }
    const auto dropped = log.Dropped();
    CHECK(dropped > 0);
    const std::array fields{DecisionLogField{"request", "r\"1\n"}};
    log.Write(DecisionLog::Level::kNotable, "refused", fields);
    CHECK(log.Dropped() == dropped);
    clock.Advance(std::chrono::hours(1));
    log.Write(DecisionLog::Level::kRoutine, "routine", {});
    CHECK(log.Dropped() == dropped);
  }
  close(pipe_ends[1]);
  const std::string text = ReadAll(pipe_ends[0]);
  close(pipe_ends[0]);
  std::size_t lines = 0;
  std::uint64_t dropped_lines = 0;
  std::size_t start = 0;
  for (std::size_t end = text.find('\n'); end != text.npos;
       end = text.find('\n', start)) {
    const auto line = nlohmann::json::parse(text.substr(start, end - start));
    dropped_lines += line.value("lines_left_out", std::uint64_t{0});
    ++lines;
    start = end + 1;
  }
  UNSIGNED_LONGS_EQUAL(1002 - lines, dropped_lines);
}
