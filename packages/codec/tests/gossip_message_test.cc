#include <jasminehatch/codec.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "gossip_sample.h"
#include "json_variants.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::codec;
using test::MakeSampleGossip;
using test::ReplaceEachNumber;

TEST_GROUP_BASE(GossipMessage, jasminehatch::testing::LeakDetectorOff){};

// Guards against a gossip message that loses a field in encoding or decoding.
TEST(GossipMessage, GossipRoundTrips) {
  GossipMessage message = MakeSampleGossip();
  const auto decoded = GossipMessage::Decode(message.Encode());
  STRCMP_EQUAL("e1", decoded.daemon.c_str());
  STRCMP_EQUAL("10.0.0.1:7700", decoded.address.c_str());
  STRCMP_EQUAL("a", decoded.zone.c_str());
  UNSIGNED_LONGS_EQUAL(5, decoded.incarnation);
  UNSIGNED_LONGS_EQUAL(6, decoded.sequence);
  UNSIGNED_LONGS_EQUAL(7, decoded.sent_ms);
  UNSIGNED_LONGS_EQUAL(8, decoded.echo_ms);
  CHECK((LogPosition{30, 9}) == decoded.operator_end);
  UNSIGNED_LONGS_EQUAL(31, decoded.echo_incarnation);
  STRCMP_EQUAL("10.0.0.1:7701", decoded.forwarding_address.c_str());
  UNSIGNED_LONGS_EQUAL(32, decoded.configuration_version);
  UNSIGNED_LONGS_EQUAL(10, *decoded.freshness_proof_age_ms);
  UNSIGNED_LONGS_EQUAL(13, decoded.loads.at(0).tokens);
  UNSIGNED_LONGS_EQUAL(14, decoded.weights_updates.at(0).version);
  CHECK(decoded.weights_updates.at(0).loading);
  CHECK(decoded.covers_zone);
  CHECK(decoded.crash_reports == message.crash_reports);
  CHECK(decoded.stopping);
  CHECK(decoded.publications == message.publications);
  CHECK(decoded.part_verdicts == message.part_verdicts);
  CHECK(decoded.upstream_failures == message.upstream_failures);
  CHECK(decoded.stream_origins == message.stream_origins);
  CHECK(decoded.capacity == message.capacity);
  message.freshness_proof_age_ms.reset();
  CHECK_FALSE(GossipMessage::Decode(message.Encode()).freshness_proof_age_ms);
}

// Guards against ignoring the crash reports of daemons that run an earlier
// version during an upgrade.
TEST(GossipMessage, GossipOfAnEarlierVersionIsAccepted) {
  GossipMessage message = MakeSampleGossip();
  auto encoded = nlohmann::json::from_msgpack(message.Encode());
  const auto decode_without_last = [&] {
    encoded.erase(encoded.size() - 1);
    std::string bytes;
    nlohmann::json::to_msgpack(encoded, bytes);
    return GossipMessage::Decode(bytes);
  };
  const auto without_version = decode_without_last();
  UNSIGNED_LONGS_EQUAL(0, without_version.configuration_version);
  CHECK(without_version.forwarding_address == message.forwarding_address);
  const auto without_forwarding = decode_without_last();
  CHECK(without_forwarding.forwarding_address.empty());
  CHECK(without_forwarding.operator_end == message.operator_end);
  const auto without_incarnation = decode_without_last();
  UNSIGNED_LONGS_EQUAL(0, without_incarnation.echo_incarnation);
  CHECK(without_incarnation.operator_end == message.operator_end);
  const auto without_epoch = decode_without_last();
  UNSIGNED_LONGS_EQUAL(0, without_epoch.operator_end.epoch);
  CHECK(without_epoch.stream_origins == message.stream_origins);
  const auto without_origins = decode_without_last();
  CHECK(without_origins.upstream_failures == message.upstream_failures);
  CHECK(without_origins.stream_origins.empty());
  const auto without_failures = decode_without_last();
  CHECK(without_failures.crash_reports == message.crash_reports);
  CHECK(without_failures.part_verdicts == message.part_verdicts);
  CHECK(without_failures.upstream_failures.empty());
  const auto without_verdicts = decode_without_last();
  CHECK(without_verdicts.crash_reports == message.crash_reports);
  CHECK(without_verdicts.part_verdicts.empty());
}

// Guards against a message that is ignored because a later daemon reports a
// kind of failure that this one does not know, and against any number of
// reports in a message.
TEST(GossipMessage, FailuresOfUpstreamsAreBounded) {
  GossipMessage message = MakeSampleGossip();
  auto encoded = nlohmann::json::from_msgpack(message.Encode());
  constexpr std::size_t kFailures = 18;
  nlohmann::json& failures = encoded.at(kFailures);
  nlohmann::json later = failures.front();
  later[2] = 9;
  failures.insert(failures.begin(), later);
  std::string bytes;
  nlohmann::json::to_msgpack(encoded, bytes);
  CHECK(GossipMessage::Decode(bytes).upstream_failures ==
        message.upstream_failures);
  message.upstream_failures.resize(GossipMessage::kMaxUpstreamFailures + 1);
  UNSIGNED_LONGS_EQUAL(
      GossipMessage::kMaxUpstreamFailures,
      GossipMessage::Decode(message.Encode()).upstream_failures.size());
}

// Guards against a stream that counts as one of another service or software
// version, and against any number of origins in a message.
TEST(GossipMessage, OriginsOfStreamsRoundTrip) {
  GossipMessage message = MakeSampleGossip();
  CHECK(GossipMessage::Decode(message.Encode()).stream_origins ==
        message.stream_origins);
  message.stream_origins.resize(GossipMessage::kMaxStreamOrigins + 1);
  UNSIGNED_LONGS_EQUAL(
      GossipMessage::kMaxStreamOrigins,
      GossipMessage::Decode(message.Encode()).stream_origins.size());
  message.stream_origins = {{1, "s", std::string(257, 'v')}};
  CHECK(GossipMessage::Decode(message.Encode()).stream_origins.empty());
}

// Guards against a crash on malformed input.
TEST(GossipMessage, MalformedInputIsRejected) {
  const std::string good = GossipMessage{}.Encode();
  for (std::size_t length = 0; length < good.size(); ++length) {
    CHECK_THROWS(CodecError, GossipMessage::Decode(good.substr(0, length)));
  }
  CHECK_THROWS(CodecError, GossipMessage::Decode("\xc1"));
}

// Guards against conversions of numbers outside the range of their type, which
// are undefined.
TEST(GossipMessage, NumbersOutOfRangeAreRejected) {
  GossipMessage sample = MakeSampleGossip();
  // The only number that may be a fraction.
  sample.capacity.reset();
  const std::string bytes = sample.Encode();
  const auto message = nlohmann::json::from_msgpack(bytes);
  for (const nlohmann::json& wrong :
       {nlohmann::json(8.45755e+141), nlohmann::json(-1), nlohmann::json(1.5),
        nlohmann::json("1")}) {
    const auto variants = ReplaceEachNumber(message, wrong);
    UNSIGNED_LONGS_EQUAL(40, variants.size());
    for (const nlohmann::json& variant : variants) {
      std::string encoded;
      nlohmann::json::to_msgpack(variant, encoded);
      CHECK_THROWS(CodecError, GossipMessage::Decode(encoded));
    }
  }
}

// Guards against an overflow of the clock by a time that a peer reports.
TEST(GossipMessage, TimesBeyondTheClockAreRejected) {
  for (std::uint64_t GossipMessage::*field :
       {&GossipMessage::sent_ms, &GossipMessage::echo_ms}) {
    GossipMessage message = MakeSampleGossip();
    message.*field = static_cast<std::uint64_t>(kMaxMilliseconds);
    GossipMessage::Decode(message.Encode());
    message.*field += 1;
    CHECK_THROWS(CodecError, GossipMessage::Decode(message.Encode()));
  }
  GossipMessage message = MakeSampleGossip();
  message.publications.front().age =
      std::chrono::milliseconds(kMaxMilliseconds);
  GossipMessage::Decode(message.Encode());
  message.publications.front().age += std::chrono::milliseconds(1);
  CHECK_THROWS(CodecError, GossipMessage::Decode(message.Encode()));
}

// Guards against a capacity that daemons cannot compare, and against messages
// of daemons that do not report one.
TEST(GossipMessage, CapacitiesAreChecked) {
  GossipMessage message = MakeSampleGossip();
  message.capacity.reset();
  CHECK_FALSE(GossipMessage::Decode(message.Encode()).capacity.has_value());
  message.capacity = 0.5;
  DOUBLES_EQUAL(0.5, *GossipMessage::Decode(message.Encode()).capacity, 0);
  for (const double wrong :
       {0.0, -1.0, 1e300, std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<double>::infinity()}) {
    message.capacity = wrong;
    CHECK_THROWS(CodecError, GossipMessage::Decode(message.Encode()));
  }
}
