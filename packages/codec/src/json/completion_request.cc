#include "jasminehatch/detail/json/completion_request.h"

#include <algorithm>
#include <array>
#include <utility>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::codec {
namespace {

using nlohmann::json;

/// Deeper nesting is rejected before the document is built.
constexpr int kMaxDepth = 64;
constexpr std::uint32_t kMaxTokens = 1'000'000;

/// Separators in the canonical text of a prompt. They are not escaped if they
/// occur in a role or in content.
constexpr char kRoleEnd = '\x1e';
constexpr char kMessageEnd = '\x1d';

json ParseDocument(std::string_view body) {
  const auto limit_depth = [](int depth, json::parse_event_t /*event*/,
                              json& /*parsed*/) {
    if (depth > kMaxDepth) {
      throw CodecError(210, "the body is nested deeper than 64 levels");
    }
    return true;
  };
  try {
    return json::parse(body, limit_depth);
  } catch (const json::exception& error) {
    // The library's message quotes the input, and prompts must not reach logs.
    throw CodecError(210, "the body is not valid JSON (error " +
                              std::to_string(error.id) + ")");
  }
}

std::string ReadText(const json& content, std::string_view field) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  if (content.is_array()) {
    std::string text;
    for (const json& content_part : content) {
      // A member of another type compares unequal; `value` would throw.
      if (!content_part.is_object() || !content_part.contains("type") ||
          content_part["type"] != "text" || !content_part.contains("text") ||
          !content_part["text"].is_string()) {
        throw CodecError(212,
                         std::string(field) +
                             ": only content parts of type text are supported");
      }
      text += content_part["text"].get<std::string>();
    }
    return text;
  }
  throw CodecError(
      212, std::string(field) +
               ": must be a string or an array of content parts of type text");
}

std::string RenderMessages(const json& document) {
  const auto messages = document.find("messages");
  if (messages == document.end() || !messages->is_array() ||
      messages->empty()) {
    throw CodecError(211, "messages: must be a non-empty array");
  }
  std::string prompt;
  for (const json& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      throw CodecError(211,
                       "messages: each message needs a role that is a string");
    }
    if (!message.contains("content")) {
      throw CodecError(212, "messages: each message needs content");
    }
    prompt += message["role"].get<std::string>();
    prompt.push_back(kRoleEnd);
    prompt += ReadText(message["content"], "messages.content");
    prompt.push_back(kMessageEnd);
  }
  return prompt;
}

std::uint32_t ReadMaxTokens(const json& document) {
  for (const char* key : {"max_completion_tokens", "max_tokens"}) {
    const auto value = document.find(key);
    if (value == document.end() || value->is_null()) {
      continue;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < 1 ||
        value->get<std::uint64_t>() > kMaxTokens) {
      throw CodecError(
          213, std::string(key) + ": must be a whole number from 1 to 1000000");
    }
    return value->get<std::uint32_t>();
  }
  return 0;
}

bool ReadFlag(const json& document, const char* key) {
  const auto value = document.find(key);
  if (value == document.end() || value->is_null()) {
    return false;
  }
  if (!value->is_boolean()) {
    throw CodecError(214, std::string(key) + ": must be true or false");
  }
  return value->get<bool>();
}

serving::Priority ReadPriority(const json& document) {
  const auto value = document.find("priority");
  if (value == document.end() || value->is_null()) {
    return serving::Priority::kInteractive;
  }
  for (const auto priority :
       {serving::Priority::kInteractive, serving::Priority::kStandard,
        serving::Priority::kBatch}) {
    if (value->is_string() &&
        value->get<std::string>() == serving::ToString(priority)) {
      return priority;
    }
  }
  throw CodecError(215, "priority: must be interactive, standard or batch");
}

void CheckSingleChoice(const json& document) {
  const auto value = document.find("n");
  if (value != document.end() && !value->is_null() && *value != 1) {
    throw CodecError(216, "n: only 1 is supported");
  }
}

/// Fields of the request to the engine that only the daemon may set.
constexpr std::array kReservedFields{
    "request_id",  "attempt_id",  "cache_keys",  "weight_version",
    "resume_from", "resume_text", "import_from", "import_blocks"};

}  // namespace

CompletionRequest CompletionRequest::Parse(std::string_view body, bool chat) {
  CompletionRequest request;
  request.chat = chat;
  request.document = ParseDocument(body);
  const json& document = request.document;
  if (!document.is_object()) {
    throw CodecError(210, "the body must be a JSON object");
  }
  const auto model = document.find("model");
  if (model == document.end() || !model->is_string() ||
      model->get<std::string>().empty()) {
    throw CodecError(217, "model: must be a non-empty string");
  }
  request.model = model->get<std::string>();
  const std::size_t at = request.model.rfind('@');
  if (at != std::string::npos) {
    request.weight_version = request.model.substr(at + 1);
    request.model.resize(at);
  }
  if (chat) {
    request.prompt = RenderMessages(document);
  } else {
    const auto prompt = document.find("prompt");
    if (prompt == document.end() || !prompt->is_string()) {
      throw CodecError(211, "prompt: must be a string");
    }
    request.prompt = prompt->get<std::string>();
  }
  request.stream = ReadFlag(document, "stream");
  const auto options = document.find("stream_options");
  if (options != document.end() && options->is_object()) {
    request.include_usage = ReadFlag(*options, "include_usage");
  }
  request.max_tokens = ReadMaxTokens(document);
  request.priority = ReadPriority(document);
  CheckSingleChoice(document);
  for (const char* field : kReservedFields) {
    if (document.contains(field)) {
      throw CodecError(218, std::string(field) + ": is reserved");
    }
  }
  return request;
}

std::string BuildEngineBody(const CompletionRequest& request,
                            const EngineCallFields& fields) {
  json body = request.document;
  body["model"] = request.model;
  body["stream"] = true;
  body["stream_options"] = {{"include_usage", true}};
  body["request_id"] = fields.request_id;
  body["attempt_id"] = fields.attempt_id;
  body["weight_version"] = fields.weight_version;
  body["cache_keys"] = fields.cache_keys;
  body["priority"] = std::string(serving::ToString(request.priority));
  if (!fields.import_from.empty()) {
    body["import_from"] = fields.import_from;
    body["import_blocks"] = fields.import_blocks;
  }
  if (fields.resume_from > 0) {
    body["resume_from"] = fields.resume_from;
    body["resume_text"] = fields.resume_text;
  }
  return body.dump();
}

}  // namespace jasminehatch::codec
