#ifndef JASMINEHATCH_DETAIL_DAEMON_UPSTREAM_ATTEMPT_H_
#define JASMINEHATCH_DETAIL_DAEMON_UPSTREAM_ATTEMPT_H_

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jasminehatch/detail/base/time.h"
#include "jasminehatch/detail/http/http_client.h"
#include "jasminehatch/detail/json/engine_chunk.h"
#include "jasminehatch/detail/serving/effect.h"
#include "jasminehatch/detail/serving/event.h"
#include "jasminehatch/detail/sse/sse_parser.h"

namespace jasminehatch {
class Clock;
}

namespace jasminehatch::daemon {

struct Caller;

/// @brief One attempt of a prompt or of an idempotent service call at one
/// upstream.
class UpstreamAttempt {
 public:
  /// @brief Progress and result of an attempt.
  struct Callbacks {
    std::function<void(serving::AttemptChunk)> on_chunk;
    /// Called at most once, when the attempt has ended with any result.
    std::function<void(serving::AttemptEnded, const net::HttpResult&)> on_ended;
    /// Called before `on_ended` for each event of the engine's stream that
    /// contains a finish reason or the usage. If it contains only one of them,
    /// `finish_reason` is empty or `usage` is null.
    std::function<void(std::string_view finish_reason,
                       const codec::Usage* usage)>
        on_finish;
  };

  /// @brief Time limits of an attempt.
  struct Limits {
    /// Until the first byte of a stream or the end of any other response.
    Duration first_byte;
    Duration idle;  ///< Longest time without an event after that.
  };

  UpstreamAttempt(asio::io_context& loop,
                  const Clock& clock,
                  net::HttpClient& client,
                  Limits limits,
                  Callbacks callbacks);
  ~UpstreamAttempt();
  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

  /// Sends the caller's request to the upstream at `base_url`. `import_from`
  /// names the cache store to import from; empty without an import.
  void Start(const serving::StartAttempt& effect,
             const Caller& caller,
             const std::string& base_url,
             std::string import_from);

  /// Ends the attempt without a callback. May be called from a callback of the
  /// attempt; the attempt must not be destroyed before that callback returns.
  void Cancel();

 private:
  void StartPrompt(const Caller& caller, const std::string& base_url);
  void StartIdempotentCall(const Caller& caller, const std::string& base_url);
  void OnData(std::string_view data);
  void OnDone(const net::HttpResult& result);
  void OnEvent(std::string_view data);
  void ArmProgressTimer();
  void End(serving::AttemptResult result,
           std::string detail,
           const net::HttpResult& http);

  asio::io_context& m_loop;
  const Clock& m_clock;
  net::HttpClient& m_client;
  Limits m_limits;
  Callbacks m_callbacks;
  asio::steady_timer m_timer;
  MonotonicTime m_last_progress_at{};
  serving::StartAttempt m_effect;
  std::string m_import_from;
  net::HttpClient::CallId m_call_id = 0;
  codec::SseParser m_parser;
  /// Handlers of the timer hold a weak reference and do nothing once this
  /// object is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
  bool m_is_chat = true;
  bool m_is_idempotent_call = false;
  bool m_first_event_received = false;
  bool m_end_received = false;
  bool m_ended = false;
};

}  // namespace jasminehatch::daemon

#endif  // JASMINEHATCH_DETAIL_DAEMON_UPSTREAM_ATTEMPT_H_
