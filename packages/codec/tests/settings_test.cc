#include <jasminehatch/codec.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace jasminehatch;
using namespace jasminehatch::codec;

namespace {

std::string ErrorOf(const std::string& text) {
  try {
    DaemonSettings::Read(IniDocument::Parse(text, "d.ini"));
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

constexpr char kGood[] =
    "[daemon]\nname = entry-1\nzone = a\nport = 0\n[platform]\nlog_url = "
    "http://127.0.0.1:1\n";

}  // namespace

TEST_GROUP(Settings){};

// Guards against a misspelled key that silently leaves the default in force.
TEST(Settings, UnknownKeyIsNamedWithItsLocationAndTheAllowedKeys) {
  const std::string error =
      ErrorOf(std::string(kGood) + "[bookings]\nbatch_intervall = 5ms\n");
  STRCMP_CONTAINS("d.ini:8", error.c_str());
  STRCMP_CONTAINS("batch_intervall", error.c_str());
  STRCMP_CONTAINS("claim_time", error.c_str());
}

// Guards against a duration without a unit that is read in a default unit.
TEST(Settings, TimeWithoutUnitIsRefused) {
  STRCMP_CONTAINS(
      "with a unit",
      ErrorOf(std::string(kGood) + "[bookings]\nclaim_time = 5\n").c_str());
}

// Guards against a second value that silently replaces the first.
TEST(Settings, DuplicateKeyIsRefused) {
  STRCMP_CONTAINS("duplicate key 'name'",
                  ErrorOf("[daemon]\nname = a\nname = b\n").c_str());
}

TEST(Settings, GoodSettingsAreRead) {
  const auto settings =
      DaemonSettings::Read(IniDocument::Parse(kGood, "d.ini"));
  STRCMP_EQUAL("entry-1", settings.name.c_str());
}

// Guards against a deployment without warm-up whose settings are refused, and
// against a limit for cold upstreams that is not read.
TEST(Settings, TheLimitForColdUpstreamsMayBeAbsent) {
  const std::string required =
      "[forwarder]\nname = n\nzone = z\naddress = 127.0.0.1:1\nready_address = "
      "127.0.0.1:2\nstore_address = 127.0.0.1:3\n";
  const auto read = [&](const std::string& keys) {
    return ForwarderSettings::Read(IniDocument::Parse(required + keys, "f"));
  };
  DOUBLES_EQUAL(1, read("\n").warm_up_factor, 0);
  DOUBLES_EQUAL(0, read("\n").warm_up_slack, 0);
  const auto settings = read("warm_up_factor = 1.5\nwarm_up_slack = 5\n");
  DOUBLES_EQUAL(1.5, settings.warm_up_factor, 0);
  DOUBLES_EQUAL(5, settings.warm_up_slack, 0);
  CHECK_THROWS(SettingsError, read("warm_up_factor = -1\n"));
}
