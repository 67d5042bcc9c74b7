#include "jasminehatch/detail/json/config_record.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <variant>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/json/log_record.h"
#include "jasminehatch/detail/json/read_integer.h"

namespace jasminehatch::codec {
namespace {

using nlohmann::json;

}  // namespace

std::string EncodeSnapshotPart(const config::SnapshotPart& part) {
  json entries = json::array();
  for (const auto& [id, fields] : part.entries) {
    entries.push_back({id.kind, id.name, fields});
  }
  json outcomes = json::array();
  for (const config::ChangeOutcome& outcome : part.outcomes) {
    outcomes.push_back({outcome.change_id, outcome.offset, outcome.accepted});
  }
  return json{{"v", 1},
              {"snapshot", part.covers},
              {"version", part.version},
              {"part", part.part},
              {"count", part.count},
              {"written", std::chrono::duration_cast<std::chrono::seconds>(
                              part.written.time_since_epoch())
                              .count()},
              {"entries", std::move(entries)},
              {"outcomes", std::move(outcomes)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

config::SnapshotPart DecodeSnapshotPart(std::string_view record) {
  try {
    const json document = json::parse(record);
    config::SnapshotPart part;
    part.covers = ReadInteger<std::uint64_t>(document.at("snapshot"));
    part.version = ReadInteger<std::uint64_t>(document.at("version"));
    part.part = ReadInteger<std::uint32_t>(document.at("part"));
    part.count = ReadInteger<std::uint32_t>(document.at("count"));
    part.written =
        WallTime(std::chrono::seconds(ReadSeconds(document.at("written"))));
    for (const json& entry : document.at("entries")) {
      part.entries.emplace_back(config::EntryId{entry.at(0).get<std::string>(),
                                                entry.at(1).get<std::string>()},
                                entry.at(2).get<config::Fields>());
    }
    for (const json& outcome : document.at("outcomes")) {
      part.outcomes.push_back({outcome.at(0).get<std::string>(),
                               ReadInteger<std::uint64_t>(outcome.at(1)),
                               outcome.at(2).get<bool>()});
    }
    return part;
  } catch (const json::exception& error) {
    throw CodecError(
        233, "invalid snapshot part (error " + std::to_string(error.id) + ")");
  }
}

config::Record DecodeConfigRecord(std::uint64_t offset, std::string_view data) {
  config::Record record;
  record.offset = offset;
  const json document = json::parse(data, nullptr, false);
  if (!document.is_object()) {
    return record;
  }
  try {
    if (document.contains("snapshot")) {
      record.body = DecodeSnapshotPart(data);
    } else {
      record.body = DecodeConfigChange(data);
    }
  } catch (const CodecError&) {
    record.body = std::monostate{};
  }
  return record;
}

config::Page DecodeConfigPage(const LogPage& page, std::uint64_t from) {
  config::Page decoded;
  decoded.from = std::max(from, page.first);
  decoded.next = page.next;
  for (const LogRecord& record : page.records) {
    decoded.records.push_back(DecodeConfigRecord(record.offset, record.data));
  }
  return decoded;
}

std::string EncodePeerPage(const config::ConfigReader::PeerPage& page) {
  json snapshot = json::array();
  for (const config::SnapshotPart& part : page.snapshot) {
    snapshot.push_back(EncodeSnapshotPart(part));
  }
  json records = json::array();
  for (const config::Record& record : page.page.records) {
    if (const auto* change = std::get_if<config::ConfigChange>(&record.body)) {
      records.push_back({record.offset, EncodeConfigChange(*change)});
    }
  }
  return json{{"snapshot", std::move(snapshot)},
              {"from", page.page.from},
              {"next", page.page.next},
              {"records", std::move(records)}}
      .dump();
}

config::ConfigReader::PeerPage DecodePeerPage(std::string_view text) {
  try {
    const json document = json::parse(text);
    config::ConfigReader::PeerPage page;
    for (const json& part : document.at("snapshot")) {
      page.snapshot.push_back(DecodeSnapshotPart(part.get<std::string>()));
    }
    page.page.from = ReadInteger<std::uint64_t>(document.at("from"));
    page.page.next = ReadInteger<std::uint64_t>(document.at("next"));
    for (const json& record : document.at("records")) {
      page.page.records.push_back(
          DecodeConfigRecord(ReadInteger<std::uint64_t>(record.at(0)),
                             record.at(1).get<std::string>()));
    }
    return page;
  } catch (const json::exception& error) {
    throw CodecError(234, "a peer sent an invalid page (error " +
                              std::to_string(error.id) + ")");
  }
}

}  // namespace jasminehatch::codec
