#ifndef JASMINEHATCH_STREAM_MESSAGE_TEXT_H_
#define JASMINEHATCH_STREAM_MESSAGE_TEXT_H_

#include <string>
#include <string_view>

#include "jasminehatch/detail/http/http_message.h"

namespace jasminehatch::net {

/// @return the status line of a response, with its CRLF
std::string FormatStatusLine(int status);

/// Appends a header line.
void AppendHeader(std::string& text, const HttpHeader& header);

/// Appends a chunk of a chunked body.
void AppendChunk(std::string& text, std::string_view data);

/// @return whether the name is a token and the value has no control characters
/// other than tabs
bool IsValidHeader(const HttpHeader& header);

/// @return whether a request target starts with a slash and has no spaces, no
/// control characters and no fragment
bool IsValidTarget(std::string_view target);

}  // namespace jasminehatch::net

#endif  // JASMINEHATCH_STREAM_MESSAGE_TEXT_H_
