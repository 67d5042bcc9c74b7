#ifndef JASMINEHATCH_DETAIL_JSON_COMPLETION_REQUEST_H_
#define JASMINEHATCH_DETAIL_JSON_COMPLETION_REQUEST_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "jasminehatch/detail/serving/priority.h"

namespace jasminehatch::codec {

/// @brief A decoded `POST /v1/chat/completions` or `POST /v1/completions`.
struct CompletionRequest {
  bool chat = true;
  std::string model;
  /// From `model@version`; empty when the caller names no version.
  std::string weight_version;
  /// Canonical text of the prompt: the caller's text, or role and content of
  /// each chat message with separators. Block keys and the request's
  /// fingerprint are computed from it.
  std::string prompt;
  bool stream = false;
  bool include_usage = false;
  std::uint32_t max_tokens = 0;  ///< 0 when the caller gives no limit.
  serving::Priority priority = serving::Priority::kInteractive;
  nlohmann::json document;  ///< The caller's document, passed on to the engine.

  /// @brief Decodes and checks a caller's body.
  /// @throw CodecError 210 to 219; the message names the field and what is
  /// allowed. Strong exception guarantee.
  static CompletionRequest Parse(std::string_view body, bool chat);
};

/// @brief Fields that the daemon adds to the caller's document for one attempt.
struct EngineCallFields {
  std::string request_id;
  std::uint64_t attempt_id = 0;
  std::string weight_version;
  std::vector<std::string> cache_keys;
  std::uint32_t resume_from = 0;
  std::string resume_text;
  /// Name of the cache store to import from; empty without an import.
  std::string import_from;
  /// Number of leading blocks that are cached after the import.
  std::uint32_t import_blocks = 0;
};

/// @return the body of the engine call: the caller's document with the fields
/// of the attempt, always streamed
std::string BuildEngineBody(const CompletionRequest& request,
                            const EngineCallFields& fields);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_COMPLETION_REQUEST_H_
