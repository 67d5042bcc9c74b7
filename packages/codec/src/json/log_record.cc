#include "jasminehatch/detail/json/log_record.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/hash/sha256.h"
#include "jasminehatch/detail/json/read_integer.h"

namespace jasminehatch::codec {
namespace {

using nlohmann::json;

std::int64_t ToSeconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

json CommonFields(const char* type,
                  const booking::IntentId& id,
                  const booking::BookingKey& key) {
  return {{"type", type},
          {"daemon", id.daemon},
          {"incarnation", id.incarnation},
          {"sequence", id.sequence},
          {"workspace", key.workspace},
          {"key", key.key}};
}

json ToJson(const booking::Intent& intent) {
  json entry = CommonFields("intent", intent.id, intent.key);
  entry["body_digest"] = intent.body_digest.ToHex();
  entry["key_time"] = ToSeconds(intent.key_time);
  return entry;
}

json ToJson(const booking::Outcome& outcome) {
  json entry = CommonFields("outcome", outcome.id, outcome.key);
  entry["status"] = outcome.status;
  entry["content_type"] = outcome.content_type;
  entry["body"] = outcome.body;
  entry["body_dropped"] = outcome.body_dropped;
  return entry;
}

json ToJson(const booking::Void& entry) {
  json document = CommonFields("void", entry.id, entry.key);
  document["key_time"] = ToSeconds(entry.key_time);
  return document;
}

WallTime ReadKeyTime(const json& entry) {
  return WallTime(std::chrono::seconds(ReadSeconds(entry.at("key_time"))));
}

booking::LogEntry FromJson(const json& entry) {
  booking::IntentId id{entry.at("daemon").get<std::string>(),
                       ReadInteger<std::uint64_t>(entry.at("incarnation")),
                       ReadInteger<std::uint64_t>(entry.at("sequence"))};
  booking::BookingKey key{entry.at("workspace").get<std::string>(),
                          entry.at("key").get<std::string>()};
  const std::string type = entry.at("type").get<std::string>();
  if (type == "intent") {
    return booking::Intent{
        std::move(id), std::move(key),
        ParseDigest(entry.at("body_digest").get<std::string>()),
        ReadKeyTime(entry)};
  }
  if (type == "outcome") {
    return booking::Outcome{std::move(id),
                            std::move(key),
                            ReadInteger<int>(entry.at("status")),
                            entry.at("content_type").get<std::string>(),
                            entry.at("body").get<std::string>(),
                            entry.at("body_dropped").get<bool>()};
  }
  if (type == "void") {
    return booking::Void{std::move(id), std::move(key), ReadKeyTime(entry)};
  }
  throw CodecError(231, "unknown type of booking entry");
}

}  // namespace

LogPage LogPage::Parse(std::string_view text) {
  try {
    const json document = json::parse(text);
    LogPage page;
    page.first = ReadInteger<std::uint64_t>(document.at("first"));
    page.next = ReadInteger<std::uint64_t>(document.at("next"));
    for (const json& record : document.at("records")) {
      page.records.push_back({ReadInteger<std::uint64_t>(record.at("offset")),
                              record.at("data").get<std::string>()});
    }
    return page;
  } catch (const json::exception& error) {
    throw CodecError(230, "the log sent an invalid page (error " +
                              std::to_string(error.id) + ")");
  }
}

std::string EncodeBookingEntries(std::span<const booking::LogEntry> entries) {
  json list = json::array();
  for (const booking::LogEntry& entry : entries) {
    list.push_back(
        std::visit([](const auto& body) { return ToJson(body); }, entry));
  }
  return json{{"v", 1}, {"entries", std::move(list)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

std::vector<booking::LogEntry> DecodeBookingEntries(std::string_view record) {
  try {
    const json document = json::parse(record);
    if (document.at("v") != 1) {
      throw CodecError(231, "unknown version of booking record");
    }
    std::vector<booking::LogEntry> entries;
    for (const json& entry : document.at("entries")) {
      entries.push_back(FromJson(entry));
    }
    return entries;
  } catch (const json::exception& error) {
    throw CodecError(
        231, "invalid booking record (error " + std::to_string(error.id) + ")");
  }
}

std::string EncodeConfigChange(const config::ConfigChange& change) {
  json updates = json::array();
  for (const config::ConfigChange::Update& update : change.updates) {
    updates.push_back(
        {{"kind", update.id.kind},
         {"name", update.id.name},
         {"fields", update.fields ? json(*update.fields) : json(nullptr)}});
  }
  return json{{"v", 1},
              {"change", change.change_id},
              {"base", change.base},
              {"author", change.author},
              {"updates", std::move(updates)}}
      .dump();
}

config::ConfigChange DecodeConfigChange(std::string_view record) {
  try {
    const json document = json::parse(record);
    if (document.at("v") != 1) {
      throw CodecError(232, "unknown version of configuration record");
    }
    config::ConfigChange change;
    change.change_id = document.at("change").get<std::string>();
    change.base = ReadInteger<std::uint64_t>(document.at("base"));
    change.author = document.at("author").get<std::string>();
    for (const json& update : document.at("updates")) {
      config::ConfigChange::Update decoded;
      decoded.id = {update.at("kind").get<std::string>(),
                    update.at("name").get<std::string>()};
      if (!update.at("fields").is_null()) {
        decoded.fields = update.at("fields").get<config::Fields>();
      }
      change.updates.push_back(std::move(decoded));
    }
    return change;
  } catch (const json::exception& error) {
    throw CodecError(232, "invalid configuration record (error " +
                              std::to_string(error.id) + ")");
  }
}

}  // namespace jasminehatch::codec
