#ifndef JASMINEHATCH_DETAIL_JSON_EXPLAIN_MESSAGE_H_
#define JASMINEHATCH_DETAIL_JSON_EXPLAIN_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jasminehatch/detail/forwarding/event.h"
#include "jasminehatch/detail/forwarding/explanation.h"

namespace jasminehatch::codec {

/// Maximum number of prompt parts of a request to explain. The answer has a
/// line for each part of each candidate.
inline constexpr std::size_t kMaxExplainedParts = 64;

/// @brief Reads the description of a request to explain.
///
/// Members: `host`, `path` (required), `key`, `request_id`, `time_left_ms`,
/// `model`, `parts` (list of `id` and `tokens`), `output_tokens`,
/// `output_hint`. A prompt needs a model. The errors name a member and never
/// quote its value, since it may be the key.
/// @throw CodecError 253 when the text is not such a description
forwarding::RequestReceived DecodeExplainRequest(std::string_view text);

/// @return the text that `DecodeExplainRequest` reads
std::string EncodeExplainRequest(const forwarding::RequestReceived& request);

/// @return the explanation as a JSON object, with times in milliseconds;
/// docs/api.md lists its members
std::string EncodeExplanation(const forwarding::Explanation& explanation);

}  // namespace jasminehatch::codec

#endif  // JASMINEHATCH_DETAIL_JSON_EXPLAIN_MESSAGE_H_
