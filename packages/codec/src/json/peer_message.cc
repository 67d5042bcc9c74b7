#include "jasminehatch/detail/json/peer_message.h"

#include <nlohmann/json.hpp>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/hash/sha256.h"
#include "jasminehatch/detail/json/read_integer.h"
#include "json_errors.h"

namespace jasminehatch::codec {
namespace {

using nlohmann::json;

}  // namespace

std::string EncodeMembershipMessage(const membership::Message& message) {
  json document = {{"f", message.from},
                   {"i", message.incarnation},
                   {"r", message.refutation_count},
                   {"o", message.config_offset}};
  for (const membership::MemberUpdate& update : message.member_updates) {
    document["m"].push_back({update.name, update.incarnation,
                             update.refutation_count,
                             static_cast<int>(update.status)});
  }
  if (!message.leaving_upstreams.empty()) {
    document["l"] = message.leaving_upstreams;
  }
  for (const membership::Quarantine& entry : message.quarantined_requests) {
    document["q"].push_back(
        {entry.fingerprint.ToHex(), entry.remaining.count()});
  }
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

membership::Message DecodeMembershipMessage(std::string_view text) {
  return ConvertJsonErrors(250, "membership message", [text] {
    const json document = json::parse(text);
    membership::Message message;
    message.from = document.at("f").get<std::string>();
    message.incarnation = ReadInteger<std::uint64_t>(document.at("i"));
    message.refutation_count = ReadInteger<std::uint32_t>(document.at("r"));
    message.config_offset = ReadInteger<std::uint64_t>(document.at("o"));
    for (const json& update : document.value("m", json::array())) {
      const int status = ReadInteger<int>(update.at(3));
      if (status < 0 || status > static_cast<int>(membership::Status::kDead)) {
        throw CodecError(250, "unknown status in a membership message");
      }
      message.member_updates.push_back(
          {update.at(0).get<std::string>(),
           ReadInteger<std::uint64_t>(update.at(1)),
           ReadInteger<std::uint32_t>(update.at(2)),
           static_cast<membership::Status>(status)});
    }
    message.leaving_upstreams = document.value("l", std::vector<std::string>{});
    for (const json& entry : document.value("q", json::array())) {
      message.quarantined_requests.push_back(
          {ParseDigest(entry.at(0).get<std::string>()),
           std::chrono::seconds(ReadSeconds(entry.at(1)))});
    }
    return message;
  });
}

std::string EncodeRpcCall(std::string_view method, std::string_view params) {
  return R"({"jsonrpc":"2.0","id":1,"method":")" + std::string(method) +
         R"(","params":)" + std::string(params) + "}";
}

std::string DecodeRpcResult(std::string_view text) {
  return ConvertJsonErrors(251, "JSON-RPC response", [text] {
    const json document = json::parse(text);
    if (document.contains("error")) {
      throw CodecError(251, "the peer returned a JSON-RPC error");
    }
    return document.at("result").dump();
  });
}

std::vector<ListedVm> ParseVmList(std::string_view text) {
  return ConvertJsonErrors(252, "VM list", [text] {
    std::vector<ListedVm> vms;
    const json document = json::parse(text);
    for (const json& vm : document.at("vms")) {
      vms.push_back({vm.at("name").get<std::string>(),
                     vm.at("url").get<std::string>(),
                     vm.at("state").get<std::string>() == "leaving"});
    }
    return vms;
  });
}

}  // namespace jasminehatch::codec
