#include <jasminehatch/codec.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "json_variants.h"

#include "jasminehatch/detail/testing/leak_detector_off.h"

#include <CppUTest/TestHarness.h>

using namespace jasminehatch;
using namespace jasminehatch::codec;
using namespace std::chrono_literals;
using test::ReplaceEachNumber;

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

// Guards against a crash on malformed input.
TEST(ForwarderCodec, MalformedInputIsRejected) {
  CHECK_THROWS(CodecError, DecodeLease("{}"));
  CHECK_THROWS(CodecError, DecodeLease("torn"));
  CHECK_THROWS(CodecError, DaemonAddress::Decode("[]"));
}

// Guards against conversions of numbers outside the range of their type, which
// are undefined.
TEST(ForwarderCodec, NumbersOutOfRangeAreRejected) {
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
