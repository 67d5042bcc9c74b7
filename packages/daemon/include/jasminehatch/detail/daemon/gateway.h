#ifndef JASMINEHATCH_DETAIL_DAEMON_GATEWAY_H_
#define JASMINEHATCH_DETAIL_DAEMON_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/refusal.h"
#include "jasminehatch/detail/base/strong_id.h"
#include "jasminehatch/detail/base/verdict.h"
#include "jasminehatch/detail/http/http_message.h"

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::codec {
struct Configuration;
struct DaemonSettings;
struct Workspace;
}  // namespace jasminehatch::codec

namespace jasminehatch::net {
class ResponseWriter;
}

namespace jasminehatch::telemetry {
class Metrics;
}

namespace jasminehatch::daemon {

class CallerTable;
class EventSink;
struct Caller;

/// @brief Decodes and authenticates callers' requests and turns them into
/// events.
class Gateway {
 public:
  /// @brief Components that the gateway uses; all outlive it.
  struct Context {
    const Clock& clock;
    const codec::DaemonSettings& settings;
    EventSink& sink;
    CallerTable& callers;
    telemetry::Metrics& metrics;
    std::function<const codec::Configuration&()> configuration;
    std::uint64_t incarnation = 0;
  };

  explicit Gateway(Context context);

  /// Handles a request of a caller. The paths for operators and peers are
  /// handled by `Daemon`.
  void OnRequest(net::HttpRequest request,
                 std::shared_ptr<net::ResponseWriter> writer);

 private:
  using Writer = std::shared_ptr<net::ResponseWriter>;

  /// @brief A request with its id and authenticated workspace.
  struct IncomingRequest {
    net::HttpRequest request;
    Writer writer;
    RequestId id;            ///< In events and effects of this process.
    std::string request_id;  ///< In responses, logs and calls to upstreams.
    const codec::Workspace* workspace = nullptr;
  };

  struct Route {
    std::string_view method;  ///< Empty for any method.
    std::string_view path;
    bool is_prefix;
    void (Gateway::*handler)(IncomingRequest& incoming);
  };

  static const Route kRoutes[];

  void OnChatCompletion(IncomingRequest& incoming);
  void OnCompletion(IncomingRequest& incoming);
  void OnModels(IncomingRequest& incoming);
  void OnService(IncomingRequest& incoming);
  void OnBookingStage(IncomingRequest& incoming);
  void StartPrompt(IncomingRequest& incoming, bool chat);
  void StartBooking(IncomingRequest& incoming,
                    std::string service,
                    std::string path);
  void StartIdempotentCall(IncomingRequest& incoming,
                           const std::string& service,
                           std::string path);
  Caller MakeCaller(const IncomingRequest& incoming) const;
  void Refuse(const IncomingRequest& incoming,
              RefusalCode code,
              std::string_view detail);

  Context m_context;
  std::uint64_t m_next_request_id = 1;
  std::mt19937_64 m_random;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_GATEWAY_H_
