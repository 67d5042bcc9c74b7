// `jasminehatchctl evacuate` and `publish` against an emulated log.

#include <jasminehatch/ctl.h>
#include <jasminehatch/emulator.h>

#include <unistd.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "captured_command.h"
#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/common.h"
#include "jasminehatch/detail/ctl/sync_client.h"
#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::ctl;
using jasminehatch::ctl::test::Run;

namespace {

constexpr char kFile[] =
    "[upstream desk-a]\nzone = a\nurl = http://127.0.0.1:1\nservice = desk\n"
    "[upstream desk-b]\nzone = b\nurl = http://127.0.0.1:2\nservice = desk\n";

/// The log runs in a thread of its own, since the commands block.
class Log {
 public:
  Log() : m_log(m_loop, {}, 1), m_work(m_loop.get_executor()) {
    FLAGS_log = "http://127.0.0.1:" + std::to_string(m_log.Port());
    m_thread = std::thread([this] { m_loop.run(); });
  }
  ~Log() {
    m_loop.stop();
    m_thread.join();
    FLAGS_log.clear();
  }
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

 private:
  asio::io_context m_loop{1};
  emulator::LogEmulator m_log;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

bool IsEvacuated(const std::string& zone) {
  return Run({"evacuate", "state"})
             .output.find("zone " + zone + " is evacuated, upstreams: 1") !=
         std::string::npos;
}

}  // namespace

TEST_GROUP_BASE(EvacuateCommand, jasminehatch::testing::LeakDetectorOff) {
  std::string m_file = std::filesystem::temp_directory_path() /
                       ("evacuate_" + std::to_string(getpid()) + ".ini");

  void setup() override {
    LeakDetectorOff::setup();
    std::ofstream(m_file) << kFile;
  }
  void teardown() override {
    std::filesystem::remove(m_file);
    LeakDetectorOff::teardown();
  }
};

// Guards against an evacuation that is not published, or not ended.
TEST(EvacuateCommand, BeginsAndEnds) {
  const Log log;
  LONGS_EQUAL(kExitOk, Run({"publish", m_file}).exit);
  STRCMP_CONTAINS("no zone is evacuated",
                  Run({"evacuate", "state"}).output.c_str());
  LONGS_EQUAL(kExitOk, Run({"evacuate", "begin", "a"}).exit);
  CHECK(IsEvacuated("a"));
  CHECK_FALSE(IsEvacuated("b"));
  const auto again = Run({"evacuate", "begin", "a"});
  LONGS_EQUAL(kExitOk, again.exit);
  STRCMP_CONTAINS("unchanged", again.output.c_str());
  LONGS_EQUAL(kExitOk, Run({"evacuate", "end", "a"}).exit);
  CHECK_FALSE(IsEvacuated("a"));
  STRCMP_CONTAINS("unchanged", Run({"evacuate", "end", "a"}).output.c_str());
}

// Guards against a file without the evacuation that ends it when it is
// published for another reason.
TEST(EvacuateCommand, PublishingAFileDoesNotEndIt) {
  const Log log;
  Run({"publish", m_file});
  Run({"evacuate", "begin", "a"});
  LONGS_EQUAL(kExitOk, Run({"diff", m_file}).exit);
  std::ofstream(m_file, std::ios::app) << "[defaults]\nmax_in_flight = 9\n";
  LONGS_EQUAL(kExitOk, Run({"publish", m_file}).exit);
  STRCMP_CONTAINS("max_in_flight = 9", Run({"show"}).output.c_str());
  CHECK(IsEvacuated("a"));
}

// Guards against a region that is lost when an evacuation ends, and against an
// evacuation that ends when a file names the zone for its region.
TEST(EvacuateCommand, TheRegionOfAZoneStays) {
  const Log log;
  std::ofstream(m_file, std::ios::app) << "[zone a]\nregion = east\n";
  Run({"publish", m_file});
  Run({"evacuate", "begin", "a"});
  Run({"publish", m_file});
  CHECK(IsEvacuated("a"));
  LONGS_EQUAL(kExitOk, Run({"evacuate", "end", "a"}).exit);
  CHECK_FALSE(IsEvacuated("a"));
  STRCMP_CONTAINS("region = east", Run({"show"}).output.c_str());
}

// Guards against a misspelt zone that seems to be evacuated.
TEST(EvacuateCommand, RefusesWhatItCannotDo) {
  const Log log;
  Run({"publish", m_file});
  const auto unknown = Run({"evacuate", "begin", "c"});
  LONGS_EQUAL(kExitFailed, unknown.exit);
  STRCMP_CONTAINS("no upstream is in the zone 'c'", unknown.output.c_str());
  for (const std::vector<std::string>& arguments :
       {std::vector<std::string>{"evacuate"},
        {"evacuate", "begin"},
        {"evacuate", "a"},
        {"evacuate", "state", "a"}}) {
    LONGS_EQUAL(kExitUsage, Run(arguments).exit);
  }
}
