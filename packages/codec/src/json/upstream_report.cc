#include "jasminehatch/detail/json/upstream_report.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/hash/sha256.h"
#include "jasminehatch/detail/json/read_integer.h"
#include "json_errors.h"

namespace jasminehatch::codec {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

}  // namespace

serving::LoadReported ParseLoadReport(std::string_view text) {
  return ConvertJsonErrors(240, "load report", [text] {
    const json document = json::parse(text);
    serving::LoadReported report;
    report.age =
        milliseconds(ReadIntegerOrZero<std::uint32_t>(document, "age_ms"));
    report.running = ReadInteger<std::uint32_t>(document.at("running"));
    report.slots = ReadInteger<std::uint32_t>(document.at("slots"));
    report.queued = ReadInteger<std::uint32_t>(document.at("queued"));
    report.queued_prefill_tokens =
        ReadInteger<std::uint64_t>(document.at("queued_prefill_tokens"));
    report.incarnation = ReadInteger<std::uint64_t>(document.at("incarnation"));
    report.weight_version = document.value("weight_version", "");
    report.draining = document.value("draining", false);
    report.loading = document.value("loading", false);
    report.fencing = ReadIntegerOrZero<std::uint64_t>(document, "fencing");
    return report;
  });
}

std::string BuildLoadReport(const serving::LoadReported& report) {
  return json{
      {"age_ms", std::chrono::duration_cast<milliseconds>(report.age).count()},
      {"running", report.running},
      {"slots", report.slots},
      {"queued", report.queued},
      {"queued_prefill_tokens", report.queued_prefill_tokens},
      {"incarnation", report.incarnation},
      {"weight_version", report.weight_version},
      {"draining", report.draining},
      {"loading", report.loading},
      {"fencing", report.fencing}}
      .dump();
}

std::vector<serving::CacheChange> ParseCacheChanges(std::string_view text) {
  return ConvertJsonErrors(241, "cache events", [text] {
    std::vector<serving::CacheChange> changes;
    for (const json& event : json::parse(text).at("events")) {
      changes.push_back({ReadInteger<std::uint64_t>(event.at("seq")),
                         ParseDigest(event.at("key").get<std::string>()),
                         event.at("stored").get<bool>()});
    }
    return changes;
  });
}

std::string BuildCacheChanges(
    const std::vector<serving::CacheChange>& changes) {
  json events = json::array();
  for (const serving::CacheChange& change : changes) {
    events.push_back({{"seq", change.sequence},
                      {"key", change.key.ToHex()},
                      {"stored", change.stored}});
  }
  return json{{"events", std::move(events)}}.dump();
}

serving::CacheListed ParseCacheListing(std::string_view text) {
  return ConvertJsonErrors(242, "cache listing", [text] {
    const json document = json::parse(text);
    serving::CacheListed listing;
    listing.sequence = ReadInteger<std::uint64_t>(document.at("seq"));
    for (const json& key : document.at("keys")) {
      listing.keys.push_back(ParseDigest(key.get<std::string>()));
    }
    return listing;
  });
}

std::string BuildCacheListing(const serving::CacheListed& listing) {
  json keys = json::array();
  for (const BlockKey& key : listing.keys) {
    keys.push_back(key.ToHex());
  }
  return json{{"seq", listing.sequence}, {"keys", std::move(keys)}}.dump();
}

}  // namespace jasminehatch::codec
