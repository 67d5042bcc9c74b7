// Settings and configuration of evacuated zones and of regions.

#include <jasminehatch/codec.h>

#include <chrono>
#include <map>
#include <string>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::codec;
using namespace std::chrono_literals;

namespace {

ForwarderSettings ReadWith(const std::string& lines) {
  return ForwarderSettings::Read(IniDocument::Parse(
      "[forwarder]\nname = e1\nzone = a\naddress = 10.0.0.1:80\n"
      "ready_address = 10.0.0.1:81\nstore_address = 10.0.0.9:90\n" +
          lines,
      "f.ini"));
}

int ErrorWith(const std::string& lines) {
  try {
    ReadWith(lines);
  } catch (const SettingsError& error) {
    return error.Number();
  }
  return 0;
}

std::map<config::EntryId, config::Fields> Entries(
    const std::string& evacuated) {
  std::map<config::EntryId, config::Fields> entries;
  for (const char* zone : {"a", "b"}) {
    entries[{"upstream", std::string("desk-") + zone}] = {
        {"zone", zone}, {"url", "http://127.0.0.1:1"}, {"service", "desk"}};
  }
  if (!evacuated.empty()) {
    entries[{"zone", "a"}] = {{"evacuated", evacuated}};
  }
  return entries;
}

}  // namespace

TEST_GROUP_BASE(EvacuationSettings, jasminehatch::testing::LeakDetectorOff){};

// Guards against a deployment without evacuations and regions that gets a
// restriction, or whose filled-in settings are invalid.
TEST(EvacuationSettings, AbsentOrEmptyMeansNoRestriction) {
  for (const char* lines : {"", "\n\nzone_regions = \n", "zone_regions =\n"}) {
    const ForwarderSettings settings = ReadWith(lines);
    CHECK(settings.zone_regions.empty());
    CHECK(settings.region.empty());
    CHECK(settings.evacuate_limit == 0ms);
  }
}

// Guards against a table of regions that is misread.
TEST(EvacuationSettings, ReadsTheRegionsOfZones) {
  const ForwarderSettings settings = ReadWith(
      "evacuate_limit = 5000ms\nregion = qc-est\n"
      "zone_regions = levis:qc-est,hull:qc-ouest, orleans:on\n");
  UNSIGNED_LONGS_EQUAL(3, settings.zone_regions.size());
  STRCMP_EQUAL("qc-ouest", settings.zone_regions.at("hull").c_str());
  STRCMP_EQUAL("on", settings.zone_regions.at("orleans").c_str());
  STRCMP_EQUAL("qc-est", settings.region.c_str());
  CHECK(settings.evacuate_limit == 5s);
  for (const char* list : {"levis", "levis:", ":qc", "a:b,a:c"}) {
    LONGS_EQUAL(104, ErrorWith(std::string("zone_regions = ") + list + "\n"));
  }
}

// Guards against a published evacuation that concerns other upstreams, or is
// skipped because it is misspelt.
TEST(EvacuationSettings, ZonesOfTheConfiguration) {
  const Configuration evacuated = Configuration::FromEntries(Entries("yes"));
  CHECK(evacuated.evacuated_zones.contains("a"));
  for (const auto& spec : evacuated.upstreams) {
    CHECK(spec.evacuated == (spec.zone == "a"));
  }
  for (const char* none : {"", "no"}) {
    const Configuration configuration =
        Configuration::FromEntries(Entries(none));
    CHECK(configuration.evacuated_zones.empty());
    CHECK_FALSE(configuration.upstreams[0].evacuated);
  }
  CHECK_THROWS(SettingsError, Configuration::FromEntries(Entries("maybe")));
  auto entries = Entries("yes");
  entries[{"zone", "a"}] = {};
  CHECK_THROWS(SettingsError, Configuration::FromEntries(entries));
}
