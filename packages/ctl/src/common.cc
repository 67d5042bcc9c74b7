#include "jasminehatch/detail/ctl/common.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <utility>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/ctl/command.h"
#include "jasminehatch/detail/ctl/sync_client.h"

DEFINE_string(log, "", "base URL of the log service");
DEFINE_string(daemons, "", "base URLs of daemons, separated by commas");
DEFINE_string(author, "operator", "name that is recorded with a change");
DEFINE_bool(json, false, "print JSON");

namespace jasminehatch::ctl {

using nlohmann::json;

std::string NewChangeId() {
  std::random_device device;
  return codec::ComputeDigest({std::to_string(device()),
                               std::to_string(device()),
                               std::to_string(device())})
      .ToHex();
}

std::vector<std::string> DaemonUrls() {
  std::vector<std::string> urls;
  std::string_view rest = FLAGS_daemons;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(','), rest.size());
    urls.emplace_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return urls;
}

int ReportMissingFlag(std::string_view flag) {
  std::cerr << "--" << flag << " is required\n";
  return kExitUsage;
}

std::map<config::EntryId, config::Fields> LoadConfigurationFile(
    const std::string& file) {
  const auto document = codec::IniDocument::Load(file);
  auto entries = codec::ToConfigEntries(document);
  codec::Configuration::FromEntries(entries, &document);
  return entries;
}

void KeepZones(const std::map<config::EntryId, config::Fields>& current,
               std::map<config::EntryId, config::Fields>& wanted) {
  for (const auto& [id, fields] : current) {
    const auto evacuated = fields.find("evacuated");
    if (id.kind == "zone" && evacuated != fields.end()) {
      wanted[id].emplace(*evacuated);
    }
  }
}

std::optional<json> ReadObject(const net::HttpResult& result) {
  // A part of a response, after which its connection broke, may be valid JSON.
  if (result.kind != net::HttpResult::Kind::kComplete) {
    return std::nullopt;
  }
  json document = json::parse(result.body, nullptr, false);
  return document.is_object() ? std::optional<json>(std::move(document))
                              : std::nullopt;
}

std::string DescribeFailure(const net::HttpResult& result) {
  return result.error.empty() ? "HTTP " + std::to_string(result.status)
                              : result.error;
}

std::optional<json> FetchStatus(SyncClient& client,
                                const std::string& url,
                                std::string& error) {
  net::HttpCall call;
  call.url = url + "/status";
  call.total_timeout = std::chrono::seconds(2);
  const net::HttpResult result = client.Call(std::move(call));
  auto document = ReadObject(result);
  if (result.status != 200 || !document) {
    error = DescribeFailure(result);
    return std::nullopt;
  }
  return document;
}

int ReportPublication(PublishResult result,
                      config::Version version,
                      json details) {
  static constexpr std::array<std::string_view, 4> kNames{
      "accepted", "rejected", "unchanged", "unknown"};
  static constexpr std::array<int, 4> kExits{kExitOk, kExitFailed, kExitOk,
                                             kExitUnknown};
  const auto index = static_cast<std::size_t>(result);
  if (FLAGS_json) {
    details["result"] = kNames.at(index);
    details["version"] = version;
    std::cout << details.dump() << '\n';
  } else {
    std::cout << kNames.at(index) << ", version in force: " << version << '\n';
  }
  return kExits.at(index);
}

}  // namespace jasminehatch::ctl
