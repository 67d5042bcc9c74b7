#include "jasminehatch/detail/json/gossip_message.h"

#include <nlohmann/json.hpp>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::codec {
namespace {

using nlohmann::json;

/// Version of the encoding; changed when older daemons could misread a message.
constexpr int kFormatVersion = 2;

forwarding::UpstreamLoad DecodeLoad(const json& entry) {
  return {entry.at(0).get<std::uint32_t>(), entry.at(1).get<std::uint32_t>(),
          entry.at(2).get<std::uint64_t>()};
}

WeightsUpdate DecodeWeightsUpdate(const json& entry) {
  return {entry.at(0).get<std::string>(), entry.at(1).get<std::string>(),
          entry.at(2).get<std::uint64_t>(), entry.at(3).get<bool>()};
}

}  // namespace

std::string GossipMessage::Encode() const {
  json encoded_loads = json::array();
  for (const forwarding::UpstreamLoad& load : loads) {
    encoded_loads.push_back(
        json::array({load.upstream, load.in_flight, load.tokens}));
  }
  json encoded_updates = json::array();
  for (const WeightsUpdate& entry : weights_updates) {
    encoded_updates.push_back(json::array(
        {entry.upstream, entry.model, entry.version, entry.loading}));
  }
  json encoded_crashes = json::array();
  for (const forwarding::CrashReport& report : crash_reports) {
    encoded_crashes.push_back(
        json::array({report.fingerprint, report.upstream}));
  }
  const json message = json::array(
      {kFormatVersion, daemon, address, zone, incarnation, sequence,
       std::move(encoded_loads), std::move(encoded_updates), sent_ms, echo_ms,
       operator_end_offset,
       freshness_proof_age_ms ? json(*freshness_proof_age_ms) : json(),
       std::move(encoded_crashes), covers_zone});
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

GossipMessage GossipMessage::Decode(std::string_view bytes) {
  try {
    const json message = json::from_msgpack(bytes);
    if (message.at(0).get<int>() != kFormatVersion) {
      throw CodecError(236, "a gossip message of an unknown format");
    }
    GossipMessage decoded;
    decoded.daemon = message.at(1).get<std::string>();
    decoded.address = message.at(2).get<std::string>();
    decoded.zone = message.at(3).get<std::string>();
    decoded.incarnation = message.at(4).get<std::uint64_t>();
    decoded.sequence = message.at(5).get<std::uint64_t>();
    for (const json& entry : message.at(6)) {
      decoded.loads.push_back(DecodeLoad(entry));
    }
    for (const json& entry : message.at(7)) {
      decoded.weights_updates.push_back(DecodeWeightsUpdate(entry));
    }
    decoded.sent_ms = message.at(8).get<std::uint64_t>();
    decoded.echo_ms = message.at(9).get<std::uint64_t>();
    decoded.operator_end_offset = message.at(10).get<std::uint64_t>();
    if (!message.at(11).is_null()) {
      decoded.freshness_proof_age_ms = message.at(11).get<std::uint64_t>();
    }
    for (const json& entry : message.at(12)) {
      decoded.crash_reports.push_back(
          {entry.at(0).get<std::uint64_t>(), entry.at(1).get<std::uint64_t>()});
    }
    decoded.covers_zone = message.at(13).get<bool>();
    return decoded;
  } catch (const json::exception& error) {
    throw CodecError(236, std::string("not a gossip message: ") + error.what());
  }
}

std::string DaemonAddress::Encode() const {
  return json{
      {"address", address}, {"zone", zone}, {"incarnation", incarnation}}
      .dump();
}

DaemonAddress DaemonAddress::Decode(std::string_view text) {
  try {
    const json document = json::parse(text);
    return {document.at("address").get<std::string>(),
            document.at("zone").get<std::string>(),
            document.at("incarnation").get<std::uint64_t>()};
  } catch (const json::exception& error) {
    throw CodecError(237,
                     std::string("not a daemon's address: ") + error.what());
  }
}

}  // namespace jasminehatch::codec
