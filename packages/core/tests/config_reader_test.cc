#include <jasminehatch/core.h>

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using Result = config::ConfigFold::Result;

namespace {

config::ConfigChange Change(const std::string& id, config::Version base) {
  config::ConfigChange change;
  change.change_id = id;
  change.base = base;
  change.updates.push_back({{"upstream", id}, config::Fields{}});
  return change;
}

}  // namespace

TEST_GROUP(ConfigReader){};

// Guards against a change that is accepted because its record was appended
// twice, after the operator received its rejection.
TEST(ConfigReader, SecondCopyOfARejectedChangeIsIgnored) {
  config::ConfigFold fold;
  CHECK(fold.Apply(1, Change("early", 2)) == Result::kRejected);
  CHECK(fold.Apply(2, Change("first", 0)) == Result::kAccepted);
  CHECK(fold.Apply(3, Change("early", 2)) == Result::kDuplicate);
  CHECK(fold.OutcomeOf("early") == Result::kRejected);
  LONGS_EQUAL(2, fold.CurrentVersion());
}

// Guards against a delayed reply of a peer that lowers the version.
TEST(ConfigReader, OlderSnapshotOfAPeerIsNotLoaded) {
  config::ConfigReader reader;
  reader.Read({1, 2, {{1, Change("first", 0)}}});
  const auto old = reader.Fold().ToParts(WallTime{});
  reader.Read({2, 3, {{2, Change("second", 1)}}});
  CHECK(!reader.ReadSnapshot(old));
  LONGS_EQUAL(2, reader.Fold().CurrentVersion());
}

// Guards against change ids that are kept forever.
TEST(ConfigReader, ChangeIdsAreForgottenAfterTheWindow) {
  config::ConfigFold fold;
  fold.Apply(1, Change("first", 0));
  fold.SkipTo(config::kChangeIdWindow);
  CHECK(fold.OutcomeOf("first").has_value());
  fold.SkipTo(config::kChangeIdWindow + 1);
  CHECK(!fold.OutcomeOf("first").has_value());
}
