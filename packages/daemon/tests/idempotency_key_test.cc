#include <CppUTest/TestHarness.h>

#include <chrono>

#include "jasminehatch/detail/daemon/idempotency_key.h"

using namespace jasminehatch;

TEST_GROUP(IdempotencyKey){};

// Guards against accepting keys without a creation time, whose age would be
// unknown later.
TEST(IdempotencyKey, RequiresACreationTime) {
  CHECK(!daemon::ParseKeyTime("order-17"));
  CHECK(!daemon::ParseKeyTime("12-short"));
  CHECK(!daemon::ParseKeyTime("1796000000"));
  CHECK(!daemon::ParseKeyTime("1796000000-"));
  CHECK(!daemon::ParseKeyTime("1796000000-a b"));
  const auto seconds = daemon::ParseKeyTime("1796000000-abc");
  CHECK(seconds.has_value());
  CHECK(*seconds == WallTime(std::chrono::seconds(1'796'000'000)));
  const auto uuid =
      daemon::ParseKeyTime("019f0000-0000-7abc-8def-0123456789ab");
  CHECK(uuid.has_value());
  CHECK(*uuid == WallTime(std::chrono::milliseconds(0x019f00000000LL)));
}
