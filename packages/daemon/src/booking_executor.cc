#include "jasminehatch/detail/daemon/booking_executor.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jasminehatch/detail/base/clock.h"
#include "jasminehatch/detail/base/exception.h"
#include "jasminehatch/detail/daemon/caller_table.h"
#include "jasminehatch/detail/daemon/event_sink.h"
#include "jasminehatch/detail/daemon/log_client.h"
#include "jasminehatch/detail/http/response_writer.h"
#include "jasminehatch/detail/json/log_record.h"
#include "jasminehatch/detail/reducer/state.h"
#include "jasminehatch/detail/settings/daemon_settings.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {

void BookingExecutor::Execute(const booking::Effect& effect) {
  std::visit([this](const auto& body) { Apply(body); }, effect);
}

void BookingExecutor::OnPage(const codec::LogPage& page) {
  booking::RecordsRead event;
  event.wall_now = m_context.clock.WallNow();
  for (const codec::LogRecord& record : page.records) {
    try {
      for (booking::LogEntry& entry :
           codec::DecodeBookingEntries(record.data)) {
        event.entries.push_back(std::move(entry));
      }
    } catch (const CodecError& error) {
      telemetry::LogWarning("booking_record_skipped",
                            {{"offset", std::to_string(record.offset)},
                             {"detail", error.what()}});
    }
  }
  if (!event.entries.empty()) {
    m_context.sink.Post(booking::Event{std::move(event)});
  }
}

void BookingExecutor::Apply(const booking::AppendEntries& effect) {
  // Ignores `via`, which may name a peer that batches entries: a direct append
  // has the same result, only in more records, since readers ignore duplicates
  // and the order in the log decides which intent of a key wins.
  m_context.appender.Append(
      kBookingStream, codec::EncodeBookingEntries(effect.entries),
      [this, append = effect.append](booking::AppendResult result,
                                     std::uint64_t /*offset*/) {
        m_context.sink.Post(
            booking::Event{booking::AppendEnded{append, result}});
      });
}

void BookingExecutor::Apply(const booking::ReplyToHandoff& /*effect*/) {
  // Nothing in the daemon posts `HandoffReceived` yet, so there is no peer to
  // reply to.
}

void BookingExecutor::Apply(const booking::Dispatch& effect) {
  booking::DispatchEnded ended;
  ended.intent = effect.intent;
  ended.earlier_dispatches = effect.earlier_dispatches;
  if (!effect.upstream) {
    ended.detail = "no upstream of " + effect.service + " may be used for now";
  } else if (m_context.clock.Now() >= effect.not_after) {
    // The process may have been paused between the decision and this call.
    ended.detail = "the claim expired before the booking was sent";
  }
  if (!ended.detail.empty()) {
    ended.result = booking::DispatchResult::kNotRun;
    m_context.sink.Post(booking::Event{std::move(ended)});
    return;
  }
  const serving::UpstreamView& upstream =
      m_context.state.serving.View(*effect.upstream);
  net::HttpCall call;
  call.method = "POST";
  call.url = upstream.spec.url + effect.path;
  call.headers = {{"Content-Type", effect.content_type},
                  {"Idempotency-Key", effect.key.key},
                  {"X-Workspace", effect.key.workspace}};
  call.body = effect.body;
  call.total_timeout = m_context.settings.dispatch_timeout;
  // libcurl resends a request when a reused connection breaks, which could run
  // the booking twice.
  call.fresh_connection = true;
  m_context.client.Start(std::move(call), [this, ended = std::move(ended)](
                                              const net::HttpResult& result) {
    OnDispatched(ended, result);
  });
}

void BookingExecutor::OnDispatched(booking::DispatchEnded ended,
                                   const net::HttpResult& result) {
  ended.detail = result.error;
  if (result.kind == net::HttpResult::Kind::kNotSent) {
    ended.result = booking::DispatchResult::kNotRun;
  } else if (result.kind != net::HttpResult::Kind::kComplete) {
    ended.result = booking::DispatchResult::kUnknown;
  } else if (net::FindHeader(result.headers, "X-Verdict") == "not_run") {
    ended.result = booking::DispatchResult::kNotRun;
    ended.detail = "the service rejected the request with HTTP " +
                   std::to_string(result.status);
  } else {
    ended.result = booking::DispatchResult::kResponded;
    ended.status = result.status;
    ended.content_type = net::FindHeader(result.headers, "Content-Type");
    ended.body = result.body;
  }
  m_context.sink.Post(booking::Event{std::move(ended)});
}

void BookingExecutor::Apply(const booking::RespondToBooking& effect) {
  const Caller* caller = m_context.callers.Find(effect.request);
  if (caller == nullptr) {
    return;
  }
  m_context.metrics.CountResponse();
  caller->writer->Send(
      effect.status,
      {{"Content-Type", effect.content_type},
       {"X-Request-Id", caller->request_id},
       {"X-Verdict", "ran"},
       {"Idempotent-Replayed", effect.replayed ? "true" : "false"}},
      effect.body);
  m_context.callers.Remove(effect.request);
}

void BookingExecutor::Apply(const booking::RefuseBooking& effect) {
  m_context.callers.Refuse(effect.request, effect.code, effect.verdict,
                           effect.detail, effect.retry_after);
}

void BookingExecutor::Apply(const booking::RespondWithStage& effect) {
  const Caller* caller = m_context.callers.Find(effect.request);
  if (caller == nullptr) {
    return;
  }
  nlohmann::json document = {{"stage", booking::ToString(effect.stage)}};
  if (effect.outcome) {
    document["status"] = effect.outcome->status;
    document["content_type"] = effect.outcome->content_type;
    document["answer"] = effect.outcome->body;
    document["answer_dropped"] = effect.outcome->body_dropped;
  }
  caller->writer->Send(
      200,
      {{"Content-Type", "application/json"},
       {"X-Request-Id", caller->request_id}},
      document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  m_context.callers.Remove(effect.request);
}

void BookingExecutor::Apply(const CountEvent& effect) {
  m_context.metrics.Count(effect.counter);
}

}  // namespace jasminehatch::daemon
