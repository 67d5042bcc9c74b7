#include "jasminehatch/detail/json/relay_message.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/json/read_integer.h"
#include "json_errors.h"

namespace jasminehatch::codec {
namespace {

using nlohmann::json;

std::string EncodeMarked(char mark, const json& message) {
  std::string bytes(1, mark);
  json::to_msgpack(message, bytes);
  return bytes;
}

json DecodeMarked(char mark, std::string_view bytes) {
  if (bytes.empty() || bytes.front() != mark) {
    throw json::type_error::create(302, "another kind of message", nullptr);
  }
  return json::from_msgpack(bytes.substr(1));
}

json EncodeRecord(const relay::Record& record) {
  return json::array({record.offset, record.key, record.value, record.removed});
}

relay::Record DecodeRecord(const json& entry) {
  return {ReadInteger<std::uint64_t>(entry.at(0)),
          entry.at(1).get<std::string>(), entry.at(2).get<std::string>(),
          entry.at(3).get<bool>()};
}

json EncodeChange(const forwarding::CacheChange& change) {
  return json::array(
      {change.stored, change.part.salt, change.part.id, change.part.tokens});
}

forwarding::CacheChange DecodeChange(const json& entry) {
  return {entry.at(0).get<bool>(),
          {entry.at(1).get<std::string>(), entry.at(2).get<std::string>(),
           ReadInteger<std::uint32_t>(entry.at(3))}};
}

json EncodePart(const std::optional<relay::RecordPart>& part) {
  return part ? json::array({part->offset, part->key, part->size, part->digest,
                             part->begin, part->bytes})
              : json();
}

relay::RecordPart DecodePart(const json& entry) {
  relay::RecordPart part{ReadInteger<std::uint64_t>(entry.at(0)),
                         entry.at(1).get<std::string>(),
                         ReadInteger<std::uint64_t>(entry.at(2)),
                         ReadInteger<std::uint64_t>(entry.at(3)),
                         ReadInteger<std::uint64_t>(entry.at(4)),
                         entry.at(5).get<std::string>()};
  const bool fits = part.size <= relay::kMaxRelayedValueBytes &&
                    part.begin <= part.size &&
                    part.bytes.size() <= part.size - part.begin;
  if (!fits) {
    throw json::type_error::create(302, "part beyond its record", &entry);
  }
  return part;
}

json EncodePosition(const FeedPosition& feed) {
  json encoded = json::array({feed.feed, feed.epoch, feed.position});
  if (feed.large_record) {
    encoded.push_back(
        json::array({feed.large_record->offset, feed.large_record->received}));
  }
  return encoded;
}

FeedPosition DecodePosition(const json& entry) {
  FeedPosition feed;
  feed.feed = ReadInteger<std::uint32_t>(entry.at(0));
  feed.epoch = ReadInteger<std::uint64_t>(entry.at(1));
  feed.position = ReadInteger<std::uint64_t>(entry.at(2));
  // Daemons of earlier releases do not accept records in parts.
  constexpr std::size_t kLargeRecord = 3;
  if (entry.size() > kLargeRecord) {
    const json& progress = entry.at(kLargeRecord);
    feed.large_record = {ReadInteger<std::uint64_t>(progress.at(0)),
                         ReadInteger<std::uint64_t>(progress.at(1))};
  }
  return feed;
}

json EncodeDelta(const FeedDelta& delta) {
  json records = json::array();
  for (const relay::Record& record : delta.records) {
    records.push_back(EncodeRecord(record));
  }
  json changes = json::array();
  for (const forwarding::CacheChange& change : delta.changes) {
    changes.push_back(EncodeChange(change));
  }
  return json::array(
      {delta.feed, delta.epoch, delta.position,
       static_cast<std::uint8_t>(delta.status), delta.age_ms,
       delta.recovered_age_ms ? json(*delta.recovered_age_ms) : json(),
       std::move(records), std::move(changes),
       delta.shared_clock_ms ? json(*delta.shared_clock_ms) : json(),
       delta.read_pause_ms, EncodePart(delta.part)});
}

FeedDelta DecodeDelta(const json& entry) {
  FeedDelta delta;
  delta.feed = ReadInteger<std::uint32_t>(entry.at(0));
  delta.epoch = ReadInteger<std::uint64_t>(entry.at(1));
  delta.position = ReadInteger<std::uint64_t>(entry.at(2));
  const auto status = ReadInteger<std::uint8_t>(entry.at(3));
  if (status >= static_cast<std::uint8_t>(FeedDelta::Status::kCount)) {
    throw json::type_error::create(302, "unknown status", &entry);
  }
  delta.status = static_cast<FeedDelta::Status>(status);
  delta.age_ms = ReadMilliseconds(entry.at(4));
  if (!entry.at(5).is_null()) {
    delta.recovered_age_ms = ReadMilliseconds(entry.at(5));
  }
  for (const json& record : entry.at(6)) {
    delta.records.push_back(DecodeRecord(record));
  }
  for (const json& change : entry.at(7)) {
    delta.changes.push_back(DecodeChange(change));
  }
  // Daemons of earlier releases do not send the following members.
  constexpr std::size_t kSharedClock = 8;
  if (entry.size() > kSharedClock && !entry.at(kSharedClock).is_null()) {
    delta.shared_clock_ms = ReadMilliseconds(entry.at(kSharedClock));
  }
  constexpr std::size_t kReadPause = 9;
  if (entry.size() > kReadPause) {
    delta.read_pause_ms = ReadMilliseconds(entry.at(kReadPause));
  }
  constexpr std::size_t kPart = 10;
  if (entry.size() > kPart && !entry.at(kPart).is_null()) {
    delta.part = DecodePart(entry.at(kPart));
  }
  return delta;
}

}  // namespace

std::string RelayPoll::Encode() const {
  json encoded = json::array();
  for (const FeedPosition& feed : feeds) {
    encoded.push_back(EncodePosition(feed));
  }
  return EncodeMarked(kMark,
                      json::array({daemon, sequence, std::move(encoded)}));
}

RelayPoll RelayPoll::Decode(std::string_view bytes) {
  return ConvertJsonErrors(238, "relay poll", [bytes] {
    const json message = DecodeMarked(kMark, bytes);
    RelayPoll poll;
    poll.daemon = message.at(0).get<std::string>();
    poll.sequence = ReadInteger<std::uint64_t>(message.at(1));
    for (const json& feed : message.at(2)) {
      poll.feeds.push_back(DecodePosition(feed));
    }
    return poll;
  });
}

std::string RelayAnswer::Encode() const {
  json encoded = json::array();
  for (const FeedDelta& delta : feeds) {
    encoded.push_back(EncodeDelta(delta));
  }
  return EncodeMarked(kMark,
                      json::array({daemon, sequence, std::move(encoded)}));
}

RelayAnswer RelayAnswer::Decode(std::string_view bytes) {
  return ConvertJsonErrors(239, "relay answer", [bytes] {
    const json message = DecodeMarked(kMark, bytes);
    RelayAnswer answer;
    answer.daemon = message.at(0).get<std::string>();
    answer.sequence = ReadInteger<std::uint64_t>(message.at(1));
    for (const json& delta : message.at(2)) {
      answer.feeds.push_back(DecodeDelta(delta));
    }
    return answer;
  });
}

}  // namespace jasminehatch::codec
