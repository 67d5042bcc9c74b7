#include "jasminehatch/detail/json/gossip_message.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/json/read_integer.h"

namespace jasminehatch::codec {
namespace {

using nlohmann::json;

/// Version of the encoding; changed when older daemons could misread a message.
constexpr int kFormatVersion = 2;

forwarding::UpstreamLoad DecodeLoad(const json& entry) {
  return {ReadInteger<std::uint32_t>(entry.at(0)),
          ReadInteger<std::uint32_t>(entry.at(1)),
          ReadInteger<std::uint64_t>(entry.at(2))};
}

/// Later daemons append these fields, which earlier ones ignore.
constexpr std::size_t kCapacityIndex = 14;
constexpr std::size_t kStoppingIndex = 15;
constexpr std::size_t kPublicationsIndex = 16;
constexpr std::size_t kPartVerdictsIndex = 17;
constexpr std::size_t kUpstreamFailuresIndex = 18;
constexpr std::size_t kStreamOriginsIndex = 19;
constexpr std::size_t kOperatorEpochIndex = 20;
constexpr std::size_t kEchoIncarnationIndex = 21;
constexpr std::size_t kForwardingAddressIndex = 22;
constexpr std::size_t kConfigurationVersionIndex = 23;

/// A crash report without prompt parts has this number of elements; later
/// daemons append the parts, which earlier ones ignore.
constexpr std::size_t kShortCrashReportSize = 2;

/// Where a crash report has its prompt parts: those of requests whose response
/// had not begun stand elsewhere, because earlier daemons would count such a
/// crash in full.
constexpr std::size_t kPartsIndex = 3;
constexpr std::size_t kWaitingPartsIndex = 5;

/// Longest name of a service or version of an origin that is used; a daemon
/// keeps thousands of origins.
constexpr std::size_t kMaxOriginNameBytes = 256;

std::int64_t AgeInMilliseconds(Duration age) {
  return std::chrono::ceil<std::chrono::milliseconds>(
             std::max(age, Duration::zero()))
      .count();
}

Duration DecodeAge(const json& value) {
  return std::chrono::milliseconds(ReadMilliseconds(value));
}

json EncodeCrashReport(const forwarding::CrashReport& report) {
  json encoded = json::array({report.fingerprint, report.upstream});
  if (!report.parts.empty() || report.age > Duration::zero()) {
    const json none = json::array();
    encoded.push_back(report.own_part);
    encoded.push_back(report.response_begun ? json(report.parts) : none);
    encoded.push_back(AgeInMilliseconds(report.age));
    if (!report.response_begun) {
      encoded.push_back(report.parts);
    }
  }
  return encoded;
}

forwarding::CrashReport DecodeCrashReport(const json& entry) {
  forwarding::CrashReport report;
  report.fingerprint = ReadInteger<std::uint64_t>(entry.at(0));
  report.upstream = ReadInteger<std::uint64_t>(entry.at(1));
  if (entry.size() > kShortCrashReportSize) {
    report.own_part = ReadInteger<std::uint64_t>(entry.at(2));
    report.response_begun = entry.size() <= kWaitingPartsIndex;
    const json& parts =
        entry.at(report.response_begun ? kPartsIndex : kWaitingPartsIndex);
    for (const json& part : parts) {
      report.parts.push_back(ReadInteger<std::uint64_t>(part));
    }
    report.age = DecodeAge(entry.at(4));
  }
  return report;
}

json EncodePartVerdict(const forwarding::PartVerdict& verdict) {
  return json::array({verdict.part, verdict.epoch, verdict.probes,
                      AgeInMilliseconds(verdict.age),
                      AgeInMilliseconds(verdict.evidence_age)});
}

forwarding::PartVerdict DecodePartVerdict(const json& entry) {
  return {ReadInteger<std::uint64_t>(entry.at(0)),
          ReadInteger<std::uint32_t>(entry.at(1)),
          ReadInteger<std::uint32_t>(entry.at(2)), DecodeAge(entry.at(3)),
          DecodeAge(entry.at(4))};
}

double DecodeCapacity(const json& value) {
  const double capacity = value.is_number() ? value.get<double>() : 0;
  // Daemons compare capacities, so NaN must not occur.
  if (!(capacity > 0 && capacity <= GossipMessage::kMaxCapacity)) {
    throw CodecError(236, "a gossip message with an invalid capacity");
  }
  return capacity;
}

WeightsUpdate DecodeWeightsUpdate(const json& entry) {
  return {entry.at(0).get<std::string>(), entry.at(1).get<std::string>(),
          ReadInteger<std::uint64_t>(entry.at(2)), entry.at(3).get<bool>()};
}

forwarding::PublicationAge DecodePublication(const json& entry) {
  return {entry.at(0).get<std::string>(),
          ReadInteger<std::uint64_t>(entry.at(1)), DecodeAge(entry.at(2)),
          entry.at(3).get<bool>()};
}

/// Numbers of the failures on the wire.
constexpr std::uint32_t kReplacedNumber = 0;
constexpr std::uint32_t kRefusedNumber = 1;

json EncodeUpstreamFailure(const forwarding::UpstreamFailureReport& report) {
  const bool replaced =
      report.failure == forwarding::UpstreamFailure::kReplaced;
  return json::array({report.upstream, report.started_at,
                      replaced ? kReplacedNumber : kRefusedNumber,
                      AgeInMilliseconds(report.age), report.forwarded});
}

/// @return nothing for a kind of failure that only later daemons know
std::optional<forwarding::UpstreamFailureReport> DecodeUpstreamFailure(
    const json& entry) {
  using forwarding::UpstreamFailure;
  const auto number = ReadInteger<std::uint32_t>(entry.at(2));
  if (number != kReplacedNumber && number != kRefusedNumber) {
    return std::nullopt;
  }
  return forwarding::UpstreamFailureReport{
      entry.at(0).get<std::string>(), ReadInteger<std::uint64_t>(entry.at(1)),
      number == kReplacedNumber ? UpstreamFailure::kReplaced
                                : UpstreamFailure::kRefused,
      DecodeAge(entry.at(3)), entry.at(4).get<bool>()};
}

std::vector<forwarding::UpstreamFailureReport> DecodeUpstreamFailures(
    const json& entries) {
  std::vector<forwarding::UpstreamFailureReport> reports;
  for (const json& entry : entries) {
    if (reports.size() == GossipMessage::kMaxUpstreamFailures) {
      break;
    }
    if (auto report = DecodeUpstreamFailure(entry)) {
      reports.push_back(std::move(*report));
    }
  }
  return reports;
}

/// Encodes origins as lists of a service, a version and its streams.
json EncodeStreamOrigins(const std::vector<forwarding::StreamOrigin>& origins) {
  json groups = json::array();
  const forwarding::StreamOrigin* previous = nullptr;
  for (const forwarding::StreamOrigin& origin : origins) {
    if (previous == nullptr || previous->service != origin.service ||
        previous->software_version != origin.software_version) {
      groups.push_back(json::array(
          {origin.service, origin.software_version, json::array()}));
    }
    groups.back().at(2).push_back(origin.stream);
    previous = &origin;
  }
  return groups;
}

std::vector<forwarding::StreamOrigin> DecodeStreamOrigins(const json& groups) {
  std::vector<forwarding::StreamOrigin> origins;
  for (const json& group : groups) {
    const auto service = group.at(0).get<std::string>();
    const auto version = group.at(1).get<std::string>();
    if (service.size() > kMaxOriginNameBytes ||
        version.size() > kMaxOriginNameBytes) {
      continue;
    }
    for (const json& stream : group.at(2)) {
      if (origins.size() == GossipMessage::kMaxStreamOrigins) {
        return origins;
      }
      origins.push_back({ReadInteger<std::uint64_t>(stream), service, version});
    }
  }
  return origins;
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
    encoded_crashes.push_back(EncodeCrashReport(report));
  }
  json encoded_verdicts = json::array();
  for (const forwarding::PartVerdict& verdict : part_verdicts) {
    encoded_verdicts.push_back(EncodePartVerdict(verdict));
  }
  json encoded_publications = json::array();
  for (const forwarding::PublicationAge& publication : publications) {
    encoded_publications.push_back(json::array(
        {publication.model, publication.version,
         AgeInMilliseconds(publication.age), publication.publish_time_known}));
  }
  json encoded_failures = json::array();
  for (const forwarding::UpstreamFailureReport& report : upstream_failures) {
    encoded_failures.push_back(EncodeUpstreamFailure(report));
  }
  const json message = json::array(
      {kFormatVersion,
       daemon,
       address,
       zone,
       incarnation,
       sequence,
       std::move(encoded_loads),
       std::move(encoded_updates),
       sent_ms,
       echo_ms,
       operator_end.offset,
       freshness_proof_age_ms ? json(*freshness_proof_age_ms) : json(),
       std::move(encoded_crashes),
       covers_zone,
       capacity ? json(*capacity) : json(),
       stopping,
       std::move(encoded_publications),
       std::move(encoded_verdicts),
       std::move(encoded_failures),
       EncodeStreamOrigins(stream_origins),
       operator_end.epoch,
       echo_incarnation,
       forwarding_address,
       configuration_version});
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

GossipMessage GossipMessage::Decode(std::string_view bytes) {
  try {
    const json message = json::from_msgpack(bytes);
    if (ReadInteger<int>(message.at(0)) != kFormatVersion) {
      throw CodecError(236, "a gossip message of an unknown format");
    }
    GossipMessage decoded;
    decoded.daemon = message.at(1).get<std::string>();
    decoded.address = message.at(2).get<std::string>();
    decoded.zone = message.at(3).get<std::string>();
    decoded.incarnation = ReadInteger<std::uint64_t>(message.at(4));
    decoded.sequence = ReadInteger<std::uint64_t>(message.at(5));
    for (const json& entry : message.at(6)) {
      decoded.loads.push_back(DecodeLoad(entry));
    }
    for (const json& entry : message.at(7)) {
      decoded.weights_updates.push_back(DecodeWeightsUpdate(entry));
    }
    decoded.sent_ms = ReadMilliseconds(message.at(8));
    decoded.echo_ms = ReadMilliseconds(message.at(9));
    decoded.operator_end.offset = ReadInteger<std::uint64_t>(message.at(10));
    if (!message.at(11).is_null()) {
      decoded.freshness_proof_age_ms = ReadMilliseconds(message.at(11));
    }
    for (const json& entry : message.at(12)) {
      decoded.crash_reports.push_back(DecodeCrashReport(entry));
    }
    decoded.covers_zone = message.at(13).get<bool>();
    if (message.size() > kCapacityIndex &&
        !message.at(kCapacityIndex).is_null()) {
      decoded.capacity = DecodeCapacity(message.at(kCapacityIndex));
    }
    if (message.size() > kStoppingIndex) {
      decoded.stopping = message.at(kStoppingIndex).get<bool>();
    }
    if (message.size() > kPublicationsIndex) {
      for (const json& entry : message.at(kPublicationsIndex)) {
        decoded.publications.push_back(DecodePublication(entry));
      }
    }
    if (message.size() > kPartVerdictsIndex) {
      for (const json& entry : message.at(kPartVerdictsIndex)) {
        decoded.part_verdicts.push_back(DecodePartVerdict(entry));
      }
    }
    if (message.size() > kUpstreamFailuresIndex) {
      decoded.upstream_failures =
          DecodeUpstreamFailures(message.at(kUpstreamFailuresIndex));
    }
    if (message.size() > kStreamOriginsIndex) {
      decoded.stream_origins =
          DecodeStreamOrigins(message.at(kStreamOriginsIndex));
    }
    if (message.size() > kOperatorEpochIndex) {
      decoded.operator_end.epoch =
          ReadInteger<std::uint32_t>(message.at(kOperatorEpochIndex));
    }
    if (message.size() > kEchoIncarnationIndex) {
      decoded.echo_incarnation =
          ReadInteger<std::uint64_t>(message.at(kEchoIncarnationIndex));
    }
    if (message.size() > kForwardingAddressIndex) {
      decoded.forwarding_address =
          message.at(kForwardingAddressIndex).get<std::string>();
    }
    if (message.size() > kConfigurationVersionIndex) {
      decoded.configuration_version =
          ReadInteger<std::uint64_t>(message.at(kConfigurationVersionIndex));
    }
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
            ReadInteger<std::uint64_t>(document.at("incarnation"))};
  } catch (const json::exception& error) {
    throw CodecError(237,
                     std::string("not a daemon's address: ") + error.what());
  }
}

}  // namespace jasminehatch::codec
