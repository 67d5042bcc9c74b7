#include <jasminehatch/codec.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace jasminehatch;
using namespace jasminehatch::codec;

TEST_GROUP(BlockKeys){};

// Guards against cached prompt state that is shared between workspaces, models
// or weight versions.
TEST(BlockKeys, DifferByWorkspaceModelAndVersion) {
  const std::string prompt(2 * kBlockTextBytes, 'x');
  const auto keys = ComputeBlockKeys("a", "m", "v1", prompt);
  CHECK_EQUAL(2, keys.size());
  CHECK(keys[0] != keys[1]);
  CHECK(keys != ComputeBlockKeys("b", "m", "v1", prompt));
  CHECK(keys != ComputeBlockKeys("a", "n", "v1", prompt));
  CHECK(keys != ComputeBlockKeys("a", "m", "v2", prompt));
  // The boundaries between the parts of the seed matter.
  CHECK(ComputeBlockKeys("ab", "c", "v", prompt) !=
        ComputeBlockKeys("a", "bc", "v", prompt));
}

// Guards against a change in the middle of a prompt that leaves later keys
// unchanged.
TEST(BlockKeys, EachKeyDependsOnAllEarlierText) {
  std::string prompt(3 * kBlockTextBytes + 10, 'x');
  const auto before = ComputeBlockKeys("a", "m", "v1", prompt);
  prompt[kBlockTextBytes] = 'y';
  const auto after = ComputeBlockKeys("a", "m", "v1", prompt);
  CHECK_EQUAL(3, after.size());
  CHECK(before[0] == after[0]);
  CHECK(before[1] != after[1]);
  CHECK(before[2] != after[2]);
}
