#include "jasminehatch/detail/json/lease_json.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/json/read_integer.h"

namespace jasminehatch::codec {

namespace {

using std::chrono::milliseconds;

nlohmann::json EncodeRelease(const lease::LeaseRelease& release) {
  auto document = nlohmann::json::object();
  if (release.since_last_order) {
    // Rounded down: a shorter time lets the next holder wait longer.
    document["since_last_order_ms"] =
        std::chrono::floor<milliseconds>(*release.since_last_order).count();
  }
  return document;
}

lease::LeaseRelease DecodeRelease(const nlohmann::json& document) {
  if (!document.is_object()) {
    throw CodecError(230, "not a lease record: the release is not an object");
  }
  lease::LeaseRelease release;
  const auto since = document.find("since_last_order_ms");
  if (since != document.end()) {
    release.since_last_order = milliseconds(ReadMilliseconds(*since));
  }
  return release;
}

}  // namespace

std::string EncodeLease(const lease::LeaseRecord& record) {
  nlohmann::json document{{"group", record.group},
                          {"daemon", record.holder.daemon},
                          {"incarnation", record.holder.incarnation},
                          {"nonce", record.nonce},
                          {"base", record.base}};
  if (record.epoch != 0) {
    document["epoch"] = record.epoch;
  }
  if (record.follows_gap) {
    document["follows_gap"] = true;
  }
  if (record.release) {
    document["release"] = EncodeRelease(*record.release);
  }
  return document.dump();
}

lease::LeaseRecord DecodeLease(std::string_view text) {
  const auto document = nlohmann::json::parse(text, nullptr, false);
  try {
    lease::LeaseRecord record;
    record.group = document.at("group").get<std::string>();
    record.holder.daemon = document.at("daemon").get<std::string>();
    record.holder.incarnation =
        ReadInteger<std::uint64_t>(document.at("incarnation"));
    record.nonce = ReadInteger<std::uint64_t>(document.at("nonce"));
    record.base = ReadInteger<std::uint64_t>(document.at("base"));
    if (const auto epoch = document.find("epoch"); epoch != document.end()) {
      record.epoch = ReadInteger<std::uint32_t>(*epoch);
    }
    record.follows_gap = document.value("follows_gap", false);
    if (const auto release = document.find("release");
        release != document.end()) {
      record.release = DecodeRelease(*release);
    }
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw CodecError(230, std::string("not a lease record: ") + error.what());
  }
}

}  // namespace jasminehatch::codec
