#include "jasminehatch/detail/json/lease_json.h"

#include <nlohmann/json.hpp>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::codec {

std::string EncodeLease(const lease::LeaseRecord& record) {
  return nlohmann::json{{"group", record.group},
                        {"daemon", record.holder.daemon},
                        {"incarnation", record.holder.incarnation},
                        {"nonce", record.nonce},
                        {"base", record.base}}
      .dump();
}

lease::LeaseRecord DecodeLease(std::string_view text) {
  const auto document = nlohmann::json::parse(text, nullptr, false);
  try {
    lease::LeaseRecord record;
    record.group = document.at("group").get<std::string>();
    record.holder.daemon = document.at("daemon").get<std::string>();
    record.holder.incarnation = document.at("incarnation").get<std::uint64_t>();
    record.nonce = document.at("nonce").get<std::uint64_t>();
    record.base = document.at("base").get<std::uint64_t>();
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw CodecError(230, std::string("not a lease record: ") + error.what());
  }
}

}  // namespace jasminehatch::codec
