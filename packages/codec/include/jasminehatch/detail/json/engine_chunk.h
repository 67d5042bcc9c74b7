#ifndef JASMINEHATCH_DETAIL_JSON_ENGINE_CHUNK_H_
#define JASMINEHATCH_DETAIL_JSON_ENGINE_CHUNK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminehatch::codec {

/// @brief Token counts that an engine reports at the end of a response.
struct Usage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;  ///< Prompt tokens that were not recomputed.
  std::uint32_t completion_tokens = 0;
};

/// @brief One event of an engine's response stream.
struct EngineChunk {
  /// Position of `text` in the output; absent in the last events.
  std::optional<std::uint32_t> position;
  std::string text;
  std::string finish_reason;  ///< Empty until the end.
  std::optional<Usage> usage;

  /// @brief Decodes the data of one event.
  /// @throw CodecError 220 when it is not a valid chunk
  static EngineChunk Parse(std::string_view data, bool chat);
};

/// Data of the event that ends a stream.
inline constexpr std::string_view kStreamEnd = "[DONE]";

/// @brief Formats the responses that callers receive.
struct ResponseFormatter {
  bool chat = true;
  std::string id;
  std::string model;
  std::int64_t created = 0;  ///< Seconds since 1970.
  /// Common prefix of all chunks; set by the first.
  std::string chunk_prefix = {};

  /// @return one server-sent event with a part of the output
  std::string FormatChunk(std::string_view text, bool first);

  /// @return the last events: finish reason, usage if given, and the end of the
  /// stream
  std::string FormatEnd(std::string_view finish_reason,
                        const std::optional<Usage>& usage) const;

  /// @return the whole response as one document
  std::string FormatWhole(std::string_view text,
                          std::string_view finish_reason,
                          const Usage& usage) const;
};

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_ENGINE_CHUNK_H_
