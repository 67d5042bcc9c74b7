#ifndef JASMINEHATCH_DAEMON_TESTS_CALLER_RESPONSE_H_
#define JASMINEHATCH_DAEMON_TESTS_CALLER_RESPONSE_H_

#include <jasminehatch/net.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace jasminehatch::daemon::test {

/// @brief What a caller received.
struct CallerResponse {
  bool ended = false;
  net::StreamHead head;
  std::string body;
  net::StreamEnd end;

  std::string Header(const char* name) const {
    return std::string(net::FindHeader(head.headers, name));
  }
  bool IsComplete() const {
    return ended && end.kind == net::StreamEnd::Kind::kComplete;
  }
};

/// @return callbacks that store what they get in `response`
inline net::StreamClient::Callbacks StoreIn(
    const std::shared_ptr<CallerResponse>& response) {
  net::StreamClient::Callbacks callbacks;
  callbacks.on_head = [response](net::StreamHead head) {
    response->head = std::move(head);
  };
  callbacks.on_data = [response](std::string_view data) {
    response->body += data;
  };
  callbacks.on_end = [response](const net::StreamEnd& end) {
    response->end = end;
    response->ended = true;
  };
  return callbacks;
}

}  // namespace jasminehatch::daemon::test

#endif  // JASMINEHATCH_DAEMON_TESTS_CALLER_RESPONSE_H_
