#include <jasminehatch/codec.h>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::codec;

namespace {

Configuration TwoWorkspaces(const std::string& first,
                            const std::string& second) {
  return Configuration::FromEntries(
      {{{"workspace", "a"}, {{"key_sha256", Sha256Hex(first)}}},
       {{"workspace", "b"}, {{"key_sha256", Sha256Hex(second)}}}});
}

}  // namespace

TEST_GROUP(Authentication){};

// Guards against a key that authenticates another workspace, or none.
TEST(Authentication, EachKeyOpensItsWorkspaceOnly) {
  const Configuration configuration = TwoWorkspaces("key a", "key b");
  STRCMP_EQUAL("a", configuration.Authenticate("key a")->name.c_str());
  STRCMP_EQUAL("b", configuration.Authenticate("key b")->name.c_str());
  CHECK(configuration.Authenticate("key c") == nullptr);
  CHECK(configuration.Authenticate("") == nullptr);
  // The digest of a key is not accepted as a key.
  CHECK(configuration.Authenticate(Sha256Hex("key a")) == nullptr);
}

// Guards against two workspaces with the same key, of which one would be chosen
// silently.
TEST(Authentication, TwoWorkspacesWithOneKeyAreRefused) {
  CHECK_THROWS(SettingsError, TwoWorkspaces("key", "key"));
}
