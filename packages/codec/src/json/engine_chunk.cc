#include "jasminehatch/detail/json/engine_chunk.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/json/read_integer.h"

namespace jasminehatch::codec {
namespace {

using nlohmann::json;

std::string ToJsonString(std::string_view text) {
  // Most texts need no escapes, and the library would copy them twice.
  const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
    return c >= ' ' && c < 0x7f && c != '"' && c != '\\';
  });
  if (plain) {
    std::string quoted;
    quoted.reserve(text.size() + 2);
    quoted += '"';
    quoted += text;
    quoted += '"';
    return quoted;
  }
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

json UsageJson(const Usage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

Usage ParseUsage(const json& document) {
  Usage usage;
  usage.prompt_tokens =
      ReadIntegerOrZero<std::uint32_t>(document, "prompt_tokens");
  usage.completion_tokens =
      ReadIntegerOrZero<std::uint32_t>(document, "completion_tokens");
  if (const auto details = document.find("prompt_tokens_details");
      details != document.end() && details->is_object()) {
    usage.cached_tokens =
        ReadIntegerOrZero<std::uint32_t>(*details, "cached_tokens");
  }
  return usage;
}

}  // namespace

EngineChunk EngineChunk::Parse(std::string_view data, bool chat) {
  EngineChunk chunk;
  try {
    const json document = json::parse(data);
    if (const auto position = document.find("position");
        position != document.end()) {
      chunk.position = ReadInteger<std::uint32_t>(*position);
    }
    if (const auto choices = document.find("choices");
        choices != document.end() && !choices->empty()) {
      const json& choice = choices->at(0);
      if (chat) {
        if (const auto delta = choice.find("delta"); delta != choice.end()) {
          chunk.text = delta->value("content", "");
        }
      } else {
        chunk.text = choice.value("text", "");
      }
      if (const auto reason = choice.find("finish_reason");
          reason != choice.end() && reason->is_string()) {
        chunk.finish_reason = reason->get<std::string>();
      }
    }
    if (const auto usage = document.find("usage");
        usage != document.end() && usage->is_object()) {
      chunk.usage = ParseUsage(*usage);
    }
  } catch (const json::exception& error) {
    throw CodecError(220, "the engine sent an invalid chunk (error " +
                              std::to_string(error.id) + ")");
  }
  return chunk;
}

std::string ResponseFormatter::FormatChunk(std::string_view text, bool first) {
  if (chunk_prefix.empty()) {
    chunk_prefix = "data: {\"id\":" + ToJsonString(id) + ",\"object\":\"" +
                   (chat ? "chat.completion.chunk" : "text_completion") +
                   "\",\"created\":" + std::to_string(created) +
                   ",\"model\":" + ToJsonString(model) +
                   ",\"choices\":[{\"index\":0,";
  }
  std::string_view before = "\"text\":";
  if (chat) {
    before = first ? R"("delta":{"role":"assistant","content":)"
                   : R"("delta":{"content":)";
  }
  const std::string quoted = ToJsonString(text);
  const std::string_view after = chat ? "},\"finish_reason\":null}]}\n\n"
                                      : ",\"finish_reason\":null}]}\n\n";
  std::string event;
  event.reserve(chunk_prefix.size() + before.size() + quoted.size() +
                after.size());
  event += chunk_prefix;
  event += before;
  event += quoted;
  event += after;
  return event;
}

std::string ResponseFormatter::FormatEnd(
    std::string_view finish_reason,
    const std::optional<Usage>& usage) const {
  const char* object = chat ? "chat.completion.chunk" : "text_completion";
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (chat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  json last = {{"id", id},
               {"object", object},
               {"created", created},
               {"model", model},
               {"choices", {choice}}};
  std::string events = "data: " + last.dump() + "\n\n";
  if (usage) {
    last["choices"] = json::array();
    last["usage"] = UsageJson(*usage);
    events += "data: " + last.dump() + "\n\n";
  }
  return events + "data: " + std::string(kStreamEnd) + "\n\n";
}

std::string ResponseFormatter::FormatWhole(std::string_view text,
                                           std::string_view finish_reason,
                                           const Usage& usage) const {
  json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const json response = {
      {"id", id},
      {"object", chat ? "chat.completion" : "text_completion"},
      {"created", created},
      {"model", model},
      {"choices", {choice}},
      {"usage", UsageJson(usage)}};
  return response.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace jasminehatch::codec
