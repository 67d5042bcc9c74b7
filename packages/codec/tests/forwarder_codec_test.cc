#include <jasminehatch/codec.h>

#include <string>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::codec;

namespace {

constexpr char kSettings[] =
    "[forwarder]\nname = e1\nzone = a\naddress = 10.0.0.1:80\n"
    "ready_address = 10.0.0.1:81\nstore_address = 10.0.0.9:90\n";

int ErrorOf(const std::string& text) {
  try {
    ForwarderSettings::Read(IniDocument::Parse(text, "f.ini"));
  } catch (const SettingsError& error) {
    CHECK(std::string(error.what()).find("f.ini") != std::string::npos);
    return error.Number();
  }
  return 0;
}

}  // namespace

TEST_GROUP_BASE(ForwarderCodec, jasminehatch::testing::LeakDetectorOff){};

// Guards against invalid settings that are accepted.
TEST(ForwarderCodec, SettingsAreChecked) {
  LONGS_EQUAL(0, ErrorOf(kSettings));
  LONGS_EQUAL(103, ErrorOf(std::string(kSettings) + "color = red\n"));
  LONGS_EQUAL(104, ErrorOf(std::string(kSettings) + "revoke_limit = 5\n"));
  LONGS_EQUAL(104, ErrorOf(std::string(kSettings) + "retry_ratio = -1\n"));
  LONGS_EQUAL(106, ErrorOf("[forwarder]\nname = e1\n"));
  LONGS_EQUAL(103, ErrorOf(std::string(kSettings) + "[other]\nx = 1\n"));
}

// Guards against a gossip message that loses a field in encoding or decoding.
TEST(ForwarderCodec, GossipRoundTrips) {
  GossipMessage message;
  message.daemon = "e1";
  message.address = "10.0.0.1:7700";
  message.zone = "a";
  message.incarnation = 5;
  message.sequence = 6;
  message.sent_ms = 7;
  message.echo_ms = 8;
  message.operator_end_offset = 9;
  message.freshness_proof_age_ms = 10;
  message.loads = {{11, 12, 13}};
  message.weights_updates = {{"u", "m", 14, true}};
  message.crash_reports = {{15, 16}};
  message.covers_zone = true;
  const auto decoded = GossipMessage::Decode(message.Encode());
  STRCMP_EQUAL("e1", decoded.daemon.c_str());
  STRCMP_EQUAL("10.0.0.1:7700", decoded.address.c_str());
  STRCMP_EQUAL("a", decoded.zone.c_str());
  UNSIGNED_LONGS_EQUAL(5, decoded.incarnation);
  UNSIGNED_LONGS_EQUAL(6, decoded.sequence);
  UNSIGNED_LONGS_EQUAL(7, decoded.sent_ms);
  UNSIGNED_LONGS_EQUAL(8, decoded.echo_ms);
  UNSIGNED_LONGS_EQUAL(9, decoded.operator_end_offset);
  UNSIGNED_LONGS_EQUAL(10, *decoded.freshness_proof_age_ms);
  UNSIGNED_LONGS_EQUAL(13, decoded.loads.at(0).tokens);
  UNSIGNED_LONGS_EQUAL(14, decoded.weights_updates.at(0).version);
  CHECK(decoded.weights_updates.at(0).loading);
  CHECK(decoded.covers_zone);
  CHECK(decoded.crash_reports.at(0) == (forwarding::CrashReport{15, 16}));
  message.freshness_proof_age_ms.reset();
  CHECK_FALSE(GossipMessage::Decode(message.Encode()).freshness_proof_age_ms);
}

// Guards against a crash on malformed input.
TEST(ForwarderCodec, MalformedInputIsRejected) {
  const std::string good = GossipMessage{}.Encode();
  for (std::size_t length = 0; length < good.size(); ++length) {
    CHECK_THROWS(CodecError, GossipMessage::Decode(good.substr(0, length)));
  }
  CHECK_THROWS(CodecError, GossipMessage::Decode("\xc1"));
  CHECK_THROWS(CodecError, DecodeLease("{}"));
  CHECK_THROWS(CodecError, DecodeLease("torn"));
  CHECK_THROWS(CodecError, DaemonAddress::Decode("[]"));
}

// Guards against a lease record whose holder changes in encoding or decoding.
TEST(ForwarderCodec, LeasesRoundTrip) {
  const lease::LeaseRecord record{"weights", {"e1", 3}, 4, 5};
  const auto decoded = DecodeLease(EncodeLease(record));
  STRCMP_EQUAL("weights", decoded.group.c_str());
  CHECK(decoded.holder == record.holder);
  UNSIGNED_LONGS_EQUAL(4, decoded.nonce);
  UNSIGNED_LONGS_EQUAL(5, decoded.base);
}
