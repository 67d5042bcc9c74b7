#ifndef JASMINEHATCH_DETAIL_FORWARDER_EXPLAIN_ENDPOINT_H_
#define JASMINEHATCH_DETAIL_FORWARDER_EXPLAIN_ENDPOINT_H_

#include <cstddef>
#include <string_view>

namespace jasminehatch::net {
struct HttpRequest;
class ResponseWriter;
}  // namespace jasminehatch::net

namespace jasminehatch::daemon {

class ForwardingHost;

/// Path on the listener for metrics that explains where a request would go.
inline constexpr std::string_view kExplainPath = "/explain";

/// @brief Answers a request to explain; sends nothing to an upstream.
///
/// Neither the body, which has the key, nor the answer is logged.
/// @param request with method POST and a body for `DecodeExplainRequest`
/// @param body_limit in bytes; larger bodies are refused
void AnswerExplain(ForwardingHost& host,
                   const net::HttpRequest& request,
                   std::size_t body_limit,
                   net::ResponseWriter& writer);

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_FORWARDER_EXPLAIN_ENDPOINT_H_
