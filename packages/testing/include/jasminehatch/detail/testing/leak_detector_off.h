#ifndef JASMINEHATCH_DETAIL_TESTING_LEAK_DETECTOR_OFF_H_
#define JASMINEHATCH_DETAIL_TESTING_LEAK_DETECTOR_OFF_H_

#include <CppUTest/TestHarness.h>

namespace jasminehatch::testing {

/// @brief Base of test groups that use libraries which keep memory between
/// tests (RapidCheck, RESTinio, Asio, libcurl): CppUTest's leak detector is
/// off while their tests run.
class LeakDetectorOff : public Utest {
 public:
  void setup() override {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  }
  void teardown() override {
    MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
  }
};

}  // namespace jasminehatch::testing

#endif  // JASMINEHATCH_DETAIL_TESTING_LEAK_DETECTOR_OFF_H_
