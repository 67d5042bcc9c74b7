#include <jasminehatch/codec.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::codec;
using namespace std::chrono_literals;

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

/// @return a gossip message with a value in each of its lists
GossipMessage CompleteMessage() {
  GossipMessage message;
  message.daemon = "e1";
  message.freshness_proof_age_ms = 10;
  message.loads = {{11, 12, 13}};
  message.weights_updates = {{"u", "m", 14, true}};
  message.crash_reports = {{15, 16, {17, 18}, 19, 20ms}};
  message.publications = {{"m", 17, std::chrono::milliseconds(18), true}};
  message.part_verdicts = {{21, 22, 23, 24ms, 25ms}};
  message.upstream_failures = {
      {"u", 26, forwarding::UpstreamFailure::kRefused, 27ms, false}};
  message.stream_origins = {{28, "s", "v1"}, {29, "s", "v1"}, {30, "s", "v2"}};
  return message;
}

/// @return every value of a number or list element in the document, replaced
/// one at a time
std::vector<nlohmann::json> ReplaceEachNumber(
    const nlohmann::json& document,
    const nlohmann::json& replacement) {
  std::vector<nlohmann::json> variants;
  const nlohmann::json flat = document.flatten();
  for (const auto& [pointer, value] : flat.items()) {
    if (value.is_number()) {
      nlohmann::json variant = document;
      variant[nlohmann::json::json_pointer(pointer)] = replacement;
      variants.push_back(std::move(variant));
    }
  }
  return variants;
}

FeedDelta CompleteDelta() {
  FeedDelta delta;
  delta.feed = 1;
  delta.epoch = 2;
  delta.position = 30;
  delta.status = FeedDelta::Status::kPartial;
  delta.age_ms = 4;
  delta.recovered_age_ms = 5;
  delta.records = {{6, "key", "value", false}, {7, "gone", "", true}};
  delta.changes = {{true, {"salt", "id", 16}}};
  delta.shared_clock_ms = 1'760'000'000'123;
  delta.read_pause_ms = 8;
  delta.part = relay::RecordPart{31, "config", 100, 9, 20, "part"};
  return delta;
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
  message.operator_end = {30, 9};
  message.echo_incarnation = 31;
  message.forwarding_address = "10.0.0.1:7701";
  message.configuration_version = 32;
  message.freshness_proof_age_ms = 10;
  message.loads = {{11, 12, 13}};
  message.weights_updates = {{"u", "m", 14, true}};
  message.crash_reports = {{15, 16}, {15, 16, {17, 18}, 19, 20ms}};
  message.part_verdicts = {{21, 22, 23, 24ms, 25ms}};
  message.upstream_failures = {
      {"u", 26, forwarding::UpstreamFailure::kReplaced, 27ms, false},
      {"v", 28, forwarding::UpstreamFailure::kRefused, 29ms, true}};
  message.covers_zone = true;
  message.stopping = true;
  message.publications = {{"m", 17, std::chrono::milliseconds(18), true},
                          {"n", 19, std::chrono::milliseconds(20), false}};
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
  message.freshness_proof_age_ms.reset();
  CHECK_FALSE(GossipMessage::Decode(message.Encode()).freshness_proof_age_ms);
}

// Guards against ignoring the crash reports of daemons that run an earlier
// version during an upgrade.
TEST(ForwarderCodec, GossipOfAnEarlierVersionIsAccepted) {
  GossipMessage message = CompleteMessage();
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
TEST(ForwarderCodec, FailuresOfUpstreamsAreBounded) {
  GossipMessage message = CompleteMessage();
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
TEST(ForwarderCodec, OriginsOfStreamsRoundTrip) {
  GossipMessage message = CompleteMessage();
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

// Guards against conversions of numbers outside the range of their type, which
// are undefined.
TEST(ForwarderCodec, NumbersOutOfRangeAreRejected) {
  std::string bytes = CompleteMessage().Encode();
  const auto message = nlohmann::json::from_msgpack(bytes);
  for (const nlohmann::json& wrong :
       {nlohmann::json(8.45755e+141), nlohmann::json(-1), nlohmann::json(1.5),
        nlohmann::json("1")}) {
    const auto variants = ReplaceEachNumber(message, wrong);
    UNSIGNED_LONGS_EQUAL(33, variants.size());
    for (const nlohmann::json& variant : variants) {
      std::string encoded;
      nlohmann::json::to_msgpack(variant, encoded);
      CHECK_THROWS(CodecError, GossipMessage::Decode(encoded));
    }
  }
  const auto lease = nlohmann::json::parse(
      EncodeLease(lease::LeaseRecord{"weights", {"e1", 3}, 4, 5, 6}));
  for (const nlohmann::json& variant : ReplaceEachNumber(lease, 1e300)) {
    CHECK_THROWS(CodecError, DecodeLease(variant.dump()));
  }
  const auto release = nlohmann::json::parse(EncodeLease(lease::LeaseRecord{
      "weights",
      {"e1", 3},
      4,
      5,
      6,
      false,
      lease::LeaseRelease{std::chrono::milliseconds(1500)}}))["release"];
  for (const nlohmann::json& variant : ReplaceEachNumber(release, 1e300)) {
    nlohmann::json record = lease;
    record["release"] = variant;
    CHECK_THROWS(CodecError, DecodeLease(record.dump()));
  }
}

// Guards against an overflow of the clock by a time that a peer reports.
TEST(ForwarderCodec, TimesBeyondTheClockAreRejected) {
  for (std::uint64_t GossipMessage::*field :
       {&GossipMessage::sent_ms, &GossipMessage::echo_ms}) {
    GossipMessage message = CompleteMessage();
    message.*field = static_cast<std::uint64_t>(kMaxMilliseconds);
    GossipMessage::Decode(message.Encode());
    message.*field += 1;
    CHECK_THROWS(CodecError, GossipMessage::Decode(message.Encode()));
  }
  GossipMessage message = CompleteMessage();
  message.publications.front().age =
      std::chrono::milliseconds(kMaxMilliseconds);
  GossipMessage::Decode(message.Encode());
  message.publications.front().age += std::chrono::milliseconds(1);
  CHECK_THROWS(CodecError, GossipMessage::Decode(message.Encode()));
}

// Guards against a relay message that loses a field in encoding or decoding.
TEST(ForwarderCodec, RelayMessagesRoundTrip) {
  const auto poll =
      RelayPoll::Decode(RelayPoll{"e1", 5, {{1, 2, 3}, {4, 5, 6}}}.Encode());
  STRCMP_EQUAL("e1", poll.daemon.c_str());
  UNSIGNED_LONGS_EQUAL(5, poll.sequence);
  UNSIGNED_LONGS_EQUAL(2, poll.feeds.size());
  UNSIGNED_LONGS_EQUAL(4, poll.feeds.at(1).feed);
  UNSIGNED_LONGS_EQUAL(5, poll.feeds.at(1).epoch);
  UNSIGNED_LONGS_EQUAL(6, poll.feeds.at(1).position);
  const FeedDelta delta = CompleteDelta();
  const auto answer =
      RelayAnswer::Decode(RelayAnswer{"e2", 7, {delta}}.Encode());
  STRCMP_EQUAL("e2", answer.daemon.c_str());
  UNSIGNED_LONGS_EQUAL(7, answer.sequence);
  const FeedDelta& decoded = answer.feeds.at(0);
  UNSIGNED_LONGS_EQUAL(delta.feed, decoded.feed);
  UNSIGNED_LONGS_EQUAL(delta.epoch, decoded.epoch);
  UNSIGNED_LONGS_EQUAL(delta.position, decoded.position);
  CHECK(delta.status == decoded.status);
  UNSIGNED_LONGS_EQUAL(delta.age_ms, decoded.age_ms);
  CHECK(delta.recovered_age_ms == decoded.recovered_age_ms);
  CHECK(delta.shared_clock_ms == decoded.shared_clock_ms);
  UNSIGNED_LONGS_EQUAL(delta.read_pause_ms, decoded.read_pause_ms);
  CHECK(delta.part == decoded.part);
  CHECK(delta.records == decoded.records);
  CHECK(decoded.changes.at(0).stored);
  STRCMP_EQUAL("salt", decoded.changes.at(0).part.salt.c_str());
  STRCMP_EQUAL("id", decoded.changes.at(0).part.id.c_str());
  UNSIGNED_LONGS_EQUAL(16, decoded.changes.at(0).part.tokens);
}

// Guards against progress with a large record that is lost on the way, and
// against polls of daemons that do not accept records in parts.
TEST(ForwarderCodec, RelayPollsTellTheProgressWithALargeRecord) {
  const auto poll = RelayPoll::Decode(
      RelayPoll{"e1", 5, {{1, 2, 3, {{31, 6000}}}, {4, 5, 6, {}}}}.Encode());
  UNSIGNED_LONGS_EQUAL(31, poll.feeds.at(0).large_record->offset);
  UNSIGNED_LONGS_EQUAL(6000, poll.feeds.at(0).large_record->received);
  CHECK_FALSE(poll.feeds.at(1).large_record.has_value());
}

// Guards against a part that makes a follower use memory beyond the limit.
TEST(ForwarderCodec, PartsBeyondTheirRecordAreRejected) {
  FeedDelta delta = CompleteDelta();
  delta.part->size = relay::kMaxRelayedValueBytes + 1;
  CHECK_THROWS(CodecError,
               RelayAnswer::Decode(RelayAnswer{"e2", 7, {delta}}.Encode()));
  delta.part->size = delta.part->begin + delta.part->bytes.size() - 1;
  CHECK_THROWS(CodecError,
               RelayAnswer::Decode(RelayAnswer{"e2", 7, {delta}}.Encode()));
  delta.part->size = delta.part->begin - 1;
  CHECK_THROWS(CodecError,
               RelayAnswer::Decode(RelayAnswer{"e2", 7, {delta}}.Encode()));
}

// Guards against a datagram nested so deeply that decoding it exhausts the
// stack.
TEST(ForwarderCodec, DeeplyNestedDatagramsAreRejected) {
  constexpr std::size_t kMaxDatagramBytes = 65507;
  constexpr char kArrayOfOne = '\x91';
  constexpr std::string_view kObjectOfOne = "\x81\xa1k";
  const std::string arrays(kMaxDatagramBytes - 1, kArrayOfOne);
  std::string objects;
  while (objects.size() + kObjectOfOne.size() < kMaxDatagramBytes) {
    objects += kObjectOfOne;
  }
  for (const std::string& nested : {arrays, objects}) {
    CHECK_THROWS(CodecError, GossipMessage::Decode(nested));
    CHECK_THROWS(CodecError, RelayPoll::Decode(RelayPoll::kMark + nested));
    CHECK_THROWS(CodecError, RelayAnswer::Decode(RelayAnswer::kMark + nested));
  }
}

// Guards against a crash on a malformed relay message.
TEST(ForwarderCodec, MalformedRelayMessagesAreRejected) {
  const std::string poll = RelayPoll{"e1", 5, {{1, 2, 3}}}.Encode();
  const std::string answer = RelayAnswer{"e2", 7, {CompleteDelta()}}.Encode();
  for (std::size_t length = 0; length < poll.size(); ++length) {
    CHECK_THROWS(CodecError, RelayPoll::Decode(poll.substr(0, length)));
  }
  for (std::size_t length = 0; length < answer.size(); ++length) {
    CHECK_THROWS(CodecError, RelayAnswer::Decode(answer.substr(0, length)));
  }
  CHECK_THROWS(CodecError, RelayPoll::Decode(answer));
  CHECK_THROWS(CodecError, RelayAnswer::Decode(poll));
  const auto message = nlohmann::json::from_msgpack(answer.substr(1));
  for (const nlohmann::json& wrong :
       {nlohmann::json(1e300), nlohmann::json(-1), nlohmann::json("1")}) {
    for (const nlohmann::json& variant : ReplaceEachNumber(message, wrong)) {
      std::string encoded(1, RelayAnswer::kMark);
      nlohmann::json::to_msgpack(variant, encoded);
      CHECK_THROWS(CodecError, RelayAnswer::Decode(encoded));
    }
  }
}

// Guards against a capacity that daemons cannot compare, and against messages
// of daemons that do not report one.
TEST(ForwarderCodec, CapacitiesAreChecked) {
  GossipMessage message = CompleteMessage();
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

// Guards against a lease record whose holder, epoch or gap changes in encoding
// or decoding.
TEST(ForwarderCodec, LeasesRoundTrip) {
  const lease::LeaseRecord record{"weights", {"e1", 3}, 4, 5, 6, true};
  const auto decoded = DecodeLease(EncodeLease(record));
  STRCMP_EQUAL("weights", decoded.group.c_str());
  CHECK(decoded.holder == record.holder);
  UNSIGNED_LONGS_EQUAL(4, decoded.nonce);
  UNSIGNED_LONGS_EQUAL(5, decoded.base);
  UNSIGNED_LONGS_EQUAL(6, decoded.epoch);
  CHECK(decoded.follows_gap);
}

// Guards against a release that is read as a renewal, or whose age grows: the
// next holder would claim the lease too early. Records of daemons that write no
// release must still decode.
TEST(ForwarderCodec, LeaseReleasesRoundTrip) {
  lease::LeaseRecord record{"weights", {"e1", 3}, 4, 5};
  CHECK(!DecodeLease(EncodeLease(record)).release);
  CHECK(!DecodeLease(EncodeLease(record)).follows_gap);
  record.release.emplace();
  const auto unused = DecodeLease(EncodeLease(record)).release;
  CHECK(unused && !unused->since_last_order);
  record.release->since_last_order = std::chrono::microseconds(1'500'999);
  const auto used = DecodeLease(EncodeLease(record)).release;
  CHECK(used && used->since_last_order == std::chrono::milliseconds(1500));
  CHECK_THROWS(CodecError,
               DecodeLease(R"({"group":"g","daemon":"e1","incarnation":1,)"
                           R"("nonce":1,"base":0,"release":[]})"));
}

// Guards against a memory setting that is read in another unit, and against one
// without a unit, or of a size that no VM has.
TEST(ForwarderCodec, ReadsMemoryWithItsUnit) {
  const auto read = [](const std::string& value) {
    return ForwarderSettings::Read(
               IniDocument::Parse(kSettings + ("memory = " + value) + "\n",
                                  "f.ini"))
        .memory;
  };
  UNSIGNED_LONGS_EQUAL(112'000'000, read("112MB"));
  UNSIGNED_LONGS_EQUAL(112'500'000, read("112.5MB"));
  UNSIGNED_LONGS_EQUAL(128UL << 20U, read("128MiB"));
  UNSIGNED_LONGS_EQUAL(
      0,
      ForwarderSettings::Read(IniDocument::Parse(kSettings, "f.ini")).memory);
  for (const char* value : {"112", "112mb", "1MB", "-5GB", "nanMB", "2000GB"}) {
    LONGS_EQUAL(104,
                ErrorOf(kSettings + ("memory = " + std::string(value)) + "\n"));
  }
}
