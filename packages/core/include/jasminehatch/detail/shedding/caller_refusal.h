#ifndef JASMINEHATCH_DETAIL_SHEDDING_CALLER_REFUSAL_H_
#define JASMINEHATCH_DETAIL_SHEDDING_CALLER_REFUSAL_H_

#include <cstddef>
#include <string_view>

namespace jasminehatch::shedding {

/// @brief Why a server refused a request before it was handled, or closed a
/// caller's connection.
enum class CallerRefusal {
  kMalformed,
  kUnsupportedVersion,  ///< Not HTTP/1.1.
  kHeadTooLarge,
  kBodyTooLarge,
  kHeadTimeout,
  kBodyTimeout,      ///< The body made no progress.
  kIdleTimeout,      ///< No request within the time limit.
  kResponseTimeout,  ///< The caller does not read its response.
  kNoMemory,         ///< The request does not fit into the limit.
  kShed,             ///< Dropped to make room for another request.
  kResponseMemory,   ///< Unread responses together exceed their limit.
  kConnectionLimit,  ///< Too many connections.
  kCount,
};

inline constexpr std::size_t kCallerRefusalCount =
    static_cast<std::size_t>(CallerRefusal::kCount);

/// @return the metric label, for example `body_too_large`
std::string_view ToString(CallerRefusal reason);

/// @return the HTTP status of the refusal; 0 if the connection is closed
/// without a response
int HttpStatus(CallerRefusal reason);

}  // namespace jasminehatch::shedding

#endif  // JASMINEHATCH_DETAIL_SHEDDING_CALLER_REFUSAL_H_
