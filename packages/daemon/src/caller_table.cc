#include "jasminehatch/detail/daemon/caller_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "jasminehatch/detail/daemon/refusal_response.h"
#include "jasminehatch/detail/http/response_writer.h"
#include "jasminehatch/detail/json/refusal_json.h"
#include "jasminehatch/telemetry.h"

namespace jasminehatch::daemon {
namespace {

constexpr std::chrono::seconds kDefaultRetryAfter{1};

}  // namespace

void SendRefusal(net::ResponseWriter& writer,
                 RefusalCode code,
                 Verdict verdict,
                 std::string_view detail,
                 std::string_view request_id,
                 std::optional<Duration> retry_after) {
  const RefusalInfo& info = Describe(code);
  net::HttpHeaders headers{{"Content-Type", "application/json"},
                           {"X-Request-Id", std::string(request_id)}};
  if (info.retry_can_help) {
    const auto wait = std::chrono::ceil<std::chrono::seconds>(
        retry_after.value_or(kDefaultRetryAfter));
    headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(
                                          1, wait.count()))});
  }
  writer.Send(info.http_status, headers,
              codec::BuildRefusal(code, verdict, detail, request_id));
}

Caller& CallerTable::Add(RequestId id, Caller caller) {
  return m_callers.insert_or_assign(id, std::move(caller)).first->second;
}

Caller* CallerTable::Find(RequestId id) {
  const auto entry = m_callers.find(id);
  return entry == m_callers.end() ? nullptr : &entry->second;
}

void CallerTable::Remove(RequestId id) {
  if (m_callers.erase(id) > 0 && m_callers.empty() && m_on_idle) {
    m_on_idle();
  }
}

void CallerTable::Refuse(RequestId id,
                         RefusalCode code,
                         Verdict verdict,
                         std::string_view detail,
                         std::optional<Duration> retry_after) {
  const Caller* caller = Find(id);
  if (caller == nullptr) {
    return;
  }
  m_metrics.CountRefusal(code);
  telemetry::LogWarning("request_refused", {{"request_id", caller->request_id},
                                            {"workspace", caller->workspace},
                                            {"code", Describe(code).name},
                                            {"verdict", ToString(verdict)},
                                            {"detail", detail}});
  const bool stream_started = caller->kind == Caller::Kind::kPrompt &&
                              caller->completion->stream &&
                              caller->forwarded_chunks > 0;
  if (stream_started) {
    caller->writer->Write(
        "data: " +
        codec::BuildRefusal(code, verdict, detail, caller->request_id) +
        "\n\n");
    caller->writer->End();
  } else {
    SendRefusal(*caller->writer, code, verdict, detail, caller->request_id,
                retry_after);
  }
  Remove(id);
}

}  // namespace jasminehatch::daemon
