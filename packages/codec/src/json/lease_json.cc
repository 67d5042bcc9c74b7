#include "jasminehatch/detail/json/lease_json.h"

#include <nlohmann/json.hpp>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/json/read_integer.h"

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
    record.holder.incarnation =
        ReadInteger<std::uint64_t>(document.at("incarnation"));
    record.nonce = ReadInteger<std::uint64_t>(document.at("nonce"));
    record.base = ReadInteger<std::uint64_t>(document.at("base"));
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw CodecError(230, std::string("not a lease record: ") + error.what());
  }
}

}  // namespace jasminehatch::codec
