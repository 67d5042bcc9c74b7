#include "jasminehatch/detail/forwarder/explain_endpoint.h"

#include <string>

#include "jasminehatch/codec.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/verdict.h"
#include "jasminehatch/detail/forwarder/forwarding_host.h"
#include "jasminehatch/net.h"

namespace jasminehatch::daemon {
namespace {

constexpr int kMethodNotAllowed = 405;

net::HttpHeaders JsonHeaders() {
  return {{"Content-Type", "application/json"}};
}

void Refuse(net::ResponseWriter& writer,
            RefusalCode code,
            std::string_view cause) {
  writer.Send(Describe(code).http_status, JsonHeaders(),
              codec::BuildRefusal(code, Verdict::kNotRun, cause, "") + "\n");
}

}  // namespace

void AnswerExplain(ForwardingHost& host,
                   const net::HttpRequest& request,
                   std::size_t body_limit,
                   net::ResponseWriter& writer) {
  if (request.method != "POST") {
    net::HttpHeaders headers = JsonHeaders();
    headers.push_back({"Allow", "POST"});
    writer.Send(
        kMethodNotAllowed, headers,
        codec::BuildRefusal(RefusalCode::kMalformedRequest, Verdict::kNotRun,
                            "the method must be POST", "") +
            "\n");
    return;
  }
  if (request.body.size() > body_limit) {
    Refuse(writer, RefusalCode::kBodyTooLarge,
           "the body has more than " + std::to_string(body_limit) + " bytes");
    return;
  }
  try {
    writer.Send(200, JsonHeaders(),
                codec::EncodeExplanation(
                    host.Explain(codec::DecodeExplainRequest(request.body))) +
                    "\n");
  } catch (const CodecError& error) {
    Refuse(writer, RefusalCode::kMalformedRequest, error.what());
  }
}

}  // namespace jasminehatch::daemon
