#include "jasminehatch/detail/json/explain_message.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/verdict.h"

namespace jasminehatch::codec {
namespace {

using forwarding::Explanation;
using forwarding::Prompt;
using forwarding::PromptPart;
using forwarding::RequestReceived;
using forwarding::UpstreamExplanation;
using nlohmann::json;

constexpr std::array<std::string_view, 9> kMembers{
    "host",  "path",          "key",         "request_id", "time_left_ms",
    "model", "output_tokens", "output_hint", "parts"};

/// Largest remaining time of a request, one day; keeps it in the range of
/// `Duration`.
constexpr std::uint32_t kMaxTimeLeftMs = 86'400'000;

[[noreturn]] void Fail(const std::string& member, std::string_view cause) {
  throw CodecError(253, member + ": " + std::string(cause));
}

std::string ReadText(const json& object, const std::string& member) {
  const auto found = object.find(member);
  if (found == object.end()) {
    return {};
  }
  if (!found->is_string()) {
    Fail(member, "must be a string");
  }
  return found->get<std::string>();
}

std::string ReadRequiredText(const json& object, const std::string& member) {
  std::string text = ReadText(object, member);
  if (text.empty()) {
    Fail(member, "is missing or empty");
  }
  return text;
}

std::optional<std::uint32_t> ReadNumber(const json& object,
                                        const std::string& member,
                                        std::uint32_t max) {
  const auto found = object.find(member);
  if (found == object.end()) {
    return std::nullopt;
  }
  if (!found->is_number_unsigned() || found->get<std::uint64_t>() > max) {
    Fail(member, "must be a whole number from 0 to " + std::to_string(max));
  }
  return found->get<std::uint32_t>();
}

std::uint32_t ReadTokens(const json& object, const std::string& member) {
  return ReadNumber(object, member, std::numeric_limits<std::uint32_t>::max())
      .value_or(0);
}

std::vector<PromptPart> ReadParts(const json& object) {
  const auto found = object.find("parts");
  if (found == object.end()) {
    return {};
  }
  if (!found->is_array() || found->size() > kMaxExplainedParts) {
    Fail("parts", "must be a list of at most " +
                      std::to_string(kMaxExplainedParts) + " objects");
  }
  std::vector<PromptPart> parts;
  for (const json& part : *found) {
    if (!part.is_object()) {
      Fail("parts", "must be a list of objects with id and tokens");
    }
    parts.push_back({ReadRequiredText(part, "id"), ReadTokens(part, "tokens")});
  }
  return parts;
}

std::optional<Prompt> ReadPrompt(const json& object) {
  Prompt prompt;
  prompt.model = ReadText(object, "model");
  prompt.parts = ReadParts(object);
  if (prompt.model.empty()) {
    if (!prompt.parts.empty()) {
      Fail("model", "is missing or empty, but there are prompt parts");
    }
    return std::nullopt;
  }
  std::uint64_t tokens = 0;
  for (const PromptPart& part : prompt.parts) {
    tokens += part.tokens;
  }
  prompt.prompt_tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(
      tokens, std::numeric_limits<std::uint32_t>::max()));
  prompt.max_output_tokens = ReadTokens(object, "output_tokens");
  prompt.output_hint = ReadTokens(object, "output_hint");
  return prompt;
}

json Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

json Milliseconds(const std::optional<Duration>& duration) {
  return duration ? Milliseconds(*duration) : json(nullptr);
}

json EncodeRefusal(const Explanation& explanation) {
  if (!explanation.refusal) {
    return nullptr;
  }
  const forwarding::RefuseRequest& refusal = *explanation.refusal;
  const RefusalInfo& info = Describe(refusal.code);
  return {{"code", info.name},
          {"number", info.number},
          {"http_status", info.http_status},
          {"verdict", ToString(refusal.verdict)},
          {"message", refusal.detail},
          {"retry_after_ms", Milliseconds(refusal.retry_after)},
          {"max_retry_after_ms", Milliseconds(explanation.max_retry_after)},
          {"may_probe", explanation.may_probe}};
}

json EncodeChoice(const Explanation& explanation) {
  if (explanation.upstream.empty()) {
    return nullptr;
  }
  return {{"upstream", explanation.upstream},
          {"reason", ToString(explanation.reason)}};
}

json EncodeUpstream(const UpstreamExplanation& upstream) {
  json exclusions = json::array();
  for (const forwarding::Exclusion reason : upstream.exclusions) {
    exclusions.push_back(ToString(reason));
  }
  json encoded{
      {"id", upstream.id},
      {"address", upstream.address},
      {"zone", upstream.zone},
      {"candidate", upstream.is_candidate},
      {"exclusions", std::move(exclusions)},
      {"slots", upstream.slots},
      {"own_requests", upstream.own_requests},
      {"other_requests", upstream.other_requests},
      {"own_tokens", upstream.own_tokens},
      {"other_tokens", upstream.other_tokens},
      {"reported_load", upstream.reported_load},
      {"load_age_ms", Milliseconds(upstream.load_age)},
      {"entry_age_ms", Milliseconds(upstream.entry_age)},
      {"slowdown", upstream.slowdown},
      {"failure_share", upstream.failure_share},
      {"consecutive_failures", upstream.consecutive_failures},
      {"weight_version", upstream.weight_version},
      {"suspended_ms", Milliseconds(upstream.suspended_for)},
      {"paused_ms", Milliseconds(upstream.paused_for)},
      {"pause_requested_ms", Milliseconds(upstream.pause_requested_for)},
      {"loading_ms", Milliseconds(upstream.loading_for)},
      {"cold_ms", Milliseconds(upstream.cold_for)},
      {"cold_room_in_ms", Milliseconds(upstream.cold_room_in)}};
  if (!upstream.is_candidate) {
    return encoded;
  }
  encoded["load"] = upstream.load;
  encoded["load_limit"] =
      upstream.load_limit ? json(*upstream.load_limit) : json(nullptr);
  encoded["memory_share"] = upstream.memory_share;
  encoded["lacks_memory"] = upstream.lacks_memory;
  encoded["prefix_rank"] =
      upstream.prefix_rank ? json(*upstream.prefix_rank) : json(nullptr);
  json parts = json::array();
  for (const forwarding::PartExplanation& part : upstream.parts) {
    parts.push_back({{"id", part.id},
                     {"tokens", part.tokens},
                     {"fetch_from", part.fetch_from}});
  }
  encoded["parts"] = std::move(parts);
  return encoded;
}

}  // namespace

RequestReceived DecodeExplainRequest(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) {
    throw CodecError(253, "the request to explain is not a JSON object");
  }
  for (const auto& [name, value] : object.items()) {
    if (std::find(kMembers.begin(), kMembers.end(), name) == kMembers.end()) {
      // The name is not quoted, since it may be a misplaced value.
      std::string known;
      for (const std::string_view member : kMembers) {
        known += (known.empty() ? "" : ", ") + std::string(member);
      }
      throw CodecError(253, "unknown member; known ones are " + known);
    }
  }
  RequestReceived request;
  request.host = ReadRequiredText(object, "host");
  request.path = ReadRequiredText(object, "path");
  request.key = ReadText(object, "key");
  request.caller_id = ReadText(object, "request_id");
  if (const auto left = ReadNumber(object, "time_left_ms", kMaxTimeLeftMs)) {
    request.time_left = std::chrono::milliseconds(*left);
  }
  request.prompt = ReadPrompt(object);
  return request;
}

std::string EncodeExplainRequest(const RequestReceived& request) {
  json object{{"host", request.host}, {"path", request.path}};
  if (!request.key.empty()) {
    object["key"] = request.key;
  }
  if (!request.caller_id.empty()) {
    object["request_id"] = request.caller_id;
  }
  if (request.time_left) {
    object["time_left_ms"] = Milliseconds(*request.time_left);
  }
  if (request.prompt) {
    object["model"] = request.prompt->model;
    object["output_tokens"] = request.prompt->max_output_tokens;
    object["output_hint"] = request.prompt->output_hint;
    json parts = json::array();
    for (const PromptPart& part : request.prompt->parts) {
      parts.push_back({{"id", part.id}, {"tokens", part.tokens}});
    }
    object["parts"] = std::move(parts);
  }
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EncodeExplanation(const Explanation& explanation) {
  json services = json::array();
  for (const forwarding::WeightedService& service : explanation.services) {
    services.push_back({{"name", service.service}, {"weight", service.weight}});
  }
  json upstreams = json::array();
  for (const UpstreamExplanation& upstream : explanation.upstreams) {
    upstreams.push_back(EncodeUpstream(upstream));
  }
  const json object{
      {"configuration_version", explanation.configuration_version},
      {"proof_age_ms", Milliseconds(explanation.proof_age)},
      {"route", explanation.route},
      {"workspace", explanation.workspace},
      {"service", explanation.service},
      {"services", std::move(services)},
      {"priority", explanation.priority},
      {"time_left_ms", Milliseconds(explanation.time_left)},
      {"expected_tokens", explanation.expected_tokens},
      {"choice", EncodeChoice(explanation)},
      {"refusal", EncodeRefusal(explanation)},
      {"preferred", explanation.preferred},
      {"mean_load", explanation.mean_load},
      {"suspensions_ignored", explanation.ignores_temporary},
      {"min_weight_version", explanation.min_weight_version},
      {"favored_weight_version", explanation.favored_weight_version},
      {"peer_report_age_ms", Milliseconds(explanation.peer_report_age)},
      {"upstreams", std::move(upstreams)}};
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace jasminehatch::codec
